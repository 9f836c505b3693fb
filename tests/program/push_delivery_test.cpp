// When proxies that are pushed to are sent what, and which of several governors orders them.
#include "routing_state/push_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "routing_state/lease_table.h"

namespace ospreypost::routing_state {
namespace {

using namespace std::chrono_literals;

constexpr PushLimits kLimits{2, 1000, 12, 10s, 2500ms, 1s};
// Signs of life more often than tokens come.
constexpr PushLimits kLively{2, 1000, 12, 10s, 2500ms, 250ms};

std::shared_ptr<const ProxySnapshot> holding_of(std::uint64_t since,
                                          std::initializer_list<std::uint32_t> replicas) {
  auto view = std::make_shared<RoutingTable>();
  for (const auto id : replicas) view->lines.push_back({ReplicaId{id}, 1.0});
  auto holding = std::make_shared<ProxySnapshot>();
  holding->since = SnapshotVersion{since};
  holding->views = {view};
  return holding;
}

struct PushScene {
  PushScheduler pushes{kLimits};
  ProxyId proxy{1};
  PushScene() {
    pushes.introduce(0s, proxy);
    EXPECT_FALSE(pushes.next(0s)->holding);
    pushes.joined(0s, proxy, true);
    pushes.ordered(0s, proxy, holding_of(1, {1, 2}), 3);
    EXPECT_EQ(pushes.next(0s)->holding->since, SnapshotVersion{1});
    pushes.taken(10ms, proxy, SnapshotVersion{1});
  }
};

TEST(PushScheduler, WithdrawalsGoFirstAndArePressedOnWith) {
  PushScene scene;
  auto& pushes = scene.pushes;
  pushes.introduce(0s, ProxyId{0});
  pushes.joined(0s, ProxyId{0}, true);
  pushes.ordered(1s, ProxyId{0}, holding_of(2, {1, 2}), 3);
  pushes.ordered(1s, scene.proxy, holding_of(2, {1}), 1);
  EXPECT_EQ(pushes.next(1s)->proxy, scene.proxy);
  pushes.failed(1100ms, scene.proxy);
  EXPECT_EQ(pushes.next(1101ms)->proxy, ProxyId{0});
  EXPECT_FALSE(pushes.next(1102ms));
  EXPECT_EQ(pushes.next(1200ms)->proxy, scene.proxy);
  // A confirmation of something older is none.
  pushes.taken(1300ms, scene.proxy, SnapshotVersion{1});
  EXPECT_EQ(pushes.next(1301ms)->holding->since, SnapshotVersion{2});
  pushes.taken(1400ms, scene.proxy, SnapshotVersion{2});
  EXPECT_TRUE(pushes.lost(3600ms).empty());
}

TEST(PushScheduler, WhoCannotConfirmAWithdrawalIsGivenUpOn) {
  PushScene scene;
  scene.pushes.ordered(1s, scene.proxy, holding_of(2, {1}), 1);
  Nanos now = 1s;
  for (; now < 3400ms; now += 20ms) {
    if (scene.pushes.next(now)) scene.pushes.failed(now, scene.proxy);
    EXPECT_TRUE(scene.pushes.lost(now).empty());
  }
  EXPECT_EQ(scene.pushes.lost(3600ms), std::vector{scene.proxy});
  EXPECT_FALSE(scene.pushes.held(scene.proxy));
  // It answers again, with an unknown table: the whole one must reach it in time as well.
  scene.pushes.joined(5s, scene.proxy, false);
  scene.pushes.ordered(5s, scene.proxy, holding_of(2, {1}), 3);
  EXPECT_EQ(scene.pushes.lost(7600ms), std::vector{scene.proxy});
}

// Its lease runs while a change waits for the channel or for a token.
TEST(PushScheduler, GoOnGivingSignsOfLifeToWhoWaits) {
  PushScene scene;
  std::uint64_t version = 1;
  Nanos now = 10ms, spoke = now;
  for (; now < 9s; now += 10ms) {
    if (now % 100ms == 0ns) {
      ++version;
      scene.pushes.ordered(now, scene.proxy, holding_of(version, {1, 2, 3 + (version % 2 ? 1U : 0U)}), 1);
    }
    if (const auto offer = scene.pushes.next(now)) {
      scene.pushes.taken(now, scene.proxy, offer->holding ? offer->holding->since : SnapshotVersion{});
      spoke = now;
    }
    EXPECT_LE(now - spoke, kLimits.renew);
  }
}

TEST(PushScheduler, WhoseTablesAreGoneGetsThemAgain) {
  PushScene scene;
  auto& pushes = scene.pushes;
  EXPECT_FALSE(pushes.next(2s)->holding);
  EXPECT_FALSE(pushes.met(2s, scene.proxy, SnapshotVersion{1}));
  EXPECT_FALSE(pushes.next(4s)->holding);
  EXPECT_TRUE(pushes.met(4s, scene.proxy, std::nullopt));
  pushes.ordered(4s, scene.proxy, holding_of(1, {1, 2}), 3);
  EXPECT_EQ(pushes.next(4s)->holding->since, SnapshotVersion{1});
}

// A way back by hand stands, until it would send to somebody who is out since.
TEST(PushScheduler, AWayBackIsRecalledWhenItNamesWhoIsOut) {
  PushScene scene;
  auto& pushes = scene.pushes;
  pushes.ordered(1s, scene.proxy, holding_of(2, {1}), 1);
  pushes.next(1s);
  pushes.taken(1s, scene.proxy, SnapshotVersion{2});
  pushes.out(1500ms, {ReplicaId{3}});
  pushes.went_back(1500ms, scene.proxy, {ReplicaId{1}, ReplicaId{2}});
  EXPECT_FALSE(pushes.next(1900ms));
  // The newest does not name it, so nothing is ordered.
  pushes.out(2100ms, {ReplicaId{2}, ReplicaId{3}});
  const auto offer = pushes.next(2100ms);
  ASSERT_TRUE(offer && offer->holding);
  EXPECT_TRUE(offer->recall);
  EXPECT_EQ(offer->holding->since, SnapshotVersion{2});
  pushes.failed(2200ms, scene.proxy);
  EXPECT_EQ(pushes.lost(4700ms), std::vector{scene.proxy});
}

// It came with a table of unknown make, and waits for a token: signs of life meanwhile do not put that off.
TEST(PushScheduler, WhoWaitsForTheFirstTokenGetsIt) {
  PushScheduler pushes(kLively);
  const ProxyId proxy{1};
  pushes.introduce(0s, proxy);
  pushes.next(0s);
  pushes.joined(0s, proxy, false);
  pushes.ordered(0s, proxy, holding_of(9, {1}), 1);
  Nanos now = 0s;
  for (; now < 2s; now += 20ms) {
    const auto offer = pushes.next(now);
    if (!offer) continue;
    if (offer->holding) break;
    pushes.met(now, proxy, SnapshotVersion{4});
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
    pushes.introduce(now, proxy);
    pushes.next(now);
    pushes.joined(now, proxy, life == 0);
    const Nanos dies = now + (life % 3 == 0 ? 700ms : 1500ms);
    for (; now < dies; now += 20ms) {
      if (now % 200ms == 0ns)
        pushes.ordered(now, proxy, holding_of(++version, {static_cast<std::uint32_t>(version)}), 1);
      const auto offer = pushes.next(now);
      if (!offer) continue;
      if (offer->holding) messages.push_back(now);
      pushes.taken(now, proxy, offer->holding ? offer->holding->since : SnapshotVersion{});
      while (!messages.empty() && messages.front() <= now - 10s) messages.pop_front();
      EXPECT_LE(messages.size(), kLimits.max_messages_per_window);
    }
  }
  EXPECT_GT(messages.size(), 3U);
}

TEST(PushScheduler, WhoFollowsAnotherIsGivenUpAtOnce) {
  PushScene scene;
  scene.pushes.ordered(1s, scene.proxy, holding_of(2, {1}), 1);
  scene.pushes.next(1s);
  scene.pushes.refused(1s, scene.proxy);
  EXPECT_FALSE(scene.pushes.held(scene.proxy));
  EXPECT_FALSE(scene.pushes.next(1500ms));
  EXPECT_EQ(scene.pushes.counts().waiting, 0);
  // Looked at now and then.
  EXPECT_FALSE(scene.pushes.next(2100ms)->holding);
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
    pushes.introduce(0s, ProxyId{p});
    pushes.next(0s);
    pushes.joined(0s, ProxyId{p}, true);
  }
  Nanos now = 0s;
  std::uint64_t version = 0;
  const auto turn = [&](bool failing) {
    while (!under_way.empty() && under_way.begin()->first <= now) {
      const auto offer = under_way.begin()->second;
      under_way.erase(under_way.begin());
      if (failing && *rc::gen::inRange(0, 4) == 0) {
        pushes.failed(now, offer.proxy);
      } else {
        if (offer.holding) given[offer.proxy] = offer.holding;
        pushes.taken(now, offer.proxy, offer.holding ? offer.holding->since : SnapshotVersion{});
      }
    }
    while (const auto offer = pushes.next(now)) {
      if (offer->holding) {
        auto& sent = messages[offer->proxy];
        const auto since = static_cast<std::uint64_t>(offer->holding->since);
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
          *rc::gen::arbitrary<bool>() ? holding_of(++version, {1, 2}) : holding_of(++version, {2, 3});
      pushes.ordered(now, proxy, standing[proxy], 2);
    }
    turn(true);
  }
  for (int n = 0; n < 400; ++n) now += 50ms, turn(false);
  for (const auto& [proxy, holding] : standing) RC_ASSERT(given[proxy] == holding);
  RC_ASSERT(pushes.counts().waiting == 0);
}

// --- Claims

// What keeps a proxy's tables, as plainly as it can be said.
struct Keeper {
  RemoteState lies;
  int quiet = 0;  // steps since its owner spoke
  RemoteState look(const LeaseTable& by, ProxyId proxy) {
    if (lies.any && lies.owner == by.owner() && lies.epoch == by.epoch(proxy)) quiet = 0;
    auto seen = lies;
    seen.stale = lies.any && quiet > 5;
    return seen;
  }
  bool take(const LeaseTable& by, ProxyId proxy, std::uint64_t version) {
    const auto epoch = by.epoch(proxy);
    if (lies.any && (epoch < lies.epoch || (epoch == lies.epoch && by.owner() != lies.owner))) return false;
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
    return std::make_unique<LeaseTable>(*rc::gen::inRange<std::uint64_t>(1, 20), "g" + std::to_string(++made));
  };
  std::array<std::unique_ptr<LeaseTable>, 2> governors{start(), start()};
  std::map<std::string, LeaseTable::Standing> told;
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
        const auto standing = by.met(proxy, seen);
        if (standing == LeaseTable::Standing::claimed) RC_ASSERT(first || seen.stale);
        if (first) RC_ASSERT(standing == LeaseTable::Standing::claimed);
        told[by.owner()] = standing;
        // An order right after the look is taken, or not, as it says.
        if (standing == LeaseTable::Standing::claimed) {
          const auto before = keeper.lies;
          RC_ASSERT(keeper.take(by, proxy, ++version));
          RC_ASSERT(!before.any || before.epoch < keeper.lies.epoch);
        }
        break;
      }
      default: {
        if (!told.contains(by.owner()) || told[by.owner()] == LeaseTable::Standing::theirs) break;
        const auto before = keeper.lies;
        if (keeper.take(by, proxy, ++version)) {
          // Or it claimed what nobody had spoken to, and orders only now.
          RC_ASSERT(before.owner == by.owner() || claimed_late.contains(by.owner()));
          claimed_late.erase(by.owner());
        } else {
          const auto seen = keeper.look(by, proxy);
          told[by.owner()] = by.met(proxy, seen);
          RC_ASSERT((told[by.owner()] == LeaseTable::Standing::claimed) == seen.stale);
          if (seen.stale) claimed_late.insert(by.owner());
        }
      }
    }
  }
}

}  // namespace
}  // namespace ospreypost::book
