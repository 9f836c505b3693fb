#include "replay/plausibility.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

#include "record.pb.h"

namespace ospreypost::replay {
namespace {

constexpr std::int64_t kHourNanos = std::int64_t{3600} * 1'000'000'000;

TEST(PlausibilityTest, AcceptsValuesThatAControlPlaneWrites) {
  kept::Entry entry;
  entry.set_at(1);
  auto& report = *entry.mutable_replica_summed();
  report.set_tries(9);
  report.set_failed(9);
  report.set_span(kHourNanos);
  EXPECT_TRUE(is_plausible(entry));
}

TEST(PlausibilityTest, RejectsTimesWhoseSumsWouldOverflow) {
  kept::Entry entry;
  entry.set_at(std::numeric_limits<std::int64_t>::max());
  EXPECT_FALSE(is_plausible(entry));
  entry.set_at(1);
  entry.mutable_begin()->set_wall(std::numeric_limits<std::int64_t>::min());
  EXPECT_FALSE(is_plausible(entry));
}

TEST(PlausibilityTest, RejectsSpansThatAreNegativeOrLongerThanAnHour) {
  kept::Entry entry;
  entry.mutable_demand_summed()->set_span(-1);
  EXPECT_FALSE(is_plausible(entry));
  entry.mutable_demand_summed()->set_span(kHourNanos + 1);
  EXPECT_FALSE(is_plausible(entry));
}

TEST(PlausibilityTest, RejectsMoreFailuresThanAttempts) {
  kept::Entry entry;
  entry.mutable_replica_summed()->set_tries(1);
  entry.mutable_replica_summed()->set_failed(2);
  EXPECT_FALSE(is_plausible(entry));
}

TEST(PlausibilityTest, RejectsUnknownEnumeratorsAndInfiniteWeights) {
  kept::Entry entry;
  entry.mutable_list_received()->set_kind(3);
  EXPECT_FALSE(is_plausible(entry));
  entry.mutable_list_received()->set_kind(0);
  auto& update = *entry.mutable_list_received()->add_entries();
  update.set_phase(3);
  EXPECT_FALSE(is_plausible(entry));
  update.set_phase(1);
  update.set_weight(std::numeric_limits<double>::infinity());
  EXPECT_FALSE(is_plausible(entry));
  update.set_weight(1);
  EXPECT_TRUE(is_plausible(entry));
}

}  // namespace
}  // namespace ospreypost::replay
