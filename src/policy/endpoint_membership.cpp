#include "policy/endpoint_membership.h"

#include <algorithm>
#include <set>

#include "policy/log_events.h"
#include "policy/outlier_detector.h"

namespace ospreypost::policy {
namespace {

/// How long the state of a replica that is gone is kept, since the replica may return.
constexpr Nanos kRetention = 3 * kMaxCooldown;
constexpr double kMinWeight = 1e-3;
/// Maximum fraction of the ready replicas that a list may remove at once without being doubted.
constexpr double kMaxRemovedFraction = kMaxEjectedWeightFraction;

}  // namespace

EndpointMembership::EndpointMembership(const Settings& settings)
    : zones_(std::max<std::size_t>(settings.zones, 1)),
      removal_is_binding_(!settings.only_draining_is_binding) {}

std::size_t EndpointMembership::zone_of(ZoneId zone) const {
  return std::min(static_cast<std::size_t>(zone), zones_ - 1);
}

EndpointMembership::Applied EndpointMembership::apply(const EndpointUpdate& update, bool known_before_start,
                                                      const SlowStart& slow_start, Nanos now) {
  const bool is_known = replicas_.contains(update.replica);
  auto& replica = replicas_[update.replica];
  auto& endpoint = replica.endpoint;
  const bool was_ready = is_known && replica.is_ready();
  const bool restarted = is_known && update.started && endpoint.started != update.started;
  const std::size_t zone = zone_of(update.zone);
  Applied applied{replica, !is_known || endpoint.zone != zone};
  endpoint.zone = zone;
  endpoint.kind = update.kind;
  endpoint.cell = update.cell;
  endpoint.weight = std::max(kMinWeight, update.weight);
  endpoint.phase = update.phase;
  endpoint.removal_doubted = false;
  endpoint.started = update.started;
  applied.stopped_serving = was_ready && !replica.is_ready();
  if (!replica.is_ready()) return applied;
  // A replica that was listed before this instance started is trusted unless it is still warming up.
  applied.must_recover =
      known_before_start ? slow_start.is_warming_up(replica, now) : !was_ready || restarted;
  if (!applied.must_recover) return applied;
  replica.load_correction = 1;
  replica.added = known_before_start ? endpoint.started : now;
  return applied;
}

std::vector<ReplicaId> EndpointMembership::removed_by(EndpointListKind kind,
                                                      const std::vector<EndpointUpdate>& entries) const {
  const bool lists_changes = kind == EndpointListKind::changes;
  // In a list of changes, collects the replicas that are gone; in any other list, those that are not gone.
  std::set<ReplicaId> named;
  for (const auto& entry : entries) {
    const bool is_gone = entry.phase == EndpointPhase::gone;
    if (is_gone == lists_changes) named.insert(entry.replica);
  }
  std::vector<ReplicaId> removed;
  for (const auto& [id, replica] : replicas_) {
    if (!replica.is_gone() && named.contains(id) == lists_changes) removed.push_back(id);
  }
  return removed;
}

bool EndpointMembership::remove(const std::vector<ReplicaId>& removed, ActionSink& actions) {
  std::size_t ready = 0;
  for (const auto& [id, replica] : replicas_) ready += replica.is_ready() ? 1 : 0;
  std::size_t removed_ready = 0;
  for (const auto id : removed) {
    const auto& replica = replicas_.at(id);
    if (replica.is_ready() && !replica.endpoint.removal_doubted) ++removed_ready;
  }
  const bool is_doubtful = !removal_is_binding_ && static_cast<double>(removed_ready) >
                                                       kMaxRemovedFraction * static_cast<double>(ready);
  if (is_doubtful) actions.log(log_events::endpoint_list_doubted(removed_ready));
  bool any_gone = false;
  for (const auto id : removed) {
    auto& replica = replicas_.at(id);
    auto& endpoint = replica.endpoint;
    endpoint.removal_doubted = endpoint.removal_doubted || (is_doubtful && replica.is_ready());
    if (endpoint.removal_doubted) continue;
    endpoint.phase = EndpointPhase::gone;
    any_gone = true;
  }
  return any_gone;
}

std::vector<ReplicaId> EndpointMembership::collect_expired(Nanos now) {
  std::vector<ReplicaId> expired;
  for (auto& [id, replica] : replicas_) {
    auto& last_listed = replica.endpoint.last_listed;
    if (!replica.is_gone()) last_listed = now;
    if (replica.ejected && now > last_listed + kRetention) expired.push_back(id);
  }
  return expired;
}

}  // namespace ospreypost::policy
