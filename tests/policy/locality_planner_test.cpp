#include "policy/locality_planner.h"

#include <gtest/gtest.h>

#include "policy/fleet_fixture.h"

namespace ospreypost::policy {
namespace {

using test::Fleet;
using test::small_settings;
using namespace std::chrono_literals;

/// Utilization that leaves enough headroom for unexpected demand, so that all demand stays in its zone.
constexpr float kIdle = 0.2F;

/// Three zones, each with three replicas and one proxy.
struct PlannedFleet : Fleet {
  explicit PlannedFleet(const Settings& fleet_settings = small_settings())
      : Fleet(fleet_settings), assignment(settings, classes), planner(settings), demand(1, 3) {
    for (std::uint32_t id = 0; id < 9; ++id) add(id, 10, 0, kIdle);
    assignment.lay_out(replicas, {1e6, 5});
    for (std::uint16_t id = 0; id < 3; ++id) {
      assignment.add_proxy(ProxyId{id}, id, 10, 0s);
      assignment.assign(ProxyId{id}, id, 0s);
    }
  }
  TableSet plan() {
    demand = assignment.update_demand(0s);
    const auto fleet = statistics();
    return planner.plan({replicas, slow_start, classes.groups(), assignment, fleet, demand, clock.now()});
  }
  /// Returns the fraction of a table's weight that belongs to replicas of a zone.
  double zone_share(const TableEntries& table, std::size_t zone) const {
    double total = 0;
    double own = 0;
    for (const auto& [id, weight] : table) {
      total += weight;
      if (replicas.at(id).endpoint.zone == zone) own += weight;
    }
    return own / total;
  }
  SubsetAssignment assignment;
  LocalityPlanner planner;
  ProxyDemand demand;
};

TEST(LocalityPlannerTest, EvenDemandStaysInItsZone) {
  PlannedFleet fleet;
  const auto tables = fleet.plan();
  for (std::size_t zone = 0; zone < 3; ++zone) {
    EXPECT_DOUBLE_EQ(fleet.zone_share(tables.at(zone, 0), zone), 1) << zone;
    EXPECT_EQ(tables.at(zone, 0).size(), 3U);
  }
}

TEST(LocalityPlannerTest, DemandBeyondAZonesCapacitySpillsIntoTheOthers) {
  PlannedFleet fleet;
  fleet.assignment.add_demand(ProxyId{0}, 0, 200, 0s);
  const auto tables = fleet.plan();
  EXPECT_LT(fleet.zone_share(tables.at(0, 0), 0), 0.7);
  EXPECT_GT(fleet.zone_share(tables.at(0, 0), 1), 0.1);
  EXPECT_GT(fleet.zone_share(tables.at(0, 0), 2), 0.1);
  EXPECT_DOUBLE_EQ(fleet.zone_share(tables.at(1, 0), 1), 1);
}

TEST(LocalityPlannerTest, NothingSpillsForClassesOfTheSameZoneOnly) {
  Settings settings = small_settings();
  for (auto& cls : settings.classes) cls.same_zone_only = true;
  PlannedFleet fleet(settings);
  fleet.assignment.add_demand(ProxyId{0}, 0, 200, 0s);
  const auto tables = fleet.plan();
  EXPECT_DOUBLE_EQ(fleet.zone_share(tables.at(0, 0), 0), 1);
}

TEST(LocalityPlannerTest, AZoneWithoutServingReplicasUsesTheOthers) {
  PlannedFleet fleet;
  for (auto& [id, replica] : fleet.replicas) {
    if (replica.endpoint.zone == 0) replica.breaker.trip(100s);
  }
  const auto tables = fleet.plan();
  EXPECT_EQ(fleet.zone_share(tables.at(0, 0), 0), 0);
  EXPECT_EQ(tables.at(0, 0).size(), 6U);
}

TEST(LocalityPlannerTest, GroupsUseOnlyTheirAllowedEndpoints) {
  Settings settings = small_settings();
  settings.classes[1].allowed_zones = {ZoneId{2}};
  PlannedFleet fleet(settings);
  fleet.demand = ProxyDemand(2, 3);
  const auto tables = fleet.plan();
  for (std::size_t zone = 0; zone < 3; ++zone) {
    EXPECT_DOUBLE_EQ(fleet.zone_share(tables.at(zone, 1), 2), 1) << zone;
  }
}

TEST(LocalityPlannerTest, ARecoveringReplicaGetsItsFraction) {
  PlannedFleet fleet;
  fleet.replicas.at(ReplicaId{3}).breaker.half_open(100s);
  const auto tables = fleet.plan();
  const auto& table = tables.at(0, 0);
  EXPECT_NEAR(table.at(ReplicaId{3}) / table.at(ReplicaId{0}), kFloor, 1e-9);
}

TEST(LocalityPlannerTest, ProxiesThatPickTheLessBusyReplicaDoNotSpillIntoACongestedZone) {
  Settings settings = small_settings();
  settings.picking = PickingPolicy::two;
  PlannedFleet fleet(settings);
  fleet.assignment.add_demand(ProxyId{0}, 0, 400, 0s);
  for (auto& [id, replica] : fleet.replicas) {
    if (replica.endpoint.zone == 1) fleet.add_outcomes(replica, 10, 6);
  }
  const auto tables = fleet.plan();
  EXPECT_GT(fleet.zone_share(tables.at(0, 0), 2), 2 * fleet.zone_share(tables.at(0, 0), 1));
}

}  // namespace
}  // namespace ospreypost::policy
