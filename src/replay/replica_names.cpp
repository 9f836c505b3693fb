#include "replay/replica_names.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <utility>

namespace ospreypost::replay {
namespace {

// Replicas with equal profiles form one group. The order of profiles has no meaning, but must be
// deterministic.
struct ReplicaProfile {
  ZoneId zone{};
  HardwareKindId kind{};
  long cores = 0;
  long speed_tenths = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the compiler generates a comparison with 0; no pointer is involved
  auto operator<=>(const ReplicaProfile&) const = default;
};

ReplicaProfile profile_of(const simulation::ReplicaModel& replica) {
  return {replica.zone, replica.kind, std::lround(replica.cores), std::lround(10 / replica.slowness)};
}

std::vector<std::vector<std::size_t>> group_by_profile(
    const std::vector<simulation::ReplicaModel>& replicas) {
  std::map<ReplicaProfile, std::vector<std::size_t>> members_by_profile;
  for (std::size_t n = 0; n < replicas.size(); ++n) members_by_profile[profile_of(replicas[n])].push_back(n);
  std::vector<std::vector<std::size_t>> groups;
  groups.reserve(members_by_profile.size());
  for (auto& [profile, members] : members_by_profile) groups.push_back(std::move(members));
  std::sort(groups.begin(), groups.end(),
            [](const auto& left, const auto& right) { return left.front() < right.front(); });
  return groups;
}

}  // namespace

ReplicaNames::ReplicaNames(const ScenarioSource& source)
    : source_(source), groups_(group_by_profile(source.fleet.replicas)) {
  std::map<ZoneId, std::size_t> named_in_zone;
  for (const auto& group : groups_) {
    for (const std::size_t position : group) {
      const ZoneId zone = source.fleet.replicas[position].zone;
      const std::size_t number = ++named_in_zone[zone];
      by_recorded_name_[source.history.replicas[position]] =
          source.zone_name(zone) + "-" + std::to_string(number);
    }
  }
}

const std::string& ReplicaNames::name_of(ReplicaId replica) const {
  return by_recorded_name_.at(source_.history.replicas[static_cast<std::size_t>(replica)]);
}

}  // namespace ospreypost::replay
