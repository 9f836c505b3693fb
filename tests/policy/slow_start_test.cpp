#include "policy/slow_start.h"

#include <gtest/gtest.h>

#include "policy/controller_fixture.h"
#include "policy/recording_sink.h"

namespace ospreypost::policy {
namespace {

using test::RecordingSink;
using test::small_settings;
using namespace std::chrono_literals;

constexpr double kNoPressure = 0.5;
constexpr double kOverload = 1.5;

Replica ready_replica() {
  Replica replica;
  replica.endpoint.phase = EndpointPhase::ready;
  return replica;
}

Replica started_replica(Nanos started) {
  Replica replica = ready_replica();
  replica.endpoint.started = started;
  return replica;
}

TEST(SlowStartTest, AClosedWarmReplicaHasItsFullWeight) {
  const SlowStart slow_start(small_settings());
  EXPECT_EQ(slow_start.weight_fraction(ready_replica(), 100s, kNoPressure), 1);
}

TEST(SlowStartTest, RecoversFromTheFloorByOneDoublingAndALinearClimb) {
  const SlowStart slow_start(small_settings());
  Replica replica = ready_replica();
  replica.breaker.half_open(100s);
  EXPECT_DOUBLE_EQ(slow_start.weight_fraction(replica, 101s, kNoPressure), kFloor);
  replica.breaker.confirm(102s, kMinSoundSuccesses);
  EXPECT_DOUBLE_EQ(slow_start.weight_fraction(replica, 102s, kNoPressure), kFloor * kAnchor);
  EXPECT_DOUBLE_EQ(slow_start.weight_fraction(replica, 102s + kClimbDuration / 2, kNoPressure),
                   (1 + kFloor * kAnchor) / 2);
  EXPECT_DOUBLE_EQ(slow_start.weight_fraction(replica, 102s + 2 * kClimbDuration, kNoPressure), 1);
}

TEST(SlowStartTest, AWarmingReplicaNeverExceedsItsWarmUpCapacity) {
  const Settings settings = small_settings();
  const SlowStart slow_start(settings);
  const Replica replica = started_replica(100s);
  EXPECT_TRUE(slow_start.is_warming_up(replica, 101s));
  EXPECT_DOUBLE_EQ(slow_start.weight_fraction(replica, 100s, kNoPressure), settings.initial_warm_up_capacity);
  EXPECT_DOUBLE_EQ(slow_start.weight_fraction(replica, 100s + settings.warm_up_duration / 2, kNoPressure),
                   (1 + settings.initial_warm_up_capacity) / 2);
  EXPECT_FALSE(slow_start.is_warming_up(replica, 100s + settings.warm_up_duration));
}

TEST(SlowStartTest, ANewReplicaClimbsWithoutEvidenceUnlessOverloadCouldMakeItFail) {
  Settings settings = small_settings();
  settings.warm_up_duration = 1s;
  for (const auto overload_duration : {500ms, 2000ms}) {
    settings.overload_duration = overload_duration;
    const SlowStart slow_start(settings);
    Replica replica = started_replica(100s);
    replica.added = 100s;
    replica.breaker.half_open(100s);
    EXPECT_DOUBLE_EQ(slow_start.weight_fraction(replica, 101s, kNoPressure), 1);
    const bool warms_up_in_time = overload_duration >= settings.warm_up_duration;
    EXPECT_DOUBLE_EQ(slow_start.weight_fraction(replica, 101s, kOverload), warms_up_in_time ? 1 : kFloor);
  }
}

TEST(SlowStartTest, KeepsWarmingReplicasOutOfACongestedZone) {
  SlowStart slow_start(small_settings());
  RecordingSink sink;
  Replica warming = started_replica(100s);
  Replica warm = ready_replica();
  slow_start.update_holds({2, 1, 1}, sink);
  EXPECT_FALSE(slow_start.may_serve(warming, 101s));
  EXPECT_TRUE(slow_start.may_serve(warm, 101s));
  warming.endpoint.zone = 1;
  EXPECT_TRUE(slow_start.may_serve(warming, 101s)) << "its zone is not congested";
  EXPECT_EQ(sink.logged.size(), 1U);
}

TEST(SlowStartTest, ReleasesOnlyWellBelowTheCongestionThatHolds) {
  SlowStart slow_start(small_settings());
  RecordingSink sink;
  const Replica warming = started_replica(100s);
  // With an overload multiple of 3, replicas are held above 1.3 attempts per success (0.15 of the way from 1
  // to 3) and released at 1.2 or below (0.1 of the way).
  slow_start.update_holds({1.31, 1, 1}, sink);
  EXPECT_FALSE(slow_start.may_serve(warming, 101s));
  slow_start.update_holds({1.25, 1, 1}, sink);
  EXPECT_FALSE(slow_start.may_serve(warming, 101s));
  slow_start.update_holds({1.19, 1, 1}, sink);
  EXPECT_TRUE(slow_start.may_serve(warming, 101s));
  slow_start.update_holds({1.25, 1, 1}, sink);
  EXPECT_TRUE(slow_start.may_serve(warming, 101s));
  EXPECT_EQ(sink.logged.size(), 2U);
}

TEST(SlowStartTest, ReleaseLetsWarmingReplicasOfOneZoneServe) {
  SlowStart slow_start(small_settings());
  RecordingSink sink;
  slow_start.update_holds({2, 2, 2}, sink);
  slow_start.release(0);
  Replica warming = started_replica(100s);
  EXPECT_TRUE(slow_start.may_serve(warming, 101s));
  warming.endpoint.zone = 1;
  EXPECT_FALSE(slow_start.may_serve(warming, 101s));
}

TEST(SlowStartTest, EjectedDrainingAndGoneReplicasMayNotServe) {
  const SlowStart slow_start(small_settings());
  Replica tripped = ready_replica();
  tripped.breaker.trip(100s);
  EXPECT_FALSE(slow_start.may_serve(tripped, 101s));
  Replica draining = ready_replica();
  draining.endpoint.phase = EndpointPhase::draining;
  EXPECT_FALSE(slow_start.may_serve(draining, 101s));
  EXPECT_FALSE(slow_start.may_serve(Replica{}, 101s)) << "never listed";
}

}  // namespace
}  // namespace ospreypost::policy
