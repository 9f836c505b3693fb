#include "policy/outlier_detector.h"

#include <gtest/gtest.h>

#include "policy/fleet_fixture.h"

namespace ospreypost::policy {
namespace {

using test::Fleet;
using test::small_settings;
using namespace std::chrono_literals;

struct DetectedFleet : Fleet {
  explicit DetectedFleet(const Settings& fleet_settings = small_settings())
      : Fleet(fleet_settings), detector(settings, load_signal, clock, sink) {}
  bool evaluate() { return detector.evaluate(replicas, statistics()); }
  bool is_open(std::uint32_t id) const { return replicas.at(ReplicaId{id}).breaker.is_open(); }
  OutlierDetector detector;
};

TEST(OutlierDetectorTest, TripsAReplicaThatFailsMoreThanTheOthers) {
  DetectedFleet fleet;
  for (std::uint32_t id = 0; id < 6; ++id) fleet.add(id, 10, id == 4 ? 8 : 1);
  EXPECT_TRUE(fleet.evaluate());
  for (std::uint32_t id = 0; id < 6; ++id) EXPECT_EQ(fleet.is_open(id), id == 4) << id;
}

TEST(OutlierDetectorTest, FailuresAtAllReplicasTripNone) {
  DetectedFleet fleet;
  for (std::uint32_t id = 0; id < 6; ++id) fleet.add(id, 10, 8);
  EXPECT_FALSE(fleet.evaluate());
}

TEST(OutlierDetectorTest, AFewFailuresTripNone) {
  DetectedFleet fleet;
  for (std::uint32_t id = 0; id < 6; ++id) fleet.add(id, id == 4 ? 2 : 10, id == 4 ? 2 : 0);
  EXPECT_FALSE(fleet.evaluate());
}

TEST(OutlierDetectorTest, ThinTrafficNeedsFewerFailures) {
  DetectedFleet fleet;
  for (std::uint32_t id = 0; id < 6; ++id) fleet.add(id, 3, id == 4 ? 3 : 0);
  EXPECT_TRUE(fleet.evaluate());
  EXPECT_TRUE(fleet.is_open(4));
}

TEST(OutlierDetectorTest, DoesNotTripAReplicaThatIsOnlyFull) {
  for (const double successes : {0.0, 2.0}) {
    DetectedFleet fleet;
    for (std::uint32_t id = 0; id < 6; ++id) fleet.add(id, 10, 0, 0.4F);
    fleet.replicas.erase(ReplicaId{4});
    fleet.add(4, 10, 10 - successes, 1.0F);
    EXPECT_EQ(fleet.evaluate(), successes == 0) << "a faulty replica has no successes";
  }
}

TEST(OutlierDetectorTest, NeverEjectsMoreWeightThanTheLimit) {
  DetectedFleet fleet;
  for (std::uint32_t id = 0; id < 12; ++id) fleet.add(id, 10, id < 5 ? 10 : 0, 0.2F);
  EXPECT_TRUE(fleet.evaluate());
  int open = 0;
  for (std::uint32_t id = 0; id < 12; ++id) open += fleet.is_open(id) ? 1 : 0;
  EXPECT_EQ(open, 4) << "0.34 of 12";
}

TEST(OutlierDetectorTest, ADoubtedReplicaIsGoneAfterItsFirstFailures) {
  DetectedFleet fleet;
  for (std::uint32_t id = 0; id < 6; ++id) fleet.add(id, 10, 0);
  fleet.replicas.erase(ReplicaId{4});
  fleet.add(4, 2, 2).endpoint.removal_doubted = true;
  EXPECT_TRUE(fleet.evaluate());
  EXPECT_TRUE(fleet.replicas.at(ReplicaId{4}).is_gone());
}

TEST(OutlierDetectorTest, ReturnsHalfOpenAfterTheCooldownWithoutOldEvidence) {
  DetectedFleet fleet;
  for (std::uint32_t id = 0; id < 6; ++id) fleet.add(id, 10, id == 4 ? 8 : 1);
  ASSERT_TRUE(fleet.evaluate());
  auto& replica = fleet.replicas.at(ReplicaId{4});
  fleet.clock.advance(100s + kCooldown - 1ms);
  fleet.evaluate();
  EXPECT_TRUE(replica.breaker.is_open());
  fleet.clock.advance(100s + kCooldown);
  fleet.evaluate();
  EXPECT_TRUE(replica.breaker.is_half_open());
  EXPECT_EQ(replica.outcomes.attempts.read(fleet.clock.evidence_time()), 0);
  EXPECT_EQ(replica.reports_accepted_from, fleet.clock.now() + 1s + fleet.settings.message_delay)
      << "the span of a report and the message delay to the proxies";
}

TEST(OutlierDetectorTest, ClosesOnSoundEvidence) {
  DetectedFleet fleet;
  for (std::uint32_t id = 0; id < 6; ++id) fleet.add(id, 10, 0);
  auto& replica = fleet.replicas.at(ReplicaId{4});
  fleet.detector.half_open(ReplicaId{4}, replica);
  fleet.add_outcomes(replica, 10, 0);
  fleet.evaluate();
  EXPECT_TRUE(replica.breaker.is_half_open());
  fleet.clock.advance(100s + kConfirmWindow);
  fleet.evaluate();
  EXPECT_TRUE(replica.breaker.is_closed());
  EXPECT_EQ(fleet.sink.logged.back(), "breaker_closed replica=4");
}

TEST(OutlierDetectorTest, RestoresTheReplicaThatIsDueFirstWhereNoneServes) {
  Settings settings = small_settings();
  settings.zones = 1;
  DetectedFleet fleet(settings);
  for (std::uint32_t id = 0; id < 3; ++id) {
    fleet.add(id, 10, 0).breaker.trip(100s - std::chrono::milliseconds(id == 1 ? 500 : 0));
  }
  fleet.detector.restore_endpoints(fleet.replicas, fleet.classes.groups(), 1, fleet.slow_start);
  for (std::uint32_t id = 0; id < 3; ++id) EXPECT_EQ(fleet.is_open(id), id != 1) << id;
}

TEST(OutlierDetectorTest, RestoresNoReplicaWhereOneServes) {
  DetectedFleet fleet;
  for (std::uint32_t id = 0; id < 3; ++id) fleet.add(id, 10, 0);
  fleet.replicas.at(ReplicaId{0}).breaker.trip(100s);
  fleet.detector.restore_endpoints(fleet.replicas, fleet.classes.groups(), 3, fleet.slow_start);
  EXPECT_TRUE(fleet.is_open(0));
}

}  // namespace
}  // namespace ospreypost::policy
