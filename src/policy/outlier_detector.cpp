#include "policy/outlier_detector.h"

#include <algorithm>
#include <cmath>

#include "policy/log_events.h"

namespace ospreypost::policy {
namespace {

/// Of a replica's attempts, so many must fail, above what the others see.
constexpr double kTripFailureRatio = 0.5;
/// And so many in number.
constexpr double kTripFailures = 4;
/// Fewer while it is half-open or its removal is doubted.
constexpr double kRetripFailures = 2;
/// Where a usual replica sees few attempts, so much of those suffices,
constexpr double kThinTrafficFailures = 0.5;
/// but more than the others' failures would bring by chance, with this probability.
constexpr double kChanceProbability = 1e-4;
constexpr double kUsualFailureRatio = 0.02;
/// What is full, not faulty, succeeds with more than this fraction of its attempts.
constexpr double kAliveSuccessRatio = 0.1;

/// The number of failures that trips a closed breaker. Against thin traffic: where a usual replica sees few
/// attempts, one that fails them all would never meet a fixed count.
double failures_to_trip(const FleetStatistics& fleet, double others_failure_ratio) {
  const double chance = std::clamp(others_failure_ratio, kUsualFailureRatio, kTripFailureRatio);
  const double beyond_chance = std::log(kChanceProbability) / std::log(chance);
  const double of_thin_traffic = kThinTrafficFailures * fleet.attempts / fleet.serving_replicas;
  return std::clamp(of_thin_traffic, std::min(beyond_chance, kTripFailures), kTripFailures);
}

}  // namespace

OutlierDetector::OutlierDetector(const Settings& settings, const LoadSignal& load_signal,
                                 const EvidenceClock& clock, ActionSink& actions)
    : message_delay_(settings.message_delay), load_signal_(load_signal), clock_(clock), actions_(actions) {}

bool OutlierDetector::is_failing(const Replica& replica, const FleetStatistics& fleet) const {
  const Nanos evidence_time = clock_.evidence_time();
  const double attempts = replica.outcomes.attempts.read(evidence_time);
  const double failed = replica.outcomes.failed.read(evidence_time);
  // Against overload looking like a fault: what fails everywhere is no replica's own fault.
  const double others = (fleet.failed - failed) / std::max(1.0, fleet.attempts - attempts);
  // A replica that is only full reports so and succeeds sometimes; one that is faulty is idle or does not
  // report.
  const double full_load =
      std::max(fleet.mean_reported_load, load_signal_.is_count() ? 0 : kTargetUtilization);
  const auto load = load_signal_.reported_load(replica, evidence_time);
  const bool is_full = load && *load >= full_load && attempts - failed > kAliveSuccessRatio * attempts;
  const bool little_suffices = replica.breaker.is_half_open() || replica.endpoint.removal_doubted;
  const double enough = little_suffices ? kRetripFailures : failures_to_trip(fleet, others);
  return failed > attempts * (kTripFailureRatio + others) && !is_full && failed >= enough;
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
    // Against many ejections at once when all are slow together: what is left would be overloaded.
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
  // Reports that arrive now were counted before the change that we answer them with.
  replica.outcomes = {};
  replica.outcomes_count_from = clock_.now() + from_seconds(clock_.report_span_seconds()) + message_delay_;
  actions_.log(log_events::breaker_half_opened(id));
}

void OutlierDetector::confirm(ReplicaId id, Replica& replica) const {
  if (!replica.breaker.is_half_open()) return;
  const bool closed = replica.breaker.confirm(clock_.now(), replica.outcomes.successes);
  if (closed) actions_.log(log_events::breaker_closed(id));
}

ReplicaMap::value_type* OutlierDetector::find_unserved(ReplicaMap& replicas, const RoutingGroup& group,
                                                       std::size_t zone, const SlowStart& slow_start) const {
  ReplicaMap::value_type* first_due = nullptr;
  for (auto& entry : replicas) {
    const auto& replica = entry.second;
    if (!replica.is_ready() || !group.may_use(zone, replica)) continue;
    if (slow_start.may_serve(replica, clock_.now())) return nullptr;
    const bool is_earlier =
        first_due == nullptr || replica.breaker.reopens_at() < first_due->second.breaker.reopens_at();
    if (is_earlier) first_due = &entry;
  }
  return first_due;
}

void OutlierDetector::restore_endpoints(ReplicaMap& replicas, const std::vector<RoutingGroup>& groups,
                                        std::size_t zones, SlowStart& slow_start) const {
  for (const auto& group : groups) {
    for (std::size_t zone = 0; zone < zones; ++zone) {
      auto* first_due = find_unserved(replicas, group, zone, slow_start);
      if (first_due == nullptr) continue;
      slow_start.release_all();
      half_open(first_due->first, first_due->second);
    }
  }
}

}  // namespace ospreypost::policy
