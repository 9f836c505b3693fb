#include "policy/request_classes.h"

#include <gtest/gtest.h>

#include "policy/controller_fixture.h"

namespace ospreypost::policy {
namespace {

using test::small_settings;
using namespace std::chrono_literals;

Replica replica_in(std::size_t zone, HardwareKindId kind = {}) {
  Replica replica;
  replica.endpoint.zone = zone;
  replica.endpoint.kind = kind;
  return replica;
}

TEST(RequestClassesTest, ClassesWithTheSameEndpointsShareAGroup) {
  Settings settings = small_settings();
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].allowed_zones = {ZoneId{2}};
  const RequestClasses classes(settings);
  ASSERT_EQ(classes.groups().size(), 2U);
  EXPECT_EQ(classes.groups()[0].classes, 0b101);
  EXPECT_EQ(classes.groups()[1].classes, 0b010);
  EXPECT_EQ(classes.group_of(2), 0U);
  EXPECT_EQ(classes.group_of(1), 1U);
}

TEST(RequestClassesTest, AGroupAllowsOnlyItsZonesAndKinds) {
  const RoutingGroup group{1, false, {ZoneId{1}}, {HardwareKindId{7}}};
  EXPECT_TRUE(group.may_use(0, replica_in(1, HardwareKindId{7})));
  EXPECT_FALSE(group.may_use(0, replica_in(2, HardwareKindId{7})));
  EXPECT_FALSE(group.may_use(0, replica_in(1, HardwareKindId{8})));
  EXPECT_EQ(group.zone_choices(3), 1U);
}

TEST(RequestClassesTest, AGroupMayBeRestrictedToItsProxysZone) {
  const RoutingGroup group{1, true, {}, {}};
  EXPECT_TRUE(group.may_use(2, replica_in(2)));
  EXPECT_FALSE(group.may_use(1, replica_in(2)));
  EXPECT_EQ(group.zone_choices(3), 1U);
  EXPECT_EQ((RoutingGroup{1, false, {}, {}}).zone_choices(3), 3U);
}

TEST(RequestClassesTest, WorkFollowsTheLatencyObjective) {
  Settings settings = small_settings();
  settings.classes[1].latency_objective = 3s;
  settings.classes[1].priority_weight = 6;
  RequestClasses classes(settings);
  EXPECT_DOUBLE_EQ(classes.work_of(1), 3);
  EXPECT_DOUBLE_EQ(classes.priority_by_work()[1], 2);
  classes.add_demand(0, 30, 0s);
  classes.add_demand(1, 10, 0s);
  EXPECT_NEAR(classes.mean_work(0s), 1.5, 1e-9);
  EXPECT_NEAR(classes.demand_of(1, kDemandHalfLife), 5, 1e-9);
}

}  // namespace
}  // namespace ospreypost::policy
