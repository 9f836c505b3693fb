/// Tests the comparison of proxy configurations, and the lookup of configurations in a routing snapshot.
#include "routing_state/routing_snapshot.h"

#include <gtest/gtest.h>

#include "program/routing_fixture.h"

namespace ospreypost::routing_state {
namespace {

std::shared_ptr<const ProxySnapshot> with_weight(double weight) {
  RoutingTable table;
  table.entries.push_back({ReplicaId{1}, weight});
  return make_proxy_snapshot(1, std::move(table));
}

TEST(RoutingSnapshotTest, ARemovedReplicaRequiresAnUrgentUpdateAndANewOneDoesNot) {
  const auto both = make_proxy_snapshot(1, {1, 2});
  const auto one = make_proxy_snapshot(2, {1});
  EXPECT_TRUE(requires_urgent_update(*both, *one));
  EXPECT_FALSE(requires_urgent_update(*one, *both));
  EXPECT_FALSE(requires_urgent_update(*both, *both));
}

TEST(RoutingSnapshotTest, AWeightBelowHalfRequiresAnUrgentUpdate) {
  EXPECT_TRUE(requires_urgent_update(*with_weight(1), *with_weight(0.49)));
  EXPECT_FALSE(requires_urgent_update(*with_weight(1), *with_weight(0.5)));
  EXPECT_FALSE(requires_urgent_update(*with_weight(1), *with_weight(3)));
}

TEST(RoutingSnapshotTest, ALostBindingRequiresAnUrgentUpdateIfItsTableHadEntries) {
  ProxySnapshot unbound;
  unbound.routing_tables = {nullptr};
  EXPECT_TRUE(requires_urgent_update(*make_proxy_snapshot(1, {1}), unbound));
  EXPECT_FALSE(requires_urgent_update(*make_proxy_snapshot(1, RoutingTable{}), unbound));
  EXPECT_FALSE(requires_urgent_update(unbound, *make_proxy_snapshot(1, {1})));
}

TEST(RoutingSnapshotTest, CountsBindingsEntriesAndTrafficPolicies) {
  RoutingTable table;
  table.entries = {{ReplicaId{1}, 1.0}, {ReplicaId{2}, 1.0}};
  table.traffic_policies.resize(3);
  EXPECT_EQ(entry_count(*make_proxy_snapshot(1, table)), 6U);
  ProxySnapshot unbound;
  unbound.routing_tables = {nullptr};
  EXPECT_EQ(entry_count(unbound), 0U);
}

TEST(RoutingSnapshotTest, AcknowledgementsAreRequestedFromChangedOrAllProxies) {
  RoutingSnapshot snapshot;
  snapshot.version = SnapshotVersion{2};
  snapshot.proxy_snapshots = {{ProxyId{3}, make_proxy_snapshot(1, {1})},
                              {ProxyId{5}, make_proxy_snapshot(2, {1})}};
  EXPECT_EQ(snapshot.acknowledgement_recipients(false), std::vector{ProxyId{5}});
  EXPECT_EQ(snapshot.acknowledgement_recipients(true), (std::vector{ProxyId{3}, ProxyId{5}}));
}

TEST(RoutingSnapshotTest, FindsTheConfigurationOfAProxy) {
  RoutingSnapshot snapshot;
  snapshot.proxy_snapshots = {{ProxyId{3}, make_proxy_snapshot(1, {1})},
                              {ProxyId{5}, make_proxy_snapshot(2, {1})}};
  EXPECT_EQ(snapshot.snapshot_of(ProxyId{5}), snapshot.proxy_snapshots[1].snapshot);
  EXPECT_EQ(snapshot.snapshot_of(ProxyId{4}), nullptr);
  EXPECT_EQ(snapshot.snapshot_of(ProxyId{6}), nullptr);
}

}  // namespace
}  // namespace ospreypost::routing_state
