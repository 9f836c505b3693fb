#include "policy/request_classes.h"

#include <algorithm>

namespace ospreypost::policy {
namespace {

constexpr double kMinWorkSeconds = 1e-3;
/// Minimum number of recent requests from which the classes' fractions of them are known.
constexpr double kMinRequests = 20;

template <typename Id>
bool allows(const std::vector<Id>& allowed, Id id) {
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), id) != allowed.end();
}

}  // namespace

bool RoutingGroup::may_use(std::size_t proxy_zone, const Replica& replica) const {
  const auto& endpoint = replica.endpoint;
  if (same_zone_only && endpoint.zone != proxy_zone) return false;
  return allows(allowed_zones, static_cast<ZoneId>(endpoint.zone)) && allows(allowed_kinds, endpoint.kind);
}

std::size_t RoutingGroup::zone_choices(std::size_t zones) const {
  if (same_zone_only) return 1;
  return allowed_zones.empty() ? zones : std::min(allowed_zones.size(), zones);
}

RequestClasses::RequestClasses(const Settings& settings)
    : demand_(settings.classes.size(), DecayingSum{kDemandHalfLife}) {
  for (std::size_t cls = 0; cls < settings.classes.size(); ++cls) {
    const auto& class_settings = settings.classes[cls];
    const double work = std::max(kMinWorkSeconds, to_seconds(class_settings.latency_objective));
    work_.push_back(work);
    priority_by_work_.push_back(class_settings.priority_weight / work);
    const std::size_t group = find_or_add_group(class_settings);
    group_of_.push_back(group);
    groups_[group].classes = static_cast<ClassMask>(groups_[group].classes | (1U << cls));
  }
}

std::size_t RequestClasses::find_or_add_group(const ClassSettings& cls) {
  const auto found = std::find_if(groups_.begin(), groups_.end(), [&](const RoutingGroup& group) {
    return group.same_zone_only == cls.same_zone_only && group.allowed_zones == cls.allowed_zones &&
           group.allowed_kinds == cls.allowed_kinds;
  });
  const auto position = static_cast<std::size_t>(found - groups_.begin());
  if (found == groups_.end()) {
    groups_.push_back({0, cls.same_zone_only, cls.allowed_zones, cls.allowed_kinds});
  }
  return position;
}

void RequestClasses::add_demand(std::size_t cls, double requests, Nanos evidence_time) {
  demand_[cls].add(evidence_time, requests);
}

double RequestClasses::request_share(std::size_t cls, Nanos evidence_time) const {
  double requests = 0;
  for (std::size_t other = 0; other < count(); ++other) requests += demand_of(other, evidence_time);
  return requests >= kMinRequests ? demand_of(cls, evidence_time) / requests
                                  : 1 / static_cast<double>(count());
}

double RequestClasses::mean_work(Nanos evidence_time) const {
  double work = kTiny;
  double requests = kTiny;
  for (std::size_t cls = 0; cls < count(); ++cls) {
    const double demand = demand_of(cls, evidence_time);
    work += demand * work_[cls];
    requests += demand;
  }
  return work / requests;
}

}  // namespace ospreypost::policy
