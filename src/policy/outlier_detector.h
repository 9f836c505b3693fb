/// Ejects replicas at which too many attempts fail, and returns them to service half-open.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/action_sink.h"
#include "policy/fleet_statistics.h"
#include "policy/load_signal.h"
#include "policy/replica.h"
#include "policy/request_classes.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace ospreypost::policy {

/// Maximum fraction of the listed weight of ready replicas that may be ejected as outliers at once.
inline constexpr double kMaxEjectedWeightFraction = 0.34;

class OutlierDetector {
 public:
  OutlierDetector(const Settings& settings, const LoadSignal& load_signal, const EvidenceClock& clock,
                  ActionSink& actions);

  /// Trips, half-opens and closes breakers according to the outcomes of attempts.
  /// Returns true if any breaker tripped.
  bool evaluate(ReplicaMap& replicas, const FleetStatistics& fleet) const;
  /// Lets a replica serve at the floor until there is new evidence, and discards its earlier outcomes.
  void half_open(ReplicaId id, Replica& replica) const;
  /// Prevents ejections from leaving a routing group without endpoints.
  /// If no replica serves a group for the proxies of a zone, the replica whose cooldown ends first returns at
  /// once, a warm one before any that is warming up. If only replicas that are warming up are left, they may
  /// serve in spite of the congestion of their zone.
  void restore_endpoints(ReplicaMap& replicas, const std::vector<RoutingGroup>& groups, std::size_t zones,
                         SlowStart& slow_start) const;

 private:
  bool is_failing(const Replica& replica, const FleetStatistics& fleet) const;
  void trip(ReplicaId id, Replica& replica) const;
  void confirm(ReplicaId id, Replica& replica) const;
  /// Returns the replica to restore among the ready replicas that the group may use from the zone.
  /// Returns null if any of these replicas serves, or if there is no such replica. A replica that
  /// `WarmUpLimiter` keeps out of service is not restored.
  ReplicaMap::value_type* find_replica_to_restore(ReplicaMap& replicas, const RoutingGroup& group,
                                                  std::size_t zone, const SlowStart& slow_start) const;

  const Nanos message_delay_;
  const LoadSignal& load_signal_;
  const EvidenceClock& clock_;
  ActionSink& actions_;
};

}  // namespace ospreypost::policy
