/// Tests of the whole controller: they send events to the controller and check the state of its fake proxies.
#include <gtest/gtest.h>

#include <random>

#include "policy/controller_fixture.h"

namespace ospreypost::test {
namespace {

constexpr ReplicaId kFaultyReplica{4};

TEST(OutlierEjectionTest, EjectsAReplicaWhoseAttemptsFail) {
  ControllerFixture fixture;
  for (int second = 0; second < 3; ++second) fixture.run_second();
  const int seconds_to_trip = fixture.seconds_until_state(4, true, {{4, 10}}, 10);
  EXPECT_GE(seconds_to_trip, 1);
  EXPECT_LE(seconds_to_trip, 3);
}

TEST(OutlierEjectionTest, TwoChanceFailuresEjectNoReplica) {
  ControllerFixture fixture;
  for (int second = 0; second < 6; ++second) fixture.run_second({{4, second == 2 ? 2U : 0U}}, 0, 2);
  EXPECT_TRUE(fixture.proxies.ejected.empty());
}

// Guards against a fixed minimum of 4 failures: in a run over real connections an instance with few proxies
// saw only 1.3 attempts per second at each replica, so no replica ever reached the minimum.
TEST(OutlierEjectionTest, EjectsAReplicaThatFailsAllItsAttemptsInThinTraffic) {
  ControllerFixture fixture;
  for (int second = 0; second < 3; ++second) fixture.run_second({}, 0, 1);
  int seconds = 0;
  for (; seconds < 9 && !fixture.proxies.ejected.contains(kFaultyReplica); ++seconds)
    fixture.run_second({{4, 1}}, 0, 1);
  EXPECT_LE(seconds, 6);
  EXPECT_GE(seconds, 3) << "two failures may be chance";
  EXPECT_EQ(fixture.proxies.ejected.size(), 1U);
}

TEST(OutlierEjectionTest, FailuresAtAllReplicasEjectNone) {
  ControllerFixture fixture;
  for (int second = 0; second < 10; ++second) fixture.run_second({}, 7);
  EXPECT_TRUE(fixture.proxies.ejected.empty());
}

TEST(OutlierEjectionTest, CooldownDoublesForARepeatedTrip) {
  ControllerFixture fixture;
  for (int second = 0; second < 3; ++second) fixture.run_second();
  ASSERT_GE(fixture.seconds_until_state(4, true, {{4, 10}}, 10), 0);
  const int first_cooldown = fixture.seconds_until_state(4, false, {}, 30);
  ASSERT_GE(fixture.seconds_until_state(4, true, {{4, 10}}, 30), 0);
  const int second_cooldown = fixture.seconds_until_state(4, false, {}, 40);
  EXPECT_GT(first_cooldown, 0);
  EXPECT_GE(second_cooldown, 2 * first_cooldown - 1);
}

TEST(OutlierEjectionTest, ReturnsAtTheFloorAndClimbsOnlyOnEvidence) {
  ControllerFixture fixture;
  for (int second = 0; second < 3; ++second) fixture.run_second();
  const double full_share = fixture.proxies.request_share(ProxyId{1}, kFaultyReplica);
  ASSERT_GE(fixture.seconds_until_state(4, true, {{4, 10}}, 10), 0);
  ASSERT_GE(fixture.seconds_until_state(4, false, {}, 30), 0);
  EXPECT_LT(fixture.proxies.request_share(ProxyId{1}, kFaultyReplica), 0.35 * full_share);
  fixture.advance(30s);  // without load reports the replica stays at the floor
  EXPECT_LT(fixture.proxies.request_share(ProxyId{1}, kFaultyReplica), 0.35 * full_share);
  for (int second = 0; second < 25; ++second) fixture.run_second();
  EXPECT_NEAR(fixture.proxies.request_share(ProxyId{1}, kFaultyReplica), full_share, 0.15 * full_share);
}

TEST(OutlierEjectionTest, NeverEjectsMoreWeightThanTheLimit) {
  ControllerFixture fixture;
  std::map<std::uint32_t, unsigned> faulty;
  for (std::uint32_t id = 0; id < 5; ++id) faulty[id] = 10;
  for (int second = 0; second < 12; ++second) {
    fixture.run_second(faulty);
    EXPECT_LE(fixture.proxies.ejected.size(), 4U);
  }
}

TEST(DrainingTest, EjectsADrainingReplicaAtOnce) {
  ControllerFixture fixture;
  fixture.update_endpoint(entry(4, 1, EndpointPhase::draining));
  EXPECT_TRUE(fixture.proxies.ejected.contains(kFaultyReplica));
  fixture.advance(10s);
  for (const auto& [table, entries] : fixture.proxies.tables) EXPECT_FALSE(entries.contains(kFaultyReplica));
}

TEST(EndpointListTest, AReplicaMissingFromACompleteListIsGone) {
  ControllerFixture fixture;
  fixture.controller.on_endpoint_list(fixture.proxies.now, EndpointListKind::complete,
                                      {entry(0, 0), entry(1, 1), entry(2, 2)});
  EXPECT_EQ(fixture.proxies.ejected.size(), 6U);
}

TEST(LastEndpointTest, TheLastEndpointOfAClassIsNeverEjected) {
  auto settings = small_settings();
  settings.classes[1].allowed_zones = {ZoneId{1}};
  ControllerFixture fixture(settings, 9);
  fixture.update_endpoint(entry(1, 1, EndpointPhase::gone));
  fixture.update_endpoint(entry(7, 1, EndpointPhase::gone));
  for (int second = 0; second < 10; ++second) fixture.run_second({{4, 10}});
  EXPECT_FALSE(fixture.proxies.ejected.contains(kFaultyReplica));
}

TEST(LastEndpointTest, LossOfTheOthersReturnsAnEjectedReplica) {
  auto settings = small_settings();
  settings.classes[1].allowed_zones = {ZoneId{1}};
  ControllerFixture fixture(settings, 9);
  for (int second = 0; second < 3; ++second) fixture.run_second();
  ASSERT_GE(fixture.seconds_until_state(4, true, {{4, 10}}, 10), 0);
  fixture.update_endpoint(entry(1, 1, EndpointPhase::gone));
  fixture.update_endpoint(entry(7, 1, EndpointPhase::gone));
  fixture.advance(1s);
  EXPECT_FALSE(fixture.proxies.ejected.contains(kFaultyReplica));
}

TEST(WarmUpTest, ANewReplicaNeverExceedsItsWarmUpCapacity) {
  ControllerFixture fixture;
  auto restarted = entry(4, 1);
  for (int second = 0; second < 3; ++second) fixture.run_second();
  const double full_share = fixture.proxies.request_share(ProxyId{1}, kFaultyReplica);
  fixture.update_endpoint(entry(4, 1, EndpointPhase::gone));
  fixture.advance(1s);
  restarted.started = fixture.proxies.now;
  fixture.update_endpoint(restarted);
  for (int second = 1; second < 14; ++second) {
    fixture.run_second();
    const double sure_capacity = 0.2 + 0.8 * second / 15;
    EXPECT_LE(fixture.proxies.request_share(ProxyId{1}, kFaultyReplica), 1.35 * sure_capacity * full_share)
        << second;
  }
}

// Guards against slow rollouts with thin traffic. A replica at the floor gets a fifth of its traffic, and may
// have no sound evidence for seconds. A replica with a short warm-up must not stay at the floor that long.
TEST(WarmUpTest, AReplicaWithAShortWarmUpClimbsWithoutEvidence) {
  auto settings = small_settings();
  settings.warm_up_duration = 1s;
  ControllerFixture fixture(settings);
  const double full_share = fixture.proxies.request_share(ProxyId{1}, kFaultyReplica);
  fixture.restart(4, 1);
  fixture.advance(1s);
  EXPECT_LT(fixture.proxies.request_share(ProxyId{1}, kFaultyReplica), 0.9 * full_share);
  fixture.advance(5s);
  EXPECT_GT(fixture.proxies.request_share(ProxyId{1}, kFaultyReplica), 0.9 * full_share);
}

// Guards against overloading new replicas: in a rollout of an overloaded fleet, a new replica that climbed
// without evidence was overloaded itself. A replica that is warm before overload can make it fail must still
// climb without evidence: in a recorded rollout half of the fleet waited for evidence in vain.
TEST(WarmUpTest, InOverloadANewReplicaThatCouldFailClimbsOnlyOnEvidence) {
  for (const auto overload_duration : {500ms, 2000ms}) {
    auto settings = small_settings();
    settings.warm_up_duration = 1s;
    settings.overload_duration = overload_duration;
    ControllerFixture fixture(settings);
    for (int second = 0; second < 3; ++second) fixture.run_second({}, 0, 10, 1.0F);
    const double full_share = fixture.proxies.request_share(ProxyId{1}, kFaultyReplica);
    fixture.restart(4, 1);
    fixture.advance(5s);
    EXPECT_EQ(fixture.proxies.request_share(ProxyId{1}, kFaultyReplica) > 0.5 * full_share,
              overload_duration > settings.warm_up_duration);
  }
}

// Guards against overloading new replicas in a congested zone: proxies that avoid replicas with failed
// attempts send nearly all attempts to the newest entry, even if its weight is small.
TEST(WarmUpTest, CongestionKeepsWarmingReplicasOutUntilItEnds) {
  ControllerFixture fixture;
  fixture.restart_during_congestion(4, 1);
  EXPECT_TRUE(fixture.proxies.ejected.contains(kFaultyReplica));
  for (int second = 0; second < 8; ++second) fixture.run_second();
  EXPECT_FALSE(fixture.proxies.ejected.contains(kFaultyReplica));
}

// Guards against missing the congestion of a single zone: in an overloaded rollout where proxies use only
// their own zone, the statistics of the whole fleet look healthy.
TEST(WarmUpTest, CongestionOfASingleZoneKeepsItsWarmingReplicasOut) {
  ControllerFixture fixture;
  for (int second = 0; second < 3; ++second) fixture.run_second();
  fixture.restart(4, 1);
  for (int second = 0; second < 4; ++second) fixture.run_second({{1, 4}, {7, 4}, {4, 4}});
  EXPECT_TRUE(fixture.proxies.ejected.contains(kFaultyReplica));
  EXPECT_EQ(
      std::count(fixture.proxies.log_lines.begin(), fixture.proxies.log_lines.end(), "warm_up_held zone=1"),
      1);
}

TEST(OutlierEjectionTest, MissingReportsOfAllReplicasEjectNone) {
  ControllerFixture fixture;
  for (int second = 0; second < 5; ++second) fixture.run_second();
  fixture.advance(20s);
  fixture.run_second();
  EXPECT_TRUE(fixture.proxies.ejected.empty());
}

TEST(LoadSheddingTest, AnOverloadedFleetShedsTheClassWithTheLowestPriority) {
  auto settings = small_settings();
  settings.classes[1].priority_weight = 5;
  ControllerFixture fixture(settings);
  for (int second = 0; second < 6; ++second) {
    for (std::uint16_t proxy = 0; proxy < 3; ++proxy) {
      for (std::uint16_t cls = 0; cls < 2; ++cls) {
        fixture.controller.on_demand_report(fixture.proxies.now, ProxyId{proxy},
                                            DemandReport{ClassId{cls}, 20, 0, 1s});
      }
    }
    fixture.run_second({}, 6, 10, 0.8F);
  }
  ASSERT_FALSE(fixture.proxies.admitted_fractions.empty());
  std::map<ClassMask, double> last_fractions;
  for (const auto& fraction : fixture.proxies.admitted_fractions)
    last_fractions[fraction.classes] = fraction.fraction;
  EXPECT_EQ(fixture.proxies.admitted_fractions.front().classes, 1U);
  EXPECT_LT(last_fractions[1], 0.5);
  EXPECT_TRUE(!last_fractions.contains(2) || last_fractions[2] > last_fractions[1]);
  for (int second = 0; second < 25; ++second) fixture.run_second();
  for (const auto& fraction : fixture.proxies.admitted_fractions)
    last_fractions[fraction.classes] = fraction.fraction;
  for (const auto& [classes, last] : last_fractions) EXPECT_EQ(last, 1.0);
}

TEST(LoadSheddingTest, RetriesAreDisabledUntilCongestionEnds) {
  ControllerFixture fixture;
  for (int second = 0; second < 5; ++second) fixture.run_second({}, 7);
  ASSERT_FALSE(fixture.proxies.admitted_fractions.empty());
  EXPECT_EQ(fixture.proxies.admitted_fractions.back().retry, RetryMode::none);
  for (int second = 0; second < 25; ++second) fixture.run_second();
  EXPECT_EQ(fixture.proxies.admitted_fractions.back().retry, RetryMode::after_rejection_proof);
}

TEST(ChannelLimitTest, BindingsOfManyJoiningProxiesAreSpreadOverTime) {
  auto settings = small_settings();
  settings.channel_max_queued_entries = 30;
  settings.channel_entries_per_second = 10;
  ControllerFixture fixture(settings);
  // A binding takes about 11 entries, and three bindings exceed the part of the channel for joining proxies.
  EXPECT_EQ(fixture.proxies.bound_proxies.size(), 2U);
  fixture.advance(10s);
  EXPECT_EQ(fixture.proxies.bound_proxies.size(), 3U);
}

Settings large_settings() {
  auto settings = small_settings();
  settings.proxies = 300;
  settings.min_replica_connections = 60;
  return settings;
}

// A fleet that has its final size from the first list on, since subsets are laid out only once.
struct LargeFixture {
  // The channel runs at its configured rate.
  LargeFixture()
      : proxies(large_settings().message_overhead_entries, large_settings().channel_entries_per_second),
        controller(large_settings(), 7, proxies.now, proxies) {
    for (std::uint32_t id = 0; id < 240; ++id) {
      entries.push_back(entry(id, static_cast<std::uint16_t>(id % 3)));
      entries.back().cell = CellId{static_cast<std::uint16_t>(id / 18)};
    }
    controller.on_endpoint_list(proxies.now, EndpointListKind::cached, entries);
    for (std::uint16_t proxy = 0; proxy < 300; ++proxy) {
      controller.on_proxy_joined(proxies.now, ProxyId{proxy}, ZoneId{static_cast<std::uint16_t>(proxy % 3)},
                                 3, true);
      proxies.send_messages();
    }
  }
  void advance(Nanos span) { proxies.advance(controller, span); }
  PacedFakeProxies proxies;
  std::vector<EndpointUpdate> entries;
  Controller controller;
};

// Guards against large tables: in a large deployment, tables with all replicas of a zone fill the channel and
// open too many connections.
TEST(SubsetTest, TablesStaySmallAndEveryReplicaIsUsed) {
  LargeFixture fixture;
  fixture.advance(10s);
  EXPECT_EQ(fixture.proxies.bound_proxies.size(), 300U);
  std::map<ReplicaId, double> connections;
  std::map<TableId, std::set<ProxyId>> users;
  for (const auto& [bound, table] : fixture.proxies.bound_tables) users[table].insert(bound.proxy);
  for (const auto& [table, entries] : fixture.proxies.tables) {
    std::map<CellId, int> cells;
    for (const auto& [id, weight] : entries) {
      connections[id] += static_cast<double>(users[table].size());
      EXPECT_LE(++cells[fixture.entries[static_cast<std::uint32_t>(id)].cell], 3)
          << "replicas of one cell in one table";
    }
  }
  EXPECT_EQ(connections.size(), 240U);
  for (const auto& [id, count] : connections) EXPECT_LE(count, 60);
}

TEST(SubsetTest, ASmallDeploymentHasOneSubsetForEachZone) {
  ControllerFixture fixture;
  std::set<TableId> used;
  for (const auto& [bound, table] : fixture.proxies.bound_tables) used.insert(table);
  EXPECT_EQ(used.size(), 3U);
}

// Guards against blocked ejections: in a large deployment, a batch larger than the channel was never sent,
// and the ejections of draining replicas in the batch were lost with it.
TEST(ChannelLimitTest, DrainingReplicasAreEjectedWhileTheChannelIsFull) {
  LargeFixture fixture;
  fixture.advance(1s);
  std::vector<EndpointUpdate> draining;
  for (std::uint32_t id = 0; id < 60; ++id) draining.push_back(entry(id, id % 3, EndpointPhase::draining));
  fixture.controller.on_endpoint_list(fixture.proxies.now, EndpointListKind::changes, draining);
  fixture.advance(2s);
  EXPECT_EQ(fixture.proxies.ejected.size(), 60U);
  for (const auto& [table, entries] : fixture.proxies.tables) EXPECT_GT(entries.size(), 0U);
}

// Guards against a wrong endpoint list that reports most replicas of a hardware kind as gone.
TEST(EndpointListTest, AListThatRemovesManyReplicasIsDoubtedUntilAttemptsFail) {
  for (const bool removal_is_binding : {false, true}) {
    auto settings = small_settings();
    settings.only_draining_is_binding = !removal_is_binding;
    ControllerFixture fixture(settings);
    for (int second = 0; second < 3; ++second) fixture.run_second();
    std::vector<EndpointUpdate> left;
    for (std::uint32_t id = 0; id < 4; ++id) left.push_back(entry(id, id % 3));
    fixture.controller.on_endpoint_list(fixture.proxies.now, EndpointListKind::complete, left);
    fixture.advance(1s);
    EXPECT_EQ(fixture.proxies.ejected.size(), removal_is_binding ? 5U : 0U);
    for (int second = 0; second < 4; ++second) fixture.run_second({{4, 10}});
    EXPECT_TRUE(fixture.proxies.ejected.contains(kFaultyReplica));
  }
}

// Guards against mistaking client timeouts for overload: requests that arrive with little time left before
// their deadline fail at all replicas, although the replicas have capacity.
TEST(LoadSheddingTest, FailuresOfIdleReplicasAreNotOverload) {
  ControllerFixture fixture;
  for (int second = 0; second < 8; ++second) fixture.run_second({}, 2, 10, 0.3F);
  // A partitioned zone makes a quarter of all attempts fail while half of the cores are idle.
  for (int second = 0; second < 8; ++second) fixture.run_second({}, 3, 10, 0.55F);
  for (const auto& admitted : fixture.proxies.admitted_fractions) EXPECT_EQ(admitted.fraction, 1.0);
}

// In a large fleet a load report covers several seconds, so evidence must last until the next report.
TEST(OutlierEjectionTest, EjectsOnInfrequentReports) {
  ControllerFixture fixture;
  for (int second = 0; second < 5; ++second) fixture.run_second({{4, 3}}, 0, 3, 0.5F, 4s);
  EXPECT_NE(std::count(fixture.proxies.log_lines.begin(), fixture.proxies.log_lines.end(),
                       "breaker_opened replica=4 cooldown_ms=2000"),
            0);
}

// Guards against replicas that are never readmitted after congestion: in a rollout of a large fleet, tables
// filled the channel, and returns of replicas did not fit.
TEST(LastEndpointTest, AReplicaKeptOutDuringCongestionIsReadmitted) {
  ControllerFixture fixture;
  fixture.restart_during_congestion(4, 1);
  ASSERT_TRUE(fixture.proxies.ejected.contains(kFaultyReplica));
  for (const std::uint32_t id : {1, 7}) fixture.update_endpoint(entry(id, 1, EndpointPhase::gone));
  for (int second = 0; second < 4; ++second) fixture.run_second();
  EXPECT_FALSE(fixture.proxies.ejected.contains(kFaultyReplica));
}

// Guards against state that grows with every replica that ever existed.
// A replica that returns within a minute is still known.
TEST(EndpointListTest, AReplicaThatIsGoneForLongIsForgotten) {
  ControllerFixture fixture;
  for (std::uint32_t id = 100; id < 120; ++id) fixture.update_endpoint(entry(id, id % 3));
  for (int second = 0; second < 3; ++second) fixture.run_second();
  for (std::uint32_t id = 100; id < 120; ++id)
    fixture.update_endpoint(entry(id, id % 3, EndpointPhase::gone));
  fixture.advance(30s);
  EXPECT_EQ(fixture.proxies.ejected.size(), 20U);
  fixture.advance(60s);
  EXPECT_EQ(fixture.proxies.ejected.size(), 0U);
  for (const auto& [table, entries] : fixture.proxies.tables) {
    for (const auto& [id, weight] : entries) EXPECT_LT(static_cast<std::uint32_t>(id), 100U);
  }
  fixture.update_endpoint(entry(100, 1));
  fixture.advance(3s);
  EXPECT_GT(fixture.proxies.request_share(ProxyId{1}, ReplicaId{100}), 0.0)
      << "a forgotten replica may return";
}

TEST(EndpointListTest, AFailedWatchIsRetriedAfterABackoff) {
  auto settings = small_settings();
  settings.poll_endpoint_list = true;
  ControllerFixture fixture(settings);
  ASSERT_EQ(fixture.proxies.watch_requests, 1);
  fixture.controller.on_endpoint_list_failed(fixture.proxies.now);
  EXPECT_EQ(fixture.proxies.watch_requests, 1);
  fixture.advance(5s);
  EXPECT_EQ(fixture.proxies.watch_requests, 2);
}

}  // namespace
}  // namespace ospreypost::test
