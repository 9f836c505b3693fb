#include "policy/evidence.h"

#include <gtest/gtest.h>

namespace ospreypost::policy {
namespace {

using namespace std::chrono_literals;

TEST(DecayingSumTest, HalvesWithEachHalfLife) {
  DecayingSum sum(2s);
  sum.add(1s, 8);
  EXPECT_DOUBLE_EQ(sum.read(1s), 8);
  EXPECT_DOUBLE_EQ(sum.read(3s), 4);
  EXPECT_DOUBLE_EQ(sum.read(5s), 2);
}

TEST(DecayingSumTest, AddsToTheDecayedSum) {
  DecayingSum sum(2s);
  sum.add(0s, 8);
  sum.add(2s, 1);
  EXPECT_DOUBLE_EQ(sum.read(2s), 5);
}

TEST(EvidenceClockTest, RunsAtRealTimeWhileReportsAreShort) {
  EvidenceClock clock(10s, 500ms);
  clock.add_report(100, 1s);
  clock.advance(13s);
  EXPECT_EQ(clock.now(), 13s);
  EXPECT_EQ(clock.evidence_time(), 3s);
  EXPECT_DOUBLE_EQ(clock.report_span_seconds(), 1);
}

TEST(EvidenceClockTest, SlowsDownSoThatNoHalfLifeIsShorterThanAReport) {
  EvidenceClock clock(0s, 500ms);
  clock.add_report(100, 8s);
  clock.advance(8s);
  EXPECT_EQ(clock.evidence_time(), kEvidenceHalfLife);
}

TEST(EvidenceClockTest, ReportsAreWeightedByTheirAttempts) {
  EvidenceClock clock(0s, 500ms);
  clock.add_report(30, 2s);
  clock.add_report(10, 10s);
  EXPECT_DOUBLE_EQ(clock.report_span_seconds(), 4);
}

TEST(OutcomeStatisticsTest, MeanLatencyNeedsEnoughSuccesses) {
  OutcomeStatistics outcomes;
  outcomes.latency_seconds.add(0s, 4 * 0.25);
  outcomes.latency_weight.add(0s, 4);
  ASSERT_TRUE(outcomes.mean_latency(0s, 1));
  EXPECT_DOUBLE_EQ(*outcomes.mean_latency(0s, 1), 0.25);
  EXPECT_FALSE(outcomes.mean_latency(0s, 5));
  EXPECT_FALSE(outcomes.mean_latency(kEvidenceHalfLife * 3, 1)) << "4 successes decayed to 0.5";
}

}  // namespace
}  // namespace ospreypost::policy
