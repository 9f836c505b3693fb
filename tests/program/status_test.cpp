// Tests the JSON documents that show the state of a control plane, and the parsing of load values.
#include "control_plane/status.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "delivery/endpoint_directory.h"
#include "load_reports/load_report_processor.h"
#include "policy/settings.h"
#include "policy/types.h"
#include "program/support.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::control_plane {
namespace {

using routing_state::SnapshotVersion;

// Returns a status with two replicas, the second of them draining; the first proxy has a table for its first
// request class.
ControlPlaneStatus small_status() {
  auto directory = std::make_shared<delivery::EndpointDirectory>();
  directory->endpoints.resize(2);
  directory->endpoints[0].name = "unit-a";
  directory->endpoints[0].address = {"127.0.0.1", 9001};
  directory->endpoints[1].name = "unit-b";
  directory->endpoints[1].address = {"127.0.0.1", 9002};

  auto table = std::make_shared<routing_state::RoutingTable>();
  table->entries = {{ReplicaId{0}, 1.5}};
  table->traffic_policies = {{0.25, RetryMode::once}, {1, RetryMode::once}};
  auto proxy_snapshot = std::make_shared<routing_state::ProxySnapshot>();
  proxy_snapshot->changed_in = SnapshotVersion{4};
  proxy_snapshot->routing_tables = {table, nullptr};
  auto snapshot = std::make_shared<routing_state::RoutingSnapshot>();
  snapshot->version = SnapshotVersion{5};
  snapshot->proxy_snapshots = {{ProxyId{0}, proxy_snapshot}};

  ControlPlaneStatus status;
  status.snapshot = snapshot;
  status.directory = directory;
  status.phases = {EndpointPhase::ready, EndpointPhase::draining};
  status.joined_proxies = {ProxyId{0}};
  return status;
}

TEST(StatusTest, ShowsTheEntriesOfAllTables) {
  EXPECT_EQ(
      render_status("/tables", test::small_config(), small_status(), {}),
      R"([{"proxy":"forwarder-1","class":"read-status","replica":"unit-a","weight":1.5,"level":0.25}])");
}

TEST(StatusTest, ShowsEachReplicaWithItsPhase) {
  EXPECT_EQ(render_status("/replicas", test::small_config(), small_status(), {}),
            R"([{"replica":"unit-a","phase":"ready","address":"127.0.0.1:9001"},)"
            R"({"replica":"unit-b","phase":"draining","address":"127.0.0.1:9002"}])");
}

TEST(StatusTest, ShowsEachProxyWithTheVersionThatLastChangedIt) {
  EXPECT_EQ(render_status("/proxies", test::small_config(), small_status(), {}),
            R"([{"proxy":"forwarder-1","zone":"east","joined":true,"version":4},)"
            R"({"proxy":"forwarder-2","zone":"west","joined":false,"version":0},)"
            R"({"proxy":"forwarder-3","zone":"west","joined":false,"version":0}])");
}

TEST(StatusTest, AddsUpTheCountsOfPullAndPush) {
  auto status = small_status();
  status.pull_counts.queued_entries = 1;
  status.push_counts.queued_entries = 2;
  status.pull_counts.max_queued_entries = 10;
  status.push_counts.max_queued_entries = 20;
  status.pull_counts.messages = 100;
  status.push_counts.pushes = 200;
  status.push_counts.failures = 7;
  status.pull_counts.rate_limited_queries = 8;
  load_reports::ReportCounts reports;
  reports.accepted = 11;
  reports.repeated = 12;
  reports.too_old = 13;
  reports.malformed = 14;
  reports.unknown = 15;
  EXPECT_EQ(
      render_status("/versions", test::small_config(), status, reports),
      R"([{"version":5,"lines-waiting":3.0,"worst-waiting":30.0,"messages":300,"push-failures":7,"held-back":8,)"
      R"("reports-taken":11,"reports-repeated":12,"reports-too-old":13,"reports-malformed":14,)"
      R"("reports-unknown":15}])");
}

TEST(StatusTest, ReturnsNothingForOtherTargets) {
  EXPECT_FALSE(render_status("/", test::small_config(), small_status(), {}));
  EXPECT_FALSE(render_status("/tables/", test::small_config(), small_status(), {}));
}

TEST(ParseLoadTest, ReadsTheColumnsInTheirOrder) {
  const std::vector<LoadMetric> columns{LoadMetric::queue, LoadMetric::util};
  EXPECT_EQ(parse_load(R"({"util":0.5,"queue":3,"other":"x"})", columns), (std::vector<float>{3, 0.5F}));
}

TEST(ParseLoadTest, ReturnsNothingIfAColumnIsMissingOrNotANumber) {
  const std::vector<LoadMetric> columns{LoadMetric::util};
  EXPECT_TRUE(parse_load(R"({"queue":3})", columns).empty());
  EXPECT_TRUE(parse_load(R"({"util":"0.5"})", columns).empty());
  EXPECT_TRUE(parse_load("[0.5]", columns).empty());
  EXPECT_TRUE(parse_load("{", columns).empty());
  EXPECT_TRUE(parse_load("", columns).empty());
}

}  // namespace
}  // namespace ospreypost::control_plane
