// Day files: elements that stand for many troubles, and days made of records.
#include "scenario/scenario.h"

#include <gtest/gtest.h>

#include "config/config.h"
#include "program/support.h"
#include "replay/export_scenario.h"
#include "terms/deployment.h"

namespace ospreypost::scenario {
namespace {

using namespace std::chrono_literals;

std::string day_text(const std::string& troubles) {
  return R"(<day name="made" length="60 s" governor="x.xml">
  <fleet>
    <replicas zone="east" count="2"/><replicas zone="west" count="2"/><replicas zone="east" count="1" speed="0.5"/>
  </fleet>
  <traffic><class name="sign-job" rate="5" work="10 ms"/></traffic>
  <troubles>)" +
         troubles + "</troubles></day>";
}
std::vector<Fault> troubles_of(const std::string& text) {
  return parse_scenario(day_text(text), "made", "/nowhere").troubles;
}
std::string fault_of(const std::string& text) {
  try {
    troubles_of(text);
  } catch (const config::ConfigError& fault) {
    return fault.what();
  }
  return "";
}

TEST(Composed, DeployDrainsBatchAfterBatch) {
  const auto troubles = troubles_of(
      R"(<deploy at="5 s" replicas="east-1 east-2 west-1" batch="2" leaves="3 s" down="1 s" pace="2 s"/>)");
  ASSERT_EQ(troubles.size(), 2U);
  EXPECT_EQ(troubles[0].kind, TroubleKind::drain);
  EXPECT_EQ(troubles[0].whom, (std::vector<std::string>{"east-1", "east-2"}));
  EXPECT_EQ(troubles[0].second, 3s);
  EXPECT_EQ(troubles[0].lasts, 4s);
  EXPECT_EQ(troubles[1].at, 11s);
  EXPECT_EQ(troubles[1].whom, std::vector<std::string>{"west-1"});
}

TEST(Composed, StallsComeAgainWithinTheirTime) {
  const auto proxies =
      troubles_of(R"(<balancer-stall at="2 s" for="7 s" stall="1 s" every="3 s" proxies="forwarder-1"/>)");
  ASSERT_EQ(proxies.size(), 3U);  // at 2, 5 and 8 s
  EXPECT_EQ(proxies[2].at, 8s);
  EXPECT_EQ(proxies[2].kind, TroubleKind::proxy_still);
  EXPECT_EQ(troubles_of(R"(<balancer-stall at="2 s" for="6 s" stall="1 s" every="3 s"/>)").front().kind,
            TroubleKind::governor_still);
  const auto pauses =
      troubles_of(R"(<pauses at="0 s" for="1 s" pause="100 ms" every="400 ms" replicas="east-1"/>)");
  EXPECT_EQ(pauses.size(), 3U);
  EXPECT_NE(fault_of(R"(<pauses at="0 s" for="1 s" pause="400 ms" every="400 ms" replicas="east-1"/>)"), "");
}

// Groups of one zone count on: east-3 is of the second group.
TEST(Composed, ZoneLossTakesAllOfTheZone) {
  const auto troubles = troubles_of(
      R"(<zone-loss at="1 s" for="9 s" zone="east" silent="true" notice="2 s" proxies="forwarder-1"/>)");
  ASSERT_EQ(troubles.size(), 2U);
  EXPECT_EQ(troubles[0].kind, TroubleKind::vanish);
  EXPECT_EQ(troubles[0].whom, (std::vector<std::string>{"east-1", "east-2", "east-3"}));
  EXPECT_EQ(troubles[1].kind, TroubleKind::proxy_still);
  EXPECT_NE(fault_of(R"(<zone-loss at="1 s" for="9 s" zone="north"/>)"), "");
}

// --- Days of records

simulation::History history_of(const config::Config& config) {
  simulation::History history;
  history.configuration = config.text;
  history.length = 60s;
  history.lives = {{0s, 30s}, {33s, 60s}};
  history.replicas = {"unit--a", "unit-b", "unit-c"};
  const auto entry = [](std::uint32_t n, EndpointPhase phase, std::optional<Nanos> started = {}) {
    return EndpointUpdate{ReplicaId{n}, ZoneId{static_cast<std::uint16_t>(n / 2)}, {}, {}, phase, 1, started};
  };
  history.lists = {
      {0s,
       EndpointListKind::cached,
       false,
       {entry(0, EndpointPhase::ready), entry(1, EndpointPhase::ready), entry(2, EndpointPhase::ready)}},
      {10s, EndpointListKind::changes, false, {entry(0, EndpointPhase::gone)}},
      {14s, EndpointListKind::changes, false, {entry(0, EndpointPhase::ready, 14s)}},
      {20s, EndpointListKind::changes, false, {entry(1, EndpointPhase::draining)}},
      {24s, EndpointListKind::changes, false, {entry(1, EndpointPhase::gone)}},
      {26s, EndpointListKind::changes, false, {entry(1, EndpointPhase::ready, 26s)}}};
  history.memberships = {{1s, ProxyId{0}, true, ZoneId{0}, 10, true}};
  for (Nanos from = 0s; from < 60s; from += 1s) {
    const std::uint32_t operations = from >= 50s && from < 54s ? 60 : 20;
    const Nanos late = from >= 40s && from < 44s ? 2s : 0s;
    history.reports.push_back({ProxyId{0},
                               from,
                               from + 1s,
                               from + 1s + late,
                               {},
                               {{ClassId{0}, operations, 0}, {ClassId{1}, 5, 0}}});
  }
  return history;
}

std::string elements(const Scenario& script) {
  std::string all;
  for (const auto& trouble : script.troubles)
    all += trouble.text + (trouble.whom.empty() ? "" : " " + trouble.whom.front()) + " " +
           std::to_string(trouble.at / 1s) + "\n";
  return all;
}

TEST(ExportedDay, SaysWhatBefellTheFleet) {
  const auto config = config::parse_config(test::small_config_text(), "small");
  const auto history = history_of(config);
  simulation::Fleet fleet;
  fleet.replicas = {{ZoneId{0}, {}, 1, 2, true, {{9s, 12s, 1, 1, 0, 0}}},
                    {ZoneId{0}, {}, 1, 2, true, {}},
                    {ZoneId{1}, {}, 0.5, 4, true, {{45s, 48s, 1, 1, 0, 1}, {55s, 57s, 0, 4, 0, 0}}}};
  fleet.work = {0.1, 0.05};
  fleet.repeats = {0, 0};
  const auto made =
      replay::export_scenario(history, terms::deployment_of(config), fleet, config.kinds, "made", "g.xml");
  const auto script = parse_scenario(made.scenario, "made", "/nowhere");
  check_names(script, config);
  EXPECT_EQ(made.configuration, config.text);
  EXPECT_EQ(script.length, 60s);
  EXPECT_NEAR(script.traffic.front().rate, 22.7, 0.2);
  // The crash began with its failures, a second before the list told it.
  EXPECT_EQ(
      elements(script),
      "crash east-1 9\ndrain east-2 20\ngovernor-killed 30\nreport-late forwarder-1 41\nhang west-1 45\n"
      "burst 50\nburst 52\nslow west-1 55\n");
  EXPECT_EQ(script.troubles.front().second, 1s);
}

TEST(ExportedDay, RefusesWhatNoDayCanBe) {
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
