#include "policy/subset_assignment.h"

#include <gtest/gtest.h>

#include <set>

#include "policy/fleet_fixture.h"

namespace ospreypost::policy {
namespace {

using test::Fleet;
using test::small_settings;
using namespace std::chrono_literals;

constexpr SubsetAssignment::TableLimits kFastChannel{1e6, 5};

Settings one_zone(std::size_t proxies = 3) {
  Settings settings = small_settings();
  settings.zones = 1;
  settings.proxies = proxies;
  return settings;
}

struct AssignedFleet : Fleet {
  explicit AssignedFleet(const Settings& fleet_settings, std::uint32_t replica_count)
      : Fleet(fleet_settings), assignment(settings, classes) {
    for (std::uint32_t id = 0; id < replica_count; ++id) add(id, 0, 0);
  }
  void lay_out(const SubsetAssignment::TableLimits& limits = kFastChannel) {
    assignment.lay_out(replicas, limits);
    assignment.update_capacities(replicas, slow_start, clock.now(), 0);
  }
  void add_proxy(std::uint16_t id, double rate, std::optional<std::size_t> subset) {
    assignment.add_proxy(ProxyId{id}, 0, rate, clock.evidence_time());
    if (subset) assignment.assign(ProxyId{id}, *subset, clock.evidence_time());
  }
  SubsetAssignment assignment;
};

TEST(SubsetAssignmentTest, ASmallZoneHasOneBlock) {
  AssignedFleet fleet(small_settings(), 9);
  fleet.lay_out();
  EXPECT_EQ(fleet.assignment.layout().blocks, (std::vector<std::size_t>{1, 1, 1}));
  EXPECT_EQ(fleet.assignment.layout().first_subset, (std::vector<std::size_t>{0, 1, 2}));
}

TEST(SubsetAssignmentTest, ASlowChannelMakesMoreBlocks) {
  AssignedFleet fleet(one_zone(100), 80);
  // In 4 s the channel sends 4,080 entries (1,020 per second): 40.8 for each of 100 proxies. Less the message
  // overhead of 5, a table may have 35.8 entries.
  fleet.lay_out({1020, 5});
  EXPECT_EQ(fleet.assignment.layout().blocks[0], 2U);
}

TEST(SubsetAssignmentTest, TheConnectionsOfASmallReplicaMakeMoreBlocks) {
  Settings settings = one_zone(100);
  settings.min_replica_connections = 50;
  AssignedFleet fleet(settings, 80);
  // A replica may have 25 connections, half of the 50 that it accepts. With 100 proxies and 80 replicas a
  // table may have 20 entries.
  fleet.lay_out();
  EXPECT_EQ(fleet.assignment.layout().blocks[0], 4U);
}

TEST(SubsetAssignmentTest, NothingIsLaidOutBeforeThereAreReplicasAndOnlyOnce) {
  AssignedFleet fleet(one_zone(), 0);
  fleet.lay_out();
  EXPECT_TRUE(fleet.assignment.subsets().empty());
  for (std::uint32_t id = 0; id < 3; ++id) fleet.add(id, 0, 0);
  fleet.lay_out();
  ASSERT_EQ(fleet.assignment.subsets().size(), 1U);
  for (std::uint32_t id = 3; id < 90; ++id) fleet.add(id, 0, 0);
  fleet.lay_out({1, 5});
  EXPECT_EQ(fleet.assignment.subsets().size(), 1U);
}

TEST(SubsetAssignmentTest, ACellIsSpreadOverTheBlocks) {
  Settings settings = one_zone(100);
  settings.min_replica_connections = 50;
  AssignedFleet fleet(settings, 80);
  for (auto& [id, replica] : fleet.replicas) {
    replica.endpoint.cell = CellId{static_cast<std::uint16_t>(static_cast<std::uint32_t>(id) / 4)};
  }
  fleet.lay_out();
  std::map<CellId, std::set<std::size_t>> blocks_of_cell;
  for (const auto& [id, replica] : fleet.replicas) {
    blocks_of_cell[replica.endpoint.cell].insert(replica.block);
  }
  for (const auto& [cell, blocks] : blocks_of_cell) EXPECT_EQ(blocks.size(), 4U);
}

TEST(SubsetAssignmentTest, DemandIsSummedByGroupZoneAndSubset) {
  AssignedFleet fleet(one_zone(), 3);
  fleet.lay_out();
  fleet.add_proxy(1, 0, 0);
  fleet.add_proxy(2, 0, std::nullopt);
  fleet.assignment.add_demand(ProxyId{1}, 0, 30, 0s);
  fleet.assignment.add_demand(ProxyId{2}, 1, 10, 0s);
  const auto demand = fleet.assignment.update_demand(0s);
  EXPECT_DOUBLE_EQ(demand.by_zone[0], 40);
  EXPECT_DOUBLE_EQ(demand.by_group[0][0], 40) << "both classes share a group";
  EXPECT_DOUBLE_EQ(sum_of(fleet.assignment.subsets()[0].demand), 30)
      << "only the demand of proxies bound to the subset";
  EXPECT_EQ(fleet.assignment.unassigned_proxies(), 1);
  EXPECT_DOUBLE_EQ(fleet.assignment.own_share(), 2.0 / 3);
}

TEST(SubsetAssignmentTest, UsualDemandIsUsedUntilReportsArrive) {
  AssignedFleet fleet(one_zone(), 3);
  fleet.add_proxy(1, 10, std::nullopt);
  const double steady = 10 * to_seconds(kDemandHalfLife) / 0.6931471805599453;
  EXPECT_NEAR(fleet.assignment.update_demand(0s).by_zone[0], steady, 1e-6);
}

class TwoSubsetsTest : public ::testing::Test {
 protected:
  TwoSubsetsTest() : fleet_(settings(), 80) {
    fleet_.lay_out();
    fleet_.add_proxy(1, 10, 0);
    fleet_.add_proxy(2, 2, 0);
    fleet_.add_proxy(3, 4, 0);
    fleet_.add_proxy(4, 10, 1);
    fleet_.assignment.update_demand(0s);
  }
  static Settings settings() {
    Settings settings = one_zone(100);
    settings.min_replica_connections = 100;
    return settings;
  }
  AssignedFleet fleet_;
};

TEST_F(TwoSubsetsTest, FindsTheLeastLoadedSubset) {
  ASSERT_EQ(fleet_.assignment.subsets().size(), 2U);
  EXPECT_EQ(fleet_.assignment.least_loaded(0), 1U);
}

TEST_F(TwoSubsetsTest, TheProxyWithTheMostDemandThatDoesNotReverseTheLoadsMigrates) {
  const auto migration = fleet_.assignment.find_migration(0, [](ProxyId) { return true; });
  ASSERT_TRUE(migration);
  // The subsets' loads are 16 and 10, so the migrating proxy may have a demand of 3 at most.
  EXPECT_EQ(migration->proxy, ProxyId{2});
  EXPECT_EQ(migration->subset, 1U);
  fleet_.assignment.assign(migration->proxy, migration->subset, 0s);
  EXPECT_EQ(fleet_.assignment.subsets()[0].proxies, 2);
  EXPECT_EQ(fleet_.assignment.subsets()[1].proxies, 2);
}

TEST_F(TwoSubsetsTest, NoProxyMigratesBetweenSimilarLoads) {
  fleet_.assignment.assign(ProxyId{2}, 1, 0s);
  EXPECT_FALSE(fleet_.assignment.find_migration(0, [](ProxyId) { return true; })) << "loads of 14 and 12";
}

TEST_F(TwoSubsetsTest, AProxyThatLeavesIsNoLongerCounted) {
  fleet_.assignment.remove_proxy(ProxyId{1});
  fleet_.assignment.remove_proxy(ProxyId{77});
  EXPECT_EQ(fleet_.assignment.subsets()[0].proxies, 2);
  EXPECT_FALSE(fleet_.assignment.proxies().contains(ProxyId{1}));
}

}  // namespace
}  // namespace ospreypost::policy
