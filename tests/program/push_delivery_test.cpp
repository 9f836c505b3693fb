// When proxies that are pushed to are sent what, and which of several governors orders them.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "routing_state/lease_table.h"
#include "routing_state/push_scheduler.h"

namespace ospreypost::routing_state {
namespace {

using namespace std::chrono_literals;

constexpr PushLimits kLimits{2, 1000, 12, 10s, 2500ms, 1s};
// Signs of life more often than tokens come.
constexpr PushLimits kLively{2, 1000, 12, 10s, 2500ms, 250ms};

std::shared_ptr<const ProxySnapshot> snapshot_of(std::uint64_t since,
                                                 std::initializer_list<std::uint32_t> replicas) {
  auto view = std::make_shared<RoutingTable>();
  for (const auto id : replicas) view->entries.push_back({ReplicaId{id}, 1.0});
  auto proxy_snapshot = std::make_shared<ProxySnapshot>();
  proxy_snapshot->changed_in = SnapshotVersion{since};
  proxy_snapshot->routing_tables = {view};
  return proxy_snapshot;
}

struct PushScene {
  PushScheduler pushes{kLimits};
  ProxyId proxy{1};
  PushScene() {
    pushes.add_known(0s, proxy);
    EXPECT_FALSE(pushes.take_push(0s)->proxy_snapshot);
    pushes.on_joined(0s, proxy, true);
    pushes.on_published(0s, proxy, snapshot_of(1, {1, 2}), 3);
    EXPECT_EQ(pushes.take_push(0s)->proxy_snapshot->changed_in, SnapshotVersion{1});
    pushes.on_confirmed(10ms, proxy, SnapshotVersion{1});
  }
};

TEST(PushScheduler, WithdrawalsGoFirstAndArePressedOnWith) {
  PushScene scene;
  auto& pushes = scene.pushes;
  pushes.add_known(0s, ProxyId{0});
  pushes.on_joined(0s, ProxyId{0}, true);
  pushes.on_published(1s, ProxyId{0}, snapshot_of(2, {1, 2}), 3);
  pushes.on_published(1s, scene.proxy, snapshot_of(2, {1}), 1);
  EXPECT_EQ(pushes.take_push(1s)->proxy, scene.proxy);
  pushes.on_failed(1100ms, scene.proxy);
  EXPECT_EQ(pushes.take_push(1101ms)->proxy, ProxyId{0});
  EXPECT_FALSE(pushes.take_push(1102ms));
  EXPECT_EQ(pushes.take_push(1200ms)->proxy, scene.proxy);
  // A confirmation of something older is none.
  pushes.on_confirmed(1300ms, scene.proxy, SnapshotVersion{1});
  EXPECT_EQ(pushes.take_push(1301ms)->proxy_snapshot->changed_in, SnapshotVersion{2});
  pushes.on_confirmed(1400ms, scene.proxy, SnapshotVersion{2});
  EXPECT_TRUE(pushes.take_lost(3600ms).empty());
}

TEST(PushScheduler, WhoCannotConfirmAWithdrawalIsGivenUpOn) {
  PushScene scene;
  scene.pushes.on_published(1s, scene.proxy, snapshot_of(2, {1}), 1);
  Nanos now = 1s;
  for (; now < 3400ms; now += 20ms) {
    if (scene.pushes.take_push(now)) scene.pushes.on_failed(now, scene.proxy);
    EXPECT_TRUE(scene.pushes.take_lost(now).empty());
  }
  EXPECT_EQ(scene.pushes.take_lost(3600ms), std::vector{scene.proxy});
  EXPECT_FALSE(scene.pushes.is_joined(scene.proxy));
  // It answers again, with an unknown table: the whole one must reach it in time as well.
  scene.pushes.on_joined(5s, scene.proxy, false);
  scene.pushes.on_published(5s, scene.proxy, snapshot_of(2, {1}), 3);
  EXPECT_EQ(scene.pushes.take_lost(7600ms), std::vector{scene.proxy});
}

// Its lease runs while a change waits for the channel or for a token.
TEST(PushScheduler, GoOnGivingSignsOfLifeToWhoWaits) {
  PushScene scene;
  std::uint64_t version = 1;
  Nanos now = 10ms, spoke = now;
  for (; now < 9s; now += 10ms) {
    if (now % 100ms == 0ns) {
      ++version;
      scene.pushes.on_published(now, scene.proxy, snapshot_of(version, {1, 2, 3 + (version % 2 ? 1U : 0U)}),
                                1);
    }
    if (const auto offer = scene.pushes.take_push(now)) {
      scene.pushes.on_confirmed(
          now, scene.proxy, offer->proxy_snapshot ? offer->proxy_snapshot->changed_in : SnapshotVersion{});
      spoke = now;
    }
    EXPECT_LE(now - spoke, kLimits.liveness_interval);
  }
}

TEST(PushScheduler, WhoseTablesAreGoneGetsThemAgain) {
  PushScene scene;
  auto& pushes = scene.pushes;
  EXPECT_FALSE(pushes.take_push(2s)->proxy_snapshot);
  EXPECT_FALSE(pushes.on_liveness(2s, scene.proxy, SnapshotVersion{1}));
  EXPECT_FALSE(pushes.take_push(4s)->proxy_snapshot);
  EXPECT_TRUE(pushes.on_liveness(4s, scene.proxy, std::nullopt));
  pushes.on_published(4s, scene.proxy, snapshot_of(1, {1, 2}), 3);
  EXPECT_EQ(pushes.take_push(4s)->proxy_snapshot->changed_in, SnapshotVersion{1});
}

// A way back by hand stands, until it would send to somebody who is out since.
TEST(PushScheduler, AWayBackIsRecalledWhenItNamesWhoIsOut) {
  PushScene scene;
  auto& pushes = scene.pushes;
  pushes.on_published(1s, scene.proxy, snapshot_of(2, {1}), 1);
  pushes.take_push(1s);
  pushes.on_confirmed(1s, scene.proxy, SnapshotVersion{2});
  pushes.on_ejected(1500ms, {ReplicaId{3}});
  pushes.on_rollback(1500ms, scene.proxy, {ReplicaId{1}, ReplicaId{2}});
  EXPECT_FALSE(pushes.take_push(1900ms));
  // The newest does not name it, so nothing is ordered.
  pushes.on_ejected(2100ms, {ReplicaId{2}, ReplicaId{3}});
  const auto offer = pushes.take_push(2100ms);
  ASSERT_TRUE(offer && offer->proxy_snapshot);
  EXPECT_TRUE(offer->overrides_rollback);
  EXPECT_EQ(offer->proxy_snapshot->changed_in, SnapshotVersion{2});
  pushes.on_failed(2200ms, scene.proxy);
  EXPECT_EQ(pushes.take_lost(4700ms), std::vector{scene.proxy});
}

// It came with a table of unknown make, and waits for a token: signs of life meanwhile do not put that off.
TEST(PushScheduler, WhoWaitsForTheFirstTokenGetsIt) {
  PushScheduler pushes(kLively);
  const ProxyId proxy{1};
  pushes.add_known(0s, proxy);
  pushes.take_push(0s);
  pushes.on_joined(0s, proxy, false);
  pushes.on_published(0s, proxy, snapshot_of(9, {1}), 1);
  Nanos now = 0s;
  for (; now < 2s; now += 20ms) {
    const auto offer = pushes.take_push(now);
    if (!offer) continue;
    if (offer->proxy_snapshot) break;
    pushes.on_liveness(now, proxy, SnapshotVersion{4});
  }
  EXPECT_LT(now, 1200ms);
  EXPECT_GT(now, 500ms);
}

// Governors that die and start again each second know nothing of each other's messages.
TEST(PushScheduler, ManyLivesTogetherKeepTheMessages) {
  const ProxyId proxy{1};
  std::deque<Nanos> messages;
  std::uint64_t version = 0;
  Nanos now = 0s;
  for (int life = 0; life < 30; ++life) {
    PushScheduler pushes(kLimits);
    pushes.add_known(now, proxy);
    pushes.take_push(now);
    pushes.on_joined(now, proxy, life == 0);
    const Nanos dies = now + (life % 3 == 0 ? 700ms : 1500ms);
    for (; now < dies; now += 20ms) {
      if (now % 200ms == 0ns)
        pushes.on_published(now, proxy, snapshot_of(++version, {static_cast<std::uint32_t>(version)}), 1);
      const auto offer = pushes.take_push(now);
      if (!offer) continue;
      if (offer->proxy_snapshot) messages.push_back(now);
      pushes.on_confirmed(now, proxy,
                          offer->proxy_snapshot ? offer->proxy_snapshot->changed_in : SnapshotVersion{});
      while (!messages.empty() && messages.front() <= now - 10s) messages.pop_front();
      EXPECT_LE(messages.size(), kLimits.max_messages_per_window);
    }
  }
  EXPECT_GT(messages.size(), 3U);
}

TEST(PushScheduler, WhoFollowsAnotherIsGivenUpAtOnce) {
  PushScene scene;
  scene.pushes.on_published(1s, scene.proxy, snapshot_of(2, {1}), 1);
  scene.pushes.take_push(1s);
  scene.pushes.on_rejected(1s, scene.proxy);
  EXPECT_FALSE(scene.pushes.is_joined(scene.proxy));
  EXPECT_FALSE(scene.pushes.take_push(1500ms));
  EXPECT_EQ(scene.pushes.counts().queued_entries, 0);
  // Looked at now and then.
  EXPECT_FALSE(scene.pushes.take_push(2100ms)->proxy_snapshot);
}

// A slow proxy holds up nobody; no window holds too many messages to any; what is confirmed last is what
// stands.
RC_GTEST_PROP(PushScheduler, ReachEverybodyWithinTheMessages, ()) {
  constexpr std::uint16_t proxies = 4;
  PushScheduler pushes(kLimits);
  std::map<ProxyId, std::deque<std::pair<Nanos, std::uint64_t>>> messages;
  std::map<ProxyId, std::shared_ptr<const ProxySnapshot>> standing, given;
  std::multimap<Nanos, PendingPush> under_way;
  for (std::uint16_t p = 0; p < proxies; ++p) {
    pushes.add_known(0s, ProxyId{p});
    pushes.take_push(0s);
    pushes.on_joined(0s, ProxyId{p}, true);
  }
  Nanos now = 0s;
  std::uint64_t version = 0;
  const auto turn = [&](bool failing) {
    while (!under_way.empty() && under_way.begin()->first <= now) {
      const auto offer = under_way.begin()->second;
      under_way.erase(under_way.begin());
      if (failing && *rc::gen::inRange(0, 4) == 0) {
        pushes.on_failed(now, offer.proxy);
      } else {
        if (offer.proxy_snapshot) given[offer.proxy] = offer.proxy_snapshot;
        pushes.on_confirmed(now, offer.proxy,
                            offer.proxy_snapshot ? offer.proxy_snapshot->changed_in : SnapshotVersion{});
      }
    }
    while (const auto offer = pushes.take_push(now)) {
      if (offer->proxy_snapshot) {
        auto& sent = messages[offer->proxy];
        const auto since = static_cast<std::uint64_t>(offer->proxy_snapshot->changed_in);
        if (sent.empty() || sent.back().second != since) sent.emplace_back(now, since);
        while (sent.front().first <= now - 10s) sent.pop_front();
        RC_ASSERT(sent.size() <= 12U);
      }
      under_way.emplace(now + (offer->proxy == ProxyId{0} ? 900ms : 20ms), *offer);
    }
  };
  for (int n = *rc::gen::inRange(20, 200); n > 0; --n) {
    now += std::chrono::milliseconds(*rc::gen::inRange(1, 300));
    if (*rc::gen::arbitrary<bool>()) {
      const ProxyId proxy{static_cast<std::uint16_t>(*rc::gen::inRange(0, static_cast<int>(proxies)))};
      standing[proxy] =
          *rc::gen::arbitrary<bool>() ? snapshot_of(++version, {1, 2}) : snapshot_of(++version, {2, 3});
      pushes.on_published(now, proxy, standing[proxy], 2);
    }
    turn(true);
  }
  for (int n = 0; n < 400; ++n) now += 50ms, turn(false);
  for (const auto& [proxy, proxy_snapshot] : standing) RC_ASSERT(given[proxy] == proxy_snapshot);
  RC_ASSERT(pushes.counts().queued_entries == 0);
}

// --- Claims

// What keeps a proxy's tables, as plainly as it can be said.
struct Keeper {
  RemoteState lies;
  int quiet = 0;  // steps since its owner spoke
  RemoteState look(const LeaseTable& by, ProxyId proxy) {
    if (lies.has_table && lies.owner == by.owner() && lies.epoch == by.epoch(proxy)) quiet = 0;
    auto seen = lies;
    seen.lease_expired = lies.has_table && quiet > 5;
    return seen;
  }
  bool take(const LeaseTable& by, ProxyId proxy, std::uint64_t version) {
    const auto epoch = by.epoch(proxy);
    if (lies.has_table && (epoch < lies.epoch || (epoch == lies.epoch && by.owner() != lies.owner)))
      return false;
    lies = {true, epoch, SnapshotVersion{version}, by.owner(), false, {}};
    quiet = 0;
    return true;
  }
};

// Processes start, die, fall silent and speak in any order, with clocks that go back. Whoever is told that a
// proxy is its own gets its next order taken unless another claimed since; nobody gets one taken who was told
// otherwise; nothing changes hands but by a first meeting or an ended lease.
RC_GTEST_PROP(LeaseTable, OneProcessOrdersAtATime, ()) {
  const ProxyId proxy{3};
  Keeper keeper;
  std::uint64_t made = 0, version = 0;
  const auto start = [&] {
    return std::make_unique<LeaseTable>(*rc::gen::inRange<std::uint64_t>(1, 20),
                                        "g" + std::to_string(++made));
  };
  std::array<std::unique_ptr<LeaseTable>, 2> governors{start(), start()};
  std::map<std::string, LeaseTable::Ownership> told;
  std::set<std::string> claimed_late;  // and not ordered by yet
  for (int n = *rc::gen::inRange(5, 120); n > 0; --n) {
    auto& one = governors[*rc::gen::inRange<std::size_t>(0, 2)];
    auto& by = *one;
    ++keeper.quiet;
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        one = start();
        break;
      case 1:
      case 2: {
        const bool first = by.epoch(proxy) == 0;
        const auto seen = keeper.look(by, proxy);
        const auto standing = by.observe(proxy, seen);
        if (standing == LeaseTable::Ownership::claimed) RC_ASSERT(first || seen.lease_expired);
        if (first) RC_ASSERT(standing == LeaseTable::Ownership::claimed);
        told[by.owner()] = standing;
        // An order right after the look is taken, or not, as it says.
        if (standing == LeaseTable::Ownership::claimed) {
          const auto before = keeper.lies;
          RC_ASSERT(keeper.take(by, proxy, ++version));
          RC_ASSERT(!before.has_table || before.epoch < keeper.lies.epoch);
        }
        break;
      }
      default: {
        if (!told.contains(by.owner()) || told[by.owner()] == LeaseTable::Ownership::theirs) break;
        const auto before = keeper.lies;
        if (keeper.take(by, proxy, ++version)) {
          // Or it claimed what nobody had spoken to, and orders only now.
          RC_ASSERT(before.owner == by.owner() || claimed_late.contains(by.owner()));
          claimed_late.erase(by.owner());
        } else {
          const auto seen = keeper.look(by, proxy);
          told[by.owner()] = by.observe(proxy, seen);
          RC_ASSERT((told[by.owner()] == LeaseTable::Ownership::claimed) == seen.lease_expired);
          if (seen.lease_expired) claimed_late.insert(by.owner());
        }
      }
    }
  }
}

}  // namespace
}  // namespace ospreypost::routing_state
