#include "policy/load_signal.h"

#include <gtest/gtest.h>

#include "policy/controller_fixture.h"

namespace ospreypost::policy {
namespace {

using test::small_settings;
using namespace std::chrono_literals;

Settings settings_with(std::vector<LoadMetric> columns,
                       ReportingMode reporting = ReportingMode::in_load_reports) {
  Settings settings = small_settings();
  settings.load_columns = std::move(columns);
  settings.reporting = reporting;
  return settings;
}

TEST(LoadSignalTest, PrefersUtilizationToCounts) {
  const LoadSignal signal(settings_with({LoadMetric::queue, LoadMetric::inflight, LoadMetric::util}));
  EXPECT_FALSE(signal.is_count());
  Replica replica;
  const EvidenceClock clock(100s, 500ms);
  signal.record(replica, {1, 2, 0.25F}, clock);
  EXPECT_DOUBLE_EQ(signal.reported_load(replica, clock.evidence_time()).value(), 0.25);
}

TEST(LoadSignalTest, ACountIsDividedByTheWeight) {
  const LoadSignal signal(settings_with({LoadMetric::queue, LoadMetric::inflight}));
  EXPECT_TRUE(signal.is_count());
  Replica replica;
  replica.endpoint.weight = 4;
  const EvidenceClock clock(100s, 500ms);
  signal.record(replica, {9, 8}, clock);
  EXPECT_DOUBLE_EQ(signal.reported_load(replica, clock.evidence_time()).value(), 2);
}

TEST(LoadSignalTest, ThereIsNoSignalIfNoColumnMeasuresLoad) {
  EXPECT_FALSE(LoadSignal(settings_with({LoadMetric::latency, LoadMetric::errors})).is_reported());
  EXPECT_FALSE(LoadSignal(settings_with({LoadMetric::util}, ReportingMode::none)).is_reported());
}

TEST(LoadSignalTest, UsesHealthChecksOnlyIfTheyAreAllowed) {
  Settings settings = settings_with({LoadMetric::util}, ReportingMode::by_health_check);
  EXPECT_FALSE(LoadSignal(settings).is_reported());
  EXPECT_FALSE(LoadSignal(settings).needs_health_checks());
  settings.health_checks_allowed = true;
  EXPECT_TRUE(LoadSignal(settings).is_reported());
  EXPECT_TRUE(LoadSignal(settings).needs_health_checks());
  EXPECT_FALSE(LoadSignal(settings_with({LoadMetric::util})).needs_health_checks());
}

TEST(LoadSignalTest, IgnoresOldReportsAndMissingColumns) {
  const LoadSignal signal(settings_with({LoadMetric::errors, LoadMetric::util}));
  Replica replica;
  const EvidenceClock clock(100s, 500ms);
  signal.record(replica, {0.5F}, clock);
  EXPECT_FALSE(signal.reported_load(replica, clock.evidence_time()));
  replica.reports_accepted_from = 101s;
  signal.record(replica, {0, 0.5F}, clock);
  EXPECT_FALSE(signal.reported_load(replica, clock.evidence_time()));
}

TEST(LoadSignalTest, IgnoresInvalidLoadValues) {
  const LoadSignal signal(settings_with({LoadMetric::util}));
  Replica replica;
  const EvidenceClock clock(100s, 500ms);
  signal.record(replica, {-1}, clock);
  EXPECT_FALSE(signal.reported_load(replica, clock.evidence_time()));
}

}  // namespace
}  // namespace ospreypost::policy
