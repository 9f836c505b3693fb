/// All that is counted over replicas, made once in each iteration of the control loop.
#pragma once

#include "policy/load_signal.h"
#include "policy/numeric.h"
#include "policy/replica.h"
#include "policy/request_classes.h"
#include "policy/slow_start.h"

namespace ospreypost::policy {

/// Mean utilization of the replicas that unforeseen demand must not pass.
inline constexpr double kTargetUtilization = 0.85;
/// The median replica is overloaded when so many of its attempts fail.
inline constexpr double kOverloadFailureRatio = 0.12;

struct FleetStatistics {
  explicit FleetStatistics(std::size_t zones) : attempts_per_success(zones, 1.0) {}

  Values attempts_per_success;     ///< by zone of the replicas
  double attempts = 0;             ///< at all that serve
  double failed = 0;               ///< of those
  double serving_replicas = 1;     ///< a divisor, so never 0
  double ready_weight = 0;         ///< listed, of all that are ready
  double ejected_weight = 0;       ///< listed, of those of them that breakers hold out
  double mean_reported_load = -1;  ///< negative before the first iteration
  double utilization = 0;          ///< mean, by weight; 0 where replicas report none
  /// Load of the median replica against what it can take: above 1 is overload. The median, as a fault of a
  /// few replicas is not too much work.
  double pressure = 0;
};

/// What the statistics are made from.
struct FleetView {
  const ReplicaMap& replicas;
  const SlowStart& slow_start;
  const LoadSignal& load_signal;
  const RequestClasses& classes;
  const EvidenceClock& clock;
};

/// `previous` are those of the iteration before.
FleetStatistics collect_fleet_statistics(const FleetView& fleet, const FleetStatistics& previous);

}  // namespace ospreypost::policy
