/// Ejects replicas that fail live requests, and lets them return half-open.
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

/// Of the ready weight that breakers may hold out at once.
inline constexpr double kMaxEjectedWeightFraction = 0.34;

class OutlierDetector {
 public:
  OutlierDetector(const Settings& settings, const LoadSignal& load_signal, const EvidenceClock& clock,
                  ActionSink& actions);

  /// Trips, half-opens and closes breakers by the evidence. True if any tripped.
  bool evaluate(ReplicaMap& replicas, const FleetStatistics& fleet) const;
  /// Lets a replica serve at the floor until there is evidence; what was known of it counts no more.
  void half_open(ReplicaId id, Replica& replica) const;
  /// No ejection may leave a group of classes without endpoints: where none serves it in a zone, the replica
  /// that is due first returns at once, and no replica is kept out for warming up.
  void restore_endpoints(ReplicaMap& replicas, const std::vector<RoutingGroup>& groups, std::size_t zones,
                         SlowStart& slow_start) const;

 private:
  bool is_failing(const Replica& replica, const FleetStatistics& fleet) const;
  void trip(ReplicaId id, Replica& replica) const;
  void confirm(ReplicaId id, Replica& replica) const;
  /// Of the replicas that a group may use from a zone, the one that is due first; none if any serves, or
  /// there is none.
  ReplicaMap::value_type* find_unserved(ReplicaMap& replicas, const RoutingGroup& group, std::size_t zone,
                                        const SlowStart& slow_start) const;

  const Nanos message_delay_;
  const LoadSignal& load_signal_;
  const EvidenceClock& clock_;
  ActionSink& actions_;
};

}  // namespace ospreypost::policy
