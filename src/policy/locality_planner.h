/// Computes which replicas each subset's tables contain, and with which weights. Proxies use replicas of
/// their own zone as far as that zone has capacity. The result depends on the arguments alone.
#pragma once

#include <limits>
#include <vector>

#include "policy/fleet_statistics.h"
#include "policy/replica.h"
#include "policy/request_classes.h"
#include "policy/settings.h"
#include "policy/slow_start.h"
#include "policy/subset_assignment.h"
#include "policy/table_set.h"

namespace ospreypost::policy {

/// The inputs of LocalityPlanner::plan().
struct PlanningView {
  const ReplicaMap& replicas;
  const SlowStart& slow_start;
  const std::vector<RoutingGroup>& groups;
  const SubsetAssignment& subsets;
  const FleetStatistics& fleet;
  const ProxyDemand& demand;
  Nanos now;
  /// Maximum load of a zone in which all replicas of a group are warming up, relative to their present
  /// capacity.
  double max_warming_load = std::numeric_limits<double>::infinity();
};

class LocalityPlanner {
 public:
  explicit LocalityPlanner(const Settings& settings);
  /// Returns the tables of all subsets.
  /// The demand of each zone stays in the zone as long as the zone's load is near the mean load of all zones.
  /// The remaining demand goes to zones with spare capacity. A zone in which all replicas are warming up
  /// keeps only what these can take. Measured demand lags behind actual demand. The part of the demand that
  /// is spread over all zones is therefore larger if a zone has few or uneven proxies, and if the utilization
  /// of the replicas is high. Routing groups with the smallest choice of zones are planned first.
  TableSet plan(const PlanningView& view) const;

 private:
  const bool proxies_join_by_zone_;    // proxies join an instance of their own zone, and there are several
  const bool proxies_pick_less_busy_;  // proxies pick the less busy of two random replicas
};

}  // namespace ospreypost::policy
