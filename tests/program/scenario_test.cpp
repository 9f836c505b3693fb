// Scenario files: composed elements that stand for several faults, and scenarios that are exported from
// records.
#include "scenario/scenario.h"

#include <gtest/gtest.h>

#include "config/config.h"
#include "program/support.h"
#include "replay/export_scenario.h"
#include "terms/deployment.h"

namespace ospreypost::scenario {
namespace {

using namespace std::chrono_literals;

std::string scenario_text(const std::string& faults) {
  return R"(<day name="made" length="60 s" governor="x.xml">
  <fleet>
    <replicas zone="east" count="2"/><replicas zone="west" count="2"/><replicas zone="east" count="1" speed="0.5"/>
  </fleet>
  <traffic><class name="sign-job" rate="5" work="10 ms"/></traffic>
  <troubles>)" +
         faults + "</troubles></day>";
}
std::vector<Fault> faults_of(const std::string& text) {
  return parse_scenario(scenario_text(text), "made", "/nowhere").faults;
}
std::string error_of(const std::string& text) {
  try {
    faults_of(text);
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return "";
}

TEST(ComposedFaults, DeployDrainsBatchAfterBatch) {
  const auto faults = faults_of(
      R"(<deploy at="5 s" replicas="east-1 east-2 west-1" batch="2" leaves="3 s" down="1 s" pace="2 s"/>)");
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0].kind, FaultKind::drain);
  EXPECT_EQ(faults[0].targets, (std::vector<std::string>{"east-1", "east-2"}));
  EXPECT_EQ(faults[0].delay, 3s);
  EXPECT_EQ(faults[0].duration, 4s);
  EXPECT_EQ(faults[1].at, 11s);
  EXPECT_EQ(faults[1].targets, std::vector<std::string>{"west-1"});
}

TEST(ComposedFaults, StallsRepeatUntilTheEnd) {
  const auto stalls =
      faults_of(R"(<balancer-stall at="2 s" for="7 s" stall="1 s" every="3 s" proxies="forwarder-1"/>)");
  ASSERT_EQ(stalls.size(), 3U);  // stalls begin at 2, 5 and 8 s
  EXPECT_EQ(stalls[2].at, 8s);
  EXPECT_EQ(stalls[2].kind, FaultKind::proxy_still);
  EXPECT_EQ(faults_of(R"(<balancer-stall at="2 s" for="6 s" stall="1 s" every="3 s"/>)").front().kind,
            FaultKind::governor_still);
  const auto pauses =
      faults_of(R"(<pauses at="0 s" for="1 s" pause="100 ms" every="400 ms" replicas="east-1"/>)");
  EXPECT_EQ(pauses.size(), 3U);
  EXPECT_NE(error_of(R"(<pauses at="0 s" for="1 s" pause="400 ms" every="400 ms" replicas="east-1"/>)"), "");
}

// Replicas are numbered over all groups of a zone: east-3 belongs to the second group of the zone "east".
TEST(ComposedFaults, ZoneLossAffectsAllReplicasOfTheZone) {
  const auto faults = faults_of(
      R"(<zone-loss at="1 s" for="9 s" zone="east" silent="true" notice="2 s" proxies="forwarder-1"/>)");
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0].kind, FaultKind::vanish);
  EXPECT_EQ(faults[0].targets, (std::vector<std::string>{"east-1", "east-2", "east-3"}));
  EXPECT_EQ(faults[1].kind, FaultKind::proxy_still);
  EXPECT_NE(error_of(R"(<zone-loss at="1 s" for="9 s" zone="north"/>)"), "");
}

// --- Scenarios exported from records

simulation::History history_of(const config::Config& config) {
  simulation::History history;
  history.configuration = config.text;
  history.length = 60s;
  history.lives = {{0s, 30s}, {33s, 60s}};
  history.replicas = {"unit--a", "unit-b", "unit-c"};
  const auto update = [](std::uint32_t n, EndpointPhase phase, std::optional<Nanos> started = {}) {
    return EndpointUpdate{ReplicaId{n}, ZoneId{static_cast<std::uint16_t>(n / 2)}, {}, {}, phase, 1, started};
  };
  history.lists = {
      {0s,
       EndpointListKind::cached,
       false,
       {update(0, EndpointPhase::ready), update(1, EndpointPhase::ready), update(2, EndpointPhase::ready)}},
      {10s, EndpointListKind::changes, false, {update(0, EndpointPhase::gone)}},
      {14s, EndpointListKind::changes, false, {update(0, EndpointPhase::ready, 14s)}},
      {20s, EndpointListKind::changes, false, {update(1, EndpointPhase::draining)}},
      {24s, EndpointListKind::changes, false, {update(1, EndpointPhase::gone)}},
      {26s, EndpointListKind::changes, false, {update(1, EndpointPhase::ready, 26s)}}};
  history.memberships = {{1s, ProxyId{0}, true, ZoneId{0}, 10, true}};
  for (Nanos from = 0s; from < 60s; from += 1s) {
    const std::uint32_t operations = from >= 50s && from < 54s ? 60 : 20;
    const Nanos delay = from >= 40s && from < 44s ? 2s : 0s;
    history.reports.push_back({ProxyId{0},
                               from,
                               from + 1s,
                               from + 1s + delay,
                               {},
                               {{ClassId{0}, operations, 0}, {ClassId{1}, 5, 0}}});
  }
  return history;
}

std::string fault_lines(const Scenario& scenario) {
  std::string lines;
  for (const auto& fault : scenario.faults)
    lines += fault.text + (fault.targets.empty() ? "" : " " + fault.targets.front()) + " " +
             std::to_string(fault.at / 1s) + "\n";
  return lines;
}

TEST(ExportedScenario, ContainsTheFaultsOfTheRecord) {
  const auto config = config::parse_config(test::small_config_text(), "small");
  const auto history = history_of(config);
  simulation::Fleet fleet;
  fleet.replicas = {{ZoneId{0}, {}, 1, 2, true, {{9s, 12s, 1, 1, 0, 0}}},
                    {ZoneId{0}, {}, 1, 2, true, {}},
                    {ZoneId{1}, {}, 0.5, 4, true, {{45s, 48s, 1, 1, 0, 1}, {55s, 57s, 0, 4, 0, 0}}}};
  fleet.work = {0.1, 0.05};
  fleet.repeats = {0, 0};
  const auto exported =
      replay::export_scenario(history, terms::deployment_of(config), fleet, config.kinds, "made", "g.xml");
  const auto scenario = parse_scenario(exported.scenario, "made", "/nowhere");
  check_names(scenario, config);
  EXPECT_EQ(exported.configuration, config.text);
  EXPECT_EQ(scenario.length, 60s);
  EXPECT_NEAR(scenario.traffic.front().rate, 22.7, 0.2);
  // The crash begins at its first failed attempts, 1 s before the endpoint list shows it.
  EXPECT_EQ(
      fault_lines(scenario),
      "crash east-1 9\ndrain east-2 20\ngovernor-killed 30\nreport-late forwarder-1 41\nhang west-1 45\n"
      "burst 50\nburst 52\nslow west-1 55\n");
  EXPECT_EQ(scenario.faults.front().delay, 1s);
}

TEST(ExportedScenario, RejectsRecordsThatAreTooLong) {
  const auto config = config::parse_config(test::small_config_text(), "small");
  auto history = history_of(config);
  history.length = 2h;
  simulation::Fleet fleet;
  fleet.replicas.resize(3);
  EXPECT_THROW(replay::export_scenario(history, terms::deployment_of(config), fleet, {}, "made", "g.xml"),
               std::invalid_argument);
}

}  // namespace
}  // namespace ospreypost::scenario
