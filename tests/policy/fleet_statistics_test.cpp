#include "policy/fleet_statistics.h"

#include <gtest/gtest.h>

#include "policy/fleet_fixture.h"

namespace ospreypost::policy {
namespace {

using test::Fleet;
using namespace std::chrono_literals;

TEST(FleetStatisticsTest, CountsServingAndEjectedReplicas) {
  Fleet fleet;
  fleet.add(0, 10, 1);
  fleet.add(1, 10, 2);
  fleet.add(2, 10, 9).breaker.trip(100s);
  fleet.add(3, 10, 9).endpoint.phase = EndpointPhase::draining;
  const auto statistics = fleet.statistics();
  EXPECT_DOUBLE_EQ(statistics.attempts, 20);
  EXPECT_DOUBLE_EQ(statistics.failed, 3);
  EXPECT_NEAR(statistics.serving_replicas, 2, 1e-6);
  EXPECT_DOUBLE_EQ(statistics.ready_weight, 3);
  EXPECT_DOUBLE_EQ(statistics.ejected_weight, 1);
}

TEST(FleetStatisticsTest, CountsAttemptsPerSuccessInEachZone) {
  Fleet fleet;
  fleet.add(0, 9, 5);
  fleet.add(1, 9, 0);
  const auto statistics = fleet.statistics();
  EXPECT_DOUBLE_EQ(statistics.attempts_per_success[0], 2);
  EXPECT_DOUBLE_EQ(statistics.attempts_per_success[1], 1);
  EXPECT_DOUBLE_EQ(statistics.attempts_per_success[2], 1) << "zone 2 has no replicas";
}

TEST(FleetStatisticsTest, UtilizationIsTheMeanByWeight) {
  Fleet fleet;
  fleet.add(0, 10, 0, 0.9F).endpoint.weight = 3;
  fleet.add(1, 10, 0, 0.1F);
  const auto statistics = fleet.statistics();
  EXPECT_NEAR(statistics.utilization, 0.7, 1e-6);
  EXPECT_NEAR(statistics.mean_reported_load, 0.5, 1e-6);
}

TEST(FleetStatisticsTest, PressureIsThatOfTheMedianReplica) {
  Fleet fleet;
  fleet.add(0, 10, 0, 0.3F);
  fleet.add(1, 10, 0, 0.3F);
  fleet.add(2, 10, 9, 0.3F);
  EXPECT_EQ(fleet.statistics().pressure, 0) << "a fault of one replica is no overload";
  fleet.add_outcomes(fleet.replicas.at(ReplicaId{1}), 10, 9);
  EXPECT_GT(fleet.statistics().pressure, 1);
}

TEST(FleetStatisticsTest, FailuresOfIdleReplicasAreNotOverload) {
  Fleet fleet;
  for (std::uint32_t id = 0; id < 3; ++id) fleet.add(id, 10, 5, 0.3F);
  EXPECT_GT(fleet.statistics().pressure, 1) << "before any utilization is known";
  EXPECT_EQ(fleet.statistics_after(fleet.statistics()).pressure, 0);
}

TEST(FleetStatisticsTest, UtilizationAboveItsTargetIsOverload) {
  Fleet fleet;
  fleet.add(0, 10, 0, 1.0F);
  EXPECT_NEAR(fleet.statistics().pressure, 2, 1e-6);
  EXPECT_NEAR(kTargetUtilization, 0.85, 1e-9);
}

}  // namespace
}  // namespace ospreypost::policy
