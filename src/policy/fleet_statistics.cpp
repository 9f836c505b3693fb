#include "policy/fleet_statistics.h"

#include <algorithm>

namespace ospreypost::policy {
namespace {

/// Ratio of mean latency to the mean latency objective from which the median replica counts as overloaded.
constexpr double kOverloadLatencyRatio = 0.45;
/// Minimum number of successes, after their decay, for a mean latency to count.
constexpr double kMinLatencyWeight = 0.5;

struct ZoneOutcomes {
  explicit ZoneOutcomes(std::size_t zones) : attempts(zones, 1.0), successes(zones, 1.0) {}
  Values attempts;
  Values successes;
};

struct LoadTotals {
  double load = 0;
  double reporting_replicas = kTiny;
  double used_weight = 0;
  double weight = kTiny;
};

class Collector {
 public:
  Collector(const FleetView& fleet, const FleetStatistics& previous)
      : fleet_(fleet),
        // The ratio of utilization to its target scales the pressure from failures and latency: while
        // replicas have capacity left, failures come from a partition or a fault rather than from overload.
        // High latency is a sign of overload, so its part is scaled less.
        fullness_(previous.utilization > 0 ? previous.utilization / kTargetUtilization : 1),
        overload_latency_(kOverloadLatencyRatio * fleet.classes.mean_work(fleet.clock.evidence_time())),
        statistics_(previous.attempts_per_success.size()),
        zone_outcomes_(previous.attempts_per_success.size()) {
    statistics_.serving_replicas = kTiny;
  }

  void add(const Replica& replica) {
    if (replica.is_ready()) {
      statistics_.ready_weight += replica.endpoint.weight;
      if (replica.breaker.is_open()) statistics_.ejected_weight += replica.endpoint.weight;
    }
    if (!fleet_.slow_start.may_serve(replica, fleet_.clock.now())) return;
    statistics_.serving_replicas += 1;
    add_outcomes(replica);
    add_load(replica);
  }

  FleetStatistics finish() {
    statistics_.mean_reported_load = load_totals_.load / load_totals_.reporting_replicas;
    statistics_.utilization =
        fleet_.load_signal.is_count() ? 0 : load_totals_.used_weight / load_totals_.weight;
    for (std::size_t zone = 0; zone < zone_outcomes_.attempts.size(); ++zone) {
      statistics_.attempts_per_success[zone] = zone_outcomes_.attempts[zone] / zone_outcomes_.successes[zone];
    }
    statistics_.pressure = pressure();
    return statistics_;
  }

 private:
  void add_outcomes(const Replica& replica) {
    const Nanos evidence_time = fleet_.clock.evidence_time();
    const double attempts = replica.outcomes.attempts.read(evidence_time);
    const double failed = replica.outcomes.failed.read(evidence_time);
    statistics_.attempts += attempts;
    statistics_.failed += failed;
    zone_outcomes_.attempts[replica.endpoint.zone] += attempts;
    zone_outcomes_.successes[replica.endpoint.zone] += attempts - failed;
    if (attempts < 1) return;
    const double failure_pressure =
        failed / attempts / kOverloadFailureRatio * std::clamp(2 * fullness_ - 1, 0.0, 1.0);
    const auto latency = replica.outcomes.mean_latency(evidence_time, kMinLatencyWeight);
    const double latency_pressure = latency ? *latency / overload_latency_ : 0;
    replica_pressures_.push_back(std::max(failure_pressure, latency_pressure * std::min(fullness_, 1.0)));
  }

  void add_load(const Replica& replica) {
    const auto load = fleet_.load_signal.reported_load(replica, fleet_.clock.evidence_time());
    if (!load) return;
    load_totals_.load += *load;
    load_totals_.reporting_replicas += 1;
    load_totals_.used_weight += *load * replica.endpoint.weight * replica.load_correction;
    load_totals_.weight += replica.corrected_weight();
  }

  double pressure() {
    const double excess = (statistics_.utilization - kTargetUtilization) / (1 - kTargetUtilization);
    const double by_utilization = std::max(0.0, 1 + excess);
    if (replica_pressures_.empty()) return by_utilization;
    const auto median =
        replica_pressures_.begin() + static_cast<std::ptrdiff_t>(replica_pressures_.size() / 2);
    std::nth_element(replica_pressures_.begin(), median, replica_pressures_.end());
    return std::max(by_utilization, *median);
  }

  const FleetView& fleet_;
  const double fullness_;
  const double overload_latency_;
  FleetStatistics statistics_;
  ZoneOutcomes zone_outcomes_;
  LoadTotals load_totals_;
  Values replica_pressures_;
};

}  // namespace

FleetStatistics collect_fleet_statistics(const FleetView& fleet, const FleetStatistics& previous) {
  Collector collector(fleet, previous);
  for (const auto& [id, replica] : fleet.replicas) collector.add(replica);
  return collector.finish();
}

}  // namespace ospreypost::policy
