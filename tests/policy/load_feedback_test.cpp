#include "policy/load_feedback.h"

#include <gtest/gtest.h>

#include <cmath>

#include "policy/controller_fixture.h"

namespace ospreypost::policy {
namespace {

using test::small_settings;
using namespace std::chrono_literals;

constexpr unsigned kStepIteration = 6;

class LoadFeedbackTest : public ::testing::Test {
 protected:
  Replica& add(std::uint32_t id, float load) {
    auto& replica = replicas_[ReplicaId{id}];
    replica.endpoint.phase = EndpointPhase::ready;
    signal_.record(replica, {load}, clock_);
    return replica;
  }
  void adjust(unsigned iteration = kStepIteration) {
    LoadFeedback(signal_).adjust(replicas_, clock_.evidence_time(), iteration);
  }

  const EvidenceClock clock_{100s, 500ms};
  const LoadSignal signal_{small_settings()};
  ReplicaMap replicas_;
};

TEST_F(LoadFeedbackTest, MovesWeightsTowardTheMeanLoad) {
  const auto& busy = add(1, 0.6F);
  const auto& idle = add(2, 0.2F);
  adjust();
  EXPECT_NEAR(busy.load_correction, std::sqrt(0.4 / 0.6), 1e-6);
  EXPECT_DOUBLE_EQ(idle.load_correction, 1.25) << "limited by the maximum step";
}

TEST_F(LoadFeedbackTest, LeavesReplicasNearTheMeanUnchanged) {
  const auto& first = add(1, 0.55F);
  const auto& second = add(2, 0.45F);
  adjust();
  EXPECT_EQ(first.load_correction, 1);
  EXPECT_EQ(second.load_correction, 1);
}

TEST_F(LoadFeedbackTest, KeepsStepsWithinTheirLimits) {
  const auto& busy = add(1, 1.0F);
  const auto& idle = add(2, 0.01F);
  for (int steps = 0; steps < 20; ++steps) adjust();
  EXPECT_DOUBLE_EQ(busy.load_correction, 0.5);
  EXPECT_DOUBLE_EQ(idle.load_correction, 1.25);
}

TEST_F(LoadFeedbackTest, StepsOnlyOnceInSeveralIterations) {
  const auto& busy = add(1, 0.9F);
  add(2, 0.1F);
  for (unsigned iteration = 1; iteration < kStepIteration; ++iteration) adjust(iteration);
  EXPECT_EQ(busy.load_correction, 1);
  adjust(kStepIteration);
  EXPECT_LT(busy.load_correction, 1);
}

TEST_F(LoadFeedbackTest, IgnoresRecoveringReplicasAndASingleReplica) {
  auto& recovering = add(1, 0.9F);
  recovering.breaker.half_open(100s);
  const auto& other = add(2, 0.1F);
  adjust();
  EXPECT_EQ(recovering.load_correction, 1);
  EXPECT_EQ(other.load_correction, 1);
}

TEST_F(LoadFeedbackTest, LatencyShowsWhichOfTwoFullReplicasHasTheLongerQueue) {
  auto& queueing = add(1, 1.0F);
  auto& keeping_up = add(2, 1.0F);
  for (auto* replica : {&queueing, &keeping_up}) {
    const double latency = replica == &queueing ? 0.9 : 0.1;
    replica->outcomes.latency_seconds.add(clock_.evidence_time(), 10 * latency);
    replica->outcomes.latency_weight.add(clock_.evidence_time(), 10);
  }
  adjust();
  EXPECT_LT(queueing.load_correction, 1);
  EXPECT_GT(keeping_up.load_correction, 1);
}

}  // namespace
}  // namespace ospreypost::policy
