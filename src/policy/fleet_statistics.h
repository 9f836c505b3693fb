/// Statistics over all replicas, collected in each iteration of the control loop and with each endpoint list.
#pragma once

#include "policy/load_signal.h"
#include "policy/numeric.h"
#include "policy/replica.h"
#include "policy/request_classes.h"
#include "policy/slow_start.h"

namespace ospreypost::policy {

/// Maximum mean utilization of the replicas. The rest of their capacity is headroom for unexpected demand.
inline constexpr double kTargetUtilization = 0.85;
/// Fraction of failed attempts from which the median replica counts as overloaded.
inline constexpr double kOverloadFailureRatio = 0.12;

struct FleetStatistics {
  explicit FleetStatistics(std::size_t zones) : attempts_per_success(zones, 1.0) {}

  Values attempts_per_success;     ///< attempts needed for one success, by zone of the replicas
  double attempts = 0;             ///< recent attempts at all serving replicas
  double failed = 0;               ///< the failed ones of `attempts`
  double serving_replicas = 1;     ///< number of serving replicas; a divisor, so never 0
  double ready_weight = 0;         ///< listed weight of all ready replicas
  double ejected_weight = 0;       ///< listed weight of the ready replicas whose breaker is open
  double mean_reported_load = -1;  ///< mean load of serving replicas; negative before the first collection
  double utilization = 0;          ///< mean utilization by weight; 0 if replicas report none
  /// Load of the median replica relative to its capacity; a value above 1 means overload.
  /// The median is used because faults of a few replicas do not mean that the fleet has too much work.
  double pressure = 0;
};

/// The inputs of collect_fleet_statistics().
struct FleetView {
  const ReplicaMap& replicas;
  const SlowStart& slow_start;
  const LoadSignal& load_signal;
  const RequestClasses& classes;
  const EvidenceClock& clock;
};

/// Collects the statistics of the fleet. `previous` is the result of the previous collection.
FleetStatistics collect_fleet_statistics(const FleetView& fleet, const FleetStatistics& previous);

}  // namespace ospreypost::policy
