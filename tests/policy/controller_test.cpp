#include <gtest/gtest.h>

#include <random>

#include "support.h"

namespace ospreypost::test {
namespace {

constexpr ReplicaId kSick{4};

TEST(Breaker, TripsAReplicaWhoseTriesFail) {
  Scene scene;
  for (int s = 0; s < 3; ++s) scene.second();
  const int took = scene.seconds_until(4, true, {{4, 10}}, 10);
  EXPECT_GE(took, 1);
  EXPECT_LE(took, 3);
}

TEST(Breaker, TwoUnluckyTriesTripNothing) {
  Scene scene;
  for (int s = 0; s < 6; ++s) scene.second({{4, s == 2 ? 2u : 0u}}, 0, 2);
  EXPECT_TRUE(scene.host.withdrawn.empty());
}

// Found on sockets: a governor of few proxies saw 1.3 tries a second at each replica, and no count of 4 was
// met.
TEST(Breaker, ThinTrafficTripsWhatFailsAllItsTries) {
  Scene scene;
  for (int s = 0; s < 3; ++s) scene.second({}, 0, 1);
  int seconds = 0;
  for (; seconds < 9 && !scene.host.withdrawn.contains(kSick); ++seconds) scene.second({{4, 1}}, 0, 1);
  EXPECT_LE(seconds, 6);
  EXPECT_GE(seconds, 3) << "two may be bad luck";
  EXPECT_EQ(scene.host.withdrawn.size(), 1u);
}

TEST(Breaker, FailureOfAllTripsNone) {
  Scene scene;
  for (int s = 0; s < 10; ++s) scene.second({}, 7);
  EXPECT_TRUE(scene.host.withdrawn.empty());
}

TEST(Breaker, CooldownDoublesForARepeat) {
  Scene scene;
  for (int s = 0; s < 3; ++s) scene.second();
  ASSERT_GE(scene.seconds_until(4, true, {{4, 10}}, 10), 0);
  const int first = scene.seconds_until(4, false, {}, 30);
  ASSERT_GE(scene.seconds_until(4, true, {{4, 10}}, 30), 0);
  const int second = scene.seconds_until(4, false, {}, 40);
  EXPECT_GT(first, 0);
  EXPECT_GE(second, 2 * first - 1);
}

TEST(Breaker, ReturnsAtTheFloorAndClimbsOnlyOnEvidence) {
  Scene scene;
  for (int s = 0; s < 3; ++s) scene.second();
  const double full = scene.host.part(ProxyId{1}, kSick);
  ASSERT_GE(scene.seconds_until(4, true, {{4, 10}}, 10), 0);
  ASSERT_GE(scene.seconds_until(4, false, {}, 30), 0);
  EXPECT_LT(scene.host.part(ProxyId{1}, kSick), 0.35 * full);
  scene.pass(30s);  // nothing is heard: undecided holds
  EXPECT_LT(scene.host.part(ProxyId{1}, kSick), 0.35 * full);
  for (int s = 0; s < 25; ++s) scene.second();
  EXPECT_NEAR(scene.host.part(ProxyId{1}, kSick), full, 0.15 * full);
}

TEST(Breaker, NeverTakesOutMoreThanItsPart) {
  Scene scene;
  std::map<std::uint32_t, unsigned> sick;
  for (std::uint32_t id = 0; id < 5; ++id) sick[id] = 10;
  for (int s = 0; s < 12; ++s) {
    scene.second(sick);
    EXPECT_LE(scene.host.withdrawn.size(), 4u);
  }
}

TEST(Drains, AreWithdrawnAtOnce) {
  Scene scene;
  scene.list(entry(4, 1, EndpointPhase::draining));
  EXPECT_TRUE(scene.host.withdrawn.contains(kSick));
  scene.pass(10s);
  for (const auto& [table, lines] : scene.host.tables) EXPECT_FALSE(lines.contains(kSick));
}

TEST(Drains, AMissingEntryOfACompleteListIsGone) {
  Scene scene;
  scene.governor.on_endpoint_list(scene.host.now, EndpointListKind::complete,
                                  {entry(0, 0), entry(1, 1), entry(2, 2)});
  EXPECT_EQ(scene.host.withdrawn.size(), 6u);
}

TEST(Bare, ATripNeverTakesTheLastReplicaOfAClass) {
  auto settings = small_settings();
  settings.classes[1].allowed_zones = {ZoneId{1}};
  Scene scene(settings, 9);
  scene.list(entry(1, 1, EndpointPhase::gone));
  scene.list(entry(7, 1, EndpointPhase::gone));
  for (int s = 0; s < 10; ++s) scene.second({{4, 10}});
  EXPECT_FALSE(scene.host.withdrawn.contains(kSick));
}

TEST(Bare, ADeathBringsBackWhatTheBreakerHeld) {
  auto settings = small_settings();
  settings.classes[1].allowed_zones = {ZoneId{1}};
  Scene scene(settings, 9);
  for (int s = 0; s < 3; ++s) scene.second();
  ASSERT_GE(scene.seconds_until(4, true, {{4, 10}}, 10), 0);
  scene.list(entry(1, 1, EndpointPhase::gone));
  scene.list(entry(7, 1, EndpointPhase::gone));
  scene.pass(1s);
  EXPECT_FALSE(scene.host.withdrawn.contains(kSick));
}

TEST(Cold, ANewReplicaStartsSmallAndCannotOutgrowItsWarming) {
  Scene scene;
  auto fresh = entry(4, 1);
  for (int s = 0; s < 3; ++s) scene.second();
  const double full = scene.host.part(ProxyId{1}, kSick);
  scene.list(entry(4, 1, EndpointPhase::gone));
  scene.pass(1s);
  fresh.started = scene.host.now;
  scene.list(fresh);
  for (int s = 1; s < 14; ++s) {
    scene.second();
    const double sure = 0.2 + 0.8 * s / 15;
    EXPECT_LE(scene.host.part(ProxyId{1}, kSick), 1.35 * sure * full) << s;
  }
}

// Found on a day of releases on sockets: a fifth of thin traffic is no evidence for seconds, and a start that
// is sure to be warm soon stood at the floor all the while.
TEST(Cold, WhatIsSoonWarmClimbsWithoutEvidence) {
  auto settings = small_settings();
  settings.warm_up_duration = 1s;
  Scene scene(settings);
  const double full = scene.host.part(ProxyId{1}, kSick);
  scene.restart(4, 1);
  scene.pass(1s);
  EXPECT_LT(scene.host.part(ProxyId{1}, kSick), 0.9 * full);
  scene.pass(5s);
  EXPECT_GT(scene.host.part(ProxyId{1}, kSick), 0.9 * full);
}

// Found by a full regression: on an overloaded release day a replica that climbed so was pushed over.
// What is warm before it could be pushed over need not wait: on a recorded day half the fleet did.
TEST(Cold, UnderPressureANewReplicaThatCouldFallClimbsOnEvidenceOnly) {
  for (const auto overload_duration : {500ms, 2000ms}) {
    auto settings = small_settings();
    settings.warm_up_duration = 1s;
    settings.overload_duration = overload_duration;
    Scene scene(settings);
    for (int s = 0; s < 3; ++s) scene.second({}, 0, 10, 1.0F);
    const double full = scene.host.part(ProxyId{1}, kSick);
    scene.restart(4, 1);
    scene.pass(5s);
    EXPECT_EQ(scene.host.part(ProxyId{1}, kSick) > 0.5 * full, overload_duration > settings.warm_up_duration);
  }
}

// Found by a hunt: proxies that shun all else come down on the newest line, however light.
TEST(Cold, AJamHoldsColdReplicasOutUntilItIsOver) {
  Scene scene;
  scene.restart_into_a_jam(4, 1);
  EXPECT_TRUE(scene.host.withdrawn.contains(kSick));
  for (int s = 0; s < 8; ++s) scene.second();
  EXPECT_FALSE(scene.host.withdrawn.contains(kSick));
}

// Found on an overloaded release day: a zone that keeps to itself jams alone while the fleet looks well.
TEST(Cold, AJamOfItsOwnZoneIsEnoughToHoldIt) {
  Scene scene;
  for (int s = 0; s < 3; ++s) scene.second();
  scene.restart(4, 1);
  for (int s = 0; s < 4; ++s) scene.second({{1, 4}, {7, 4}, {4, 4}});
  EXPECT_TRUE(scene.host.withdrawn.contains(kSick));
  EXPECT_EQ(std::count(scene.host.logged.begin(), scene.host.logged.end(), "hold cold in zone 1"), 1);
}

TEST(Breaker, SilenceOfAllTripsNone) {
  Scene scene;
  for (int s = 0; s < 5; ++s) scene.second();
  scene.pass(20s);
  scene.second();
  EXPECT_TRUE(scene.host.withdrawn.empty());
}

TEST(Shedding, ACrowdedFleetLetsInLessOfWhatPaysLeast) {
  auto settings = small_settings();
  settings.classes[1].priority_weight = 5;
  Scene scene(settings);
  for (int s = 0; s < 6; ++s) {
    for (std::uint16_t p = 0; p < 3; ++p) {
      for (std::uint16_t k = 0; k < 2; ++k) {
        scene.governor.on_demand_report(scene.host.now, ProxyId{p}, DemandReport{ClassId{k}, 20, 0, 1s});
      }
    }
    scene.second({}, 6, 10, 0.8F);
  }
  ASSERT_FALSE(scene.host.levels.empty());
  std::map<ClassMask, double> level;
  for (const auto& l : scene.host.levels) level[l.classes] = l.level;
  EXPECT_EQ(scene.host.levels.front().classes, 1u);
  EXPECT_LT(level[1], 0.5);
  EXPECT_TRUE(!level.contains(2) || level[2] > level[1]);
  for (int s = 0; s < 25; ++s) scene.second();
  for (const auto& l : scene.host.levels) level[l.classes] = l.level;
  for (const auto& [classes, last] : level) EXPECT_EQ(last, 1.0);
}

TEST(Shedding, AJamGetsNoSecondTryUntilItIsOver) {
  Scene scene;
  for (int s = 0; s < 5; ++s) scene.second({}, 7);
  ASSERT_FALSE(scene.host.levels.empty());
  EXPECT_EQ(scene.host.levels.back().retry, RetryMode::none);
  for (int s = 0; s < 25; ++s) scene.second();
  EXPECT_EQ(scene.host.levels.back().retry, RetryMode::after_rejection_proof);
}

TEST(Channel, AJoiningWaveWaitsForItsTurn) {
  auto settings = small_settings();
  settings.channel_max_queued_entries = 30;
  settings.channel_entries_per_second = 10;
  Scene scene(settings);
  // A binding is some 11 lines, and all three are past what joins may fill.
  EXPECT_EQ(scene.host.bindings.size(), 2u);
  scene.pass(10s);
  EXPECT_EQ(scene.host.bindings.size(), 3u);
}

Settings large_settings() {
  auto settings = small_settings();
  settings.proxies = 300;
  settings.min_replica_connections = 60;
  return settings;
}

// A fleet of its final size from the first list on: subsets are laid once.
struct LargeScene {
  // Its channel runs at its stated pace.
  LargeScene()
      : host(large_settings().message_overhead_entries, large_settings().channel_entries_per_second),
        governor(large_settings(), 7, host.now, host) {
    for (std::uint32_t id = 0; id < 240; ++id) {
      entries.push_back(entry(id, static_cast<std::uint16_t>(id % 3)));
      entries.back().cell = CellId{static_cast<std::uint16_t>(id / 18)};
    }
    governor.on_endpoint_list(host.now, EndpointListKind::cached, entries);
    for (std::uint16_t p = 0; p < 300; ++p) {
      governor.on_proxy_joined(host.now, ProxyId{p}, ZoneId{static_cast<std::uint16_t>(p % 3)}, 3, true);
      host.take();
    }
  }
  void pass(Nanos span) { host.pass(governor, span); }
  ChannelHost host;
  std::vector<EndpointUpdate> entries;
  Controller governor;
};

// Found on the grown deployments: whole tables a zone fill the channel and open too many connections.
TEST(Subsets, KeepTablesSmallAndUseEveryReplica) {
  LargeScene scene;
  scene.pass(10s);
  EXPECT_EQ(scene.host.bindings.size(), 300u);
  std::map<ReplicaId, double> connections;
  std::map<TableId, std::set<ProxyId>> users;
  for (const auto& [at, table] : scene.host.bound) users[table].insert(at.first);
  for (const auto& [table, lines] : scene.host.tables) {
    std::map<CellId, int> cells;
    for (const auto& [id, weight] : lines) {
      connections[id] += static_cast<double>(users[table].size());
      EXPECT_LE(++cells[scene.entries[static_cast<std::uint32_t>(id)].cell], 3) << "a cell in one table";
    }
  }
  EXPECT_EQ(connections.size(), 240u);
  for (const auto& [id, open] : connections) EXPECT_LE(open, 60);
}

TEST(Subsets, AreOneAZoneWhereAllFits) {
  Scene scene;
  std::set<TableId> used;
  for (const auto& [at, table] : scene.host.bound) used.insert(table);
  EXPECT_EQ(used.size(), 3u);
}

// Found on the grown deployments: a reply larger than the channel never went out, drains included.
TEST(Channel, DrainsGoOutWhateverElseWaits) {
  LargeScene scene;
  scene.pass(1s);
  std::vector<EndpointUpdate> draining;
  for (std::uint32_t id = 0; id < 60; ++id) draining.push_back(entry(id, id % 3, EndpointPhase::draining));
  scene.governor.on_endpoint_list(scene.host.now, EndpointListKind::changes, draining);
  scene.pass(2s);
  EXPECT_EQ(scene.host.withdrawn.size(), 60u);
  for (const auto& [table, lines] : scene.host.tables) EXPECT_GT(lines.size(), 0u);
}

// Found on orange-river-pivots-later: the roster calls most of a kind gone while they serve.
TEST(Listing, AListThatLosesMuchAtOnceIsDoubtedUntilTriesFail) {
  for (const bool gone_binds : {false, true}) {
    auto settings = small_settings();
    settings.only_draining_is_binding = !gone_binds;
    Scene scene(settings);
    for (int s = 0; s < 3; ++s) scene.second();
    std::vector<EndpointUpdate> left;
    for (std::uint32_t id = 0; id < 4; ++id) left.push_back(entry(id, id % 3));
    scene.governor.on_endpoint_list(scene.host.now, EndpointListKind::complete, left);
    scene.pass(1s);
    EXPECT_EQ(scene.host.withdrawn.size(), gone_binds ? 5u : 0u);
    for (int s = 0; s < 4; ++s) scene.second({{4, 10}});
    EXPECT_TRUE(scene.host.withdrawn.contains(kSick));
  }
}

// Found on windhoek-telemetry-later: clients with little time left fail everywhere while replicas have room.
TEST(Shedding, FailuresOfIdleReplicasAreNotOverload) {
  Scene scene;
  for (int s = 0; s < 8; ++s) scene.second({}, 2, 10, 0.3F);
  // Found on sockets: a zone that was cut off failed a quarter of all tries while half the cores were idle.
  for (int s = 0; s < 8; ++s) scene.second({}, 3, 10, 0.55F);
  for (const auto& level : scene.host.levels) EXPECT_EQ(level.level, 1.0);
}

// At size a sum covers several seconds: evidence must outlast the wait for the next one.
TEST(Breaker, JudgesOnSumsThatComeRarely) {
  Scene scene;
  for (int s = 0; s < 5; ++s) scene.second({{4, 3}}, 0, 3, 0.5F, 4s);
  EXPECT_NE(std::count(scene.host.logged.begin(), scene.host.logged.end(), "trip replica 4 for 2000 ms"), 0);
}

// Found on a release at size: what returns was never let in again while tables filled the channel.
TEST(Bare, WhatAJamHeldIsLetInAgain) {
  Scene scene;
  scene.restart_into_a_jam(4, 1);
  ASSERT_TRUE(scene.host.withdrawn.contains(kSick));
  for (const std::uint32_t id : {1, 7}) scene.list(entry(id, 1, EndpointPhase::gone));
  for (int s = 0; s < 4; ++s) scene.second();
  EXPECT_FALSE(scene.host.withdrawn.contains(kSick));
}

// Against state that grows with every replica that ever was; what comes back within a minute is still known.
TEST(Listing, WhatIsGoneForLongIsForgotten) {
  Scene scene;
  for (std::uint32_t id = 100; id < 120; ++id) scene.list(entry(id, id % 3));
  for (int s = 0; s < 3; ++s) scene.second();
  for (std::uint32_t id = 100; id < 120; ++id) scene.list(entry(id, id % 3, EndpointPhase::gone));
  scene.pass(30s);
  EXPECT_EQ(scene.host.withdrawn.size(), 20u);
  scene.pass(60s);
  EXPECT_EQ(scene.host.withdrawn.size(), 0u);
  for (const auto& [table, lines] : scene.host.tables) {
    for (const auto& [id, weight] : lines) EXPECT_LT(static_cast<std::uint32_t>(id), 100u);
  }
  scene.list(entry(100, 1));
  scene.pass(3s);
  EXPECT_GT(scene.host.part(ProxyId{1}, ReplicaId{100}), 0.0) << "and may come back";
}

TEST(Listing, AFailedWatchIsAskedAnewAfterAWhile) {
  auto settings = small_settings();
  settings.poll_endpoint_list = true;
  Scene scene(settings);
  ASSERT_EQ(scene.host.watches, 1);
  scene.governor.on_endpoint_list_failed(scene.host.now);
  EXPECT_EQ(scene.host.watches, 1);
  scene.pass(5s);
  EXPECT_EQ(scene.host.watches, 2);
}

// The rules in their plainest form, held against the module on generated days.
class Rules : public ::testing::TestWithParam<unsigned> {};

TEST_P(Rules, HoldOnGeneratedInput) {
  std::mt19937 chance(GetParam());
  const auto roll = [&](unsigned n) { return static_cast<std::uint32_t>(chance() % n); };
  auto settings = small_settings();
  if (roll(2)) settings.classes[1].allowed_zones = {ZoneId{0}, ZoneId{2}};
  Scene scene(settings, 9);
  std::map<std::uint32_t, EndpointPhase> listed;
  std::map<std::uint32_t, Nanos> told;
  for (std::uint32_t id = 0; id < 9; ++id) listed[id] = EndpointPhase::ready;
  for (int step = 0; step < 60; ++step) {
    std::map<std::uint32_t, unsigned> failed;
    for (std::uint32_t id = 0; id < 9; ++id) failed[id] = roll(4) ? 0 : roll(11);
    scene.second(failed, 0, 1 + roll(12));
    if (roll(3) == 0) {
      const auto id = roll(9);
      const auto phase = static_cast<EndpointPhase>(roll(3));
      const auto others = std::count_if(listed.begin(), listed.end(), [&](const auto& l) {
        return l.first != id && l.second == EndpointPhase::ready;
      });
      if (phase == EndpointPhase::ready || others >= 4) {
        if (phase != EndpointPhase::ready && listed[id] == EndpointPhase::ready) told[id] = scene.host.now;
        auto e = entry(id, static_cast<std::uint16_t>(id % 3), phase);
        if (phase == EndpointPhase::ready && listed[id] != EndpointPhase::ready) e.started = scene.host.now;
        if (phase != listed[id]) scene.list(e);
        listed[id] = phase;
      }
    }
    if (roll(8) == 0) {
      const ProxyId proxy{static_cast<std::uint16_t>(roll(3))};
      scene.governor.on_proxy_left(scene.host.now, proxy);
      for (unsigned k = 0; k < 2; ++k) scene.host.bound.erase({proxy, k});
      scene.governor.on_proxy_joined(scene.host.now, proxy, ZoneId{static_cast<std::uint16_t>(proxy)}, 20,
                                     false);
    }
    const auto& host = scene.host;
    for (const auto& [id, phase] : listed) {
      if (phase != EndpointPhase::ready &&
          host.now - told[id] > settings.drain_grace - settings.message_delay) {
        EXPECT_TRUE(host.withdrawn.contains(ReplicaId{id})) << "drain of " << id << " at step " << step;
      }
    }
    for (const auto& [at, table] : host.bound) {
      const auto& only = settings.classes[at.second].allowed_zones;
      bool open = false, served = false;
      for (const auto& [id, phase] : listed) {
        const ZoneId zone{static_cast<std::uint16_t>(id % 3)};
        const bool allowed = only.empty() || std::find(only.begin(), only.end(), zone) != only.end();
        if (!allowed) {
          EXPECT_FALSE(host.tables.at(table).contains(ReplicaId{id}));
          continue;
        }
        open |= phase == EndpointPhase::ready;
        served |= host.tables.at(table).contains(ReplicaId{id}) && !host.withdrawn.contains(ReplicaId{id});
      }
      EXPECT_TRUE(served || !open) << "bare at step " << step;
    }
    for (const auto& level : host.levels) {
      EXPECT_FALSE((level.classes == 0 || (level.classes & 2u)) &&
                   level.retry > RetryMode::after_rejection_proof);
    }
    EXPECT_EQ(host.repeated, 0);
    const auto recent = std::count_if(host.messages.begin(), host.messages.end(),
                                      [&](Nanos at) { return at > host.now - settings.message_window; });
    EXPECT_LE(recent, static_cast<long>(settings.max_messages_per_window));
  }
}

INSTANTIATE_TEST_SUITE_P(Days, Rules, ::testing::Range(1u, 41u));

}  // namespace
}  // namespace ospreypost::test
