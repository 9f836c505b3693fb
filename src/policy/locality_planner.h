/// Which replicas each subset's tables hold, and with which weights: proxies keep to their own zone as far as
/// it has capacity. A pure function of what it is given.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "policy/fleet_statistics.h"
#include "policy/replica.h"
#include "policy/request_classes.h"
#include "policy/settings.h"
#include "policy/slow_start.h"
#include "policy/subset_assignment.h"

namespace ospreypost::policy {

/// One routing table: the weight of each replica that may be picked.
using TableEntries = std::map<ReplicaId, double>;

/// One table for each subset and routing group.
class TableSet {
 public:
  TableSet(std::size_t subsets, std::size_t groups) : groups_(groups), tables_(subsets * groups) {}
  TableEntries& at(std::size_t subset, std::size_t group) { return tables_[subset * groups_ + group]; }
  const TableEntries& at(std::size_t subset, std::size_t group) const {
    return tables_[subset * groups_ + group];
  }

 private:
  std::size_t groups_;
  std::vector<TableEntries> tables_;
};

/// What a plan is made from.
struct PlanningView {
  const ReplicaMap& replicas;
  const SlowStart& slow_start;
  const std::vector<RoutingGroup>& groups;
  const SubsetAssignment& subsets;
  const FleetStatistics& fleet;
  const ProxyDemand& demand;
  Nanos now;
};

class LocalityPlanner {
 public:
  explicit LocalityPlanner(const Settings& settings);
  /// Each zone's proxies keep to their own zone as far as it has capacity against the mean load of all; the
  /// rest goes where capacity is left. Demand is known late: the fewer and the less alike the proxies of a
  /// zone and the fuller the replicas, the more of it all zones share. Groups with the fewest zones to choose
  /// from go first.
  TableSet plan(const PlanningView& view) const;

 private:
  const bool proxies_join_by_zone_;    // proxies go to an instance of their zone, and there are others
  const bool proxies_avoid_the_busy_;  // they pick the less busy of two
};

}  // namespace ospreypost::policy
