#include "policy/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/log_events.h"

namespace ospreypost::policy {
namespace {

/// A breaker trips if the replica's failure ratio exceeds that of all other replicas by this amount.
constexpr double kTripFailureRatio = 0.5;
/// Minimum number of failures, after their decay, that trips a closed breaker.
constexpr double kTripFailures = 4;
/// Minimum number of failures that trips a breaker that is half-open or whose replica's removal is doubted.
constexpr double kRetripFailures = 2;
/// Thin traffic reduces the minimum number of failures to this fraction of the mean attempts at a replica.
constexpr double kThinTrafficFailureFraction = 0.5;
/// Maximum probability that a healthy replica reaches the reduced minimum number of failures by chance.
constexpr double kChanceProbability = 1e-4;
/// Minimum failure ratio of healthy replicas that is assumed when chance failures are estimated.
constexpr double kUsualFailureRatio = 0.02;
/// Minimum fraction of successful attempts for a replica to count as full rather than faulty.
constexpr double kFullReplicaSuccessRatio = 0.1;

/// Returns the minimum number of failures that trips a closed breaker. A fixed minimum would not work with
/// thin traffic: if replicas see few attempts, a replica that fails all of them would never reach it.
double failures_to_trip(const FleetStatistics& fleet, double others_failure_ratio) {
  const double chance_failure_ratio = std::clamp(others_failure_ratio, kUsualFailureRatio, kTripFailureRatio);
  const double failures_beyond_chance = std::log(kChanceProbability) / std::log(chance_failure_ratio);
  const double thin_traffic_failures = kThinTrafficFailureFraction * fleet.attempts / fleet.serving_replicas;
  return std::clamp(thin_traffic_failures, std::min(failures_beyond_chance, kTripFailures), kTripFailures);
}

}  // namespace

OutlierDetector::OutlierDetector(const Settings& settings, const LoadSignal& load_signal,
                                 const EvidenceClock& clock, ActionSink& actions)
    : message_delay_(settings.message_delay), load_signal_(load_signal), clock_(clock), actions_(actions) {}

bool OutlierDetector::is_failing(const Replica& replica, const FleetStatistics& fleet) const {
  const Nanos evidence_time = clock_.evidence_time();
  const double attempts = replica.outcomes.attempts.read(evidence_time);
  const double failed = replica.outcomes.failed.read(evidence_time);
  // Failures that all replicas share indicate overload or a fault elsewhere. Only a failure ratio above the
  // ratio of the other replicas counts against this replica.
  const double others_failure_ratio = (fleet.failed - failed) / std::max(1.0, fleet.attempts - attempts);
  // A replica that is only full reports a high load and some of its attempts succeed. A faulty replica
  // reports a low load or none.
  const double full_load =
      std::max(fleet.mean_reported_load, load_signal_.is_count() ? 0 : kTargetUtilization);
  const auto load = load_signal_.reported_load(replica, evidence_time);
  const bool is_full = load && *load >= full_load && attempts - failed > kFullReplicaSuccessRatio * attempts;
  const bool has_lower_threshold = replica.breaker.is_half_open() || replica.endpoint.removal_doubted;
  const double min_failures =
      has_lower_threshold ? kRetripFailures : failures_to_trip(fleet, others_failure_ratio);
  return failed > attempts * (kTripFailureRatio + others_failure_ratio) && !is_full && failed >= min_failures;
}

bool OutlierDetector::evaluate(ReplicaMap& replicas, const FleetStatistics& fleet) const {
  bool tripped = false;
  double ejected_weight = fleet.ejected_weight;
  const double max_ejected_weight = kMaxEjectedWeightFraction * fleet.ready_weight;
  for (auto& [id, replica] : replicas) {
    if (!replica.is_ready()) continue;
    if (replica.breaker.is_open()) {
      if (replica.breaker.cooldown_is_over(clock_.now())) half_open(id, replica);
      continue;
    }
    if (!is_failing(replica, fleet)) {
      confirm(id, replica);
      continue;
    }
    // If many replicas are slow, ejecting all of them would overload the rest, so the ejected weight is
    // limited.
    const bool fits_limit = ejected_weight + replica.endpoint.weight <= max_ejected_weight;
    if (!replica.endpoint.removal_doubted && !fits_limit) continue;
    trip(id, replica);
    ejected_weight += replica.endpoint.weight;
    tripped = true;
  }
  return tripped;
}

void OutlierDetector::trip(ReplicaId id, Replica& replica) const {
  if (replica.endpoint.removal_doubted) replica.endpoint.phase = EndpointPhase::gone;
  const Nanos cooldown = replica.breaker.trip(clock_.now());
  replica.added.reset();
  actions_.log(log_events::breaker_opened(id, cooldown));
}

void OutlierDetector::half_open(ReplicaId id, Replica& replica) const {
  replica.breaker.half_open(clock_.now());
  // Reports that arrive within a report's span and the message delay are ignored. They cover attempts from
  // before the proxies applied the half-open weight.
  replica.outcomes = {};
  replica.reports_accepted_from = clock_.now() + from_seconds(clock_.report_span_seconds()) + message_delay_;
  actions_.log(log_events::breaker_half_opened(id));
}

void OutlierDetector::confirm(ReplicaId id, Replica& replica) const {
  if (!replica.breaker.is_half_open()) return;
  const bool closed = replica.breaker.confirm(clock_.now(), replica.outcomes.successes);
  if (closed) actions_.log(log_events::breaker_closed(id));
}

ReplicaMap::value_type* OutlierDetector::find_replica_to_restore(ReplicaMap& replicas,
                                                                 const RoutingGroup& group, std::size_t zone,
                                                                 const SlowStart& slow_start) const {
  const auto order = [&](const Replica& replica) {
    return std::pair(slow_start.is_warming_up(replica, clock_.now()), replica.breaker.cooldown_ends_at());
  };
  ReplicaMap::value_type* first = nullptr;
  for (auto& entry : replicas) {
    const auto& replica = entry.second;
    if (!replica.is_ready() || !group.may_use(zone, replica)) continue;
    if (slow_start.may_serve(replica, clock_.now())) return nullptr;
    if (replica.kept_out) continue;
    if (first == nullptr || order(replica) < order(first->second)) first = &entry;
  }
  return first;
}

void OutlierDetector::restore_endpoints(ReplicaMap& replicas, const std::vector<RoutingGroup>& groups,
                                        std::size_t zones, SlowStart& slow_start) const {
  for (const auto& group : groups) {
    for (std::size_t zone = 0; zone < zones; ++zone) {
      auto* restored = find_replica_to_restore(replicas, group, zone, slow_start);
      if (restored == nullptr) continue;
      auto& [id, replica] = *restored;
      if (slow_start.is_warming_up(replica, clock_.now())) slow_start.release(replica.endpoint.zone);
      // A replica whose breaker is not open keeps its evidence.
      if (replica.breaker.is_open()) half_open(id, replica);
    }
  }
}

}  // namespace ospreypost::policy
