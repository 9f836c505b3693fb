#include "policy/fleet_statistics.h"

#include <algorithm>

namespace ospreypost::policy {
namespace {

/// The median replica is overloaded when its mean latency is so much of the latency objective.
constexpr double kOverloadLatencyRatio = 0.45;
/// Successes, after their decay, that a mean latency needs.
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
        // While replicas have capacity left, failures are a partition's or a fault's, but latency is
        // overload's.
        fullness_(previous.utilization > 0 ? previous.utilization / kTargetUtilization : 1),
        overload_latency_(kOverloadLatencyRatio * fleet.classes.mean_work(fleet.clock.evidence_time())),
        statistics_(previous.attempts_per_success.size()),
        zones_(previous.attempts_per_success.size()) {
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
    statistics_.mean_reported_load = loads_.load / loads_.reporting_replicas;
    statistics_.utilization = fleet_.load_signal.is_count() ? 0 : loads_.used_weight / loads_.weight;
    for (std::size_t zone = 0; zone < zones_.attempts.size(); ++zone) {
      statistics_.attempts_per_success[zone] = zones_.attempts[zone] / zones_.successes[zone];
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
    zones_.attempts[replica.endpoint.zone] += attempts;
    zones_.successes[replica.endpoint.zone] += attempts - failed;
    if (attempts < 1) return;
    const double failing =
        failed / attempts / kOverloadFailureRatio * std::clamp(2 * fullness_ - 1, 0.0, 1.0);
    const auto latency = replica.outcomes.mean_latency(evidence_time, kMinLatencyWeight);
    const double late = latency ? *latency / overload_latency_ : 0;
    replica_pressures_.push_back(std::max(failing, late * std::min(fullness_, 1.0)));
  }

  void add_load(const Replica& replica) {
    const auto load = fleet_.load_signal.reported_load(replica, fleet_.clock.evidence_time());
    if (!load) return;
    loads_.load += *load;
    loads_.reporting_replicas += 1;
    loads_.used_weight += *load * replica.endpoint.weight * replica.load_step;
    loads_.weight += replica.stepped_weight();
  }

  double pressure() {
    const double excess = (statistics_.utilization - kTargetUtilization) / (1 - kTargetUtilization);
    const double by_utilization = std::max(0.0, 1 + excess);
    if (replica_pressures_.empty()) return by_utilization;
    const auto middle =
        replica_pressures_.begin() + static_cast<std::ptrdiff_t>(replica_pressures_.size() / 2);
    std::nth_element(replica_pressures_.begin(), middle, replica_pressures_.end());
    return std::max(by_utilization, *middle);
  }

  const FleetView& fleet_;
  const double fullness_;
  const double overload_latency_;
  FleetStatistics statistics_;
  ZoneOutcomes zones_;
  LoadTotals loads_;
  Values replica_pressures_;
};

}  // namespace

FleetStatistics collect_fleet_statistics(const FleetView& fleet, const FleetStatistics& previous) {
  Collector collector(fleet, previous);
  for (const auto& [id, replica] : fleet.replicas) collector.add(replica);
  return collector.finish();
}

}  // namespace ospreypost::policy
