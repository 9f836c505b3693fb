/// Tests which pushes proxies are sent, at which time, and which proxies count as lost.
#include "routing_state/push_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>

#include "program/routing_fixture.h"

namespace ospreypost::routing_state {
namespace {

using namespace std::chrono_literals;

constexpr PushLimits kLimits{.message_overhead_entries = 2,
                             .entries_per_second = 1000,
                             .max_messages_per_window = 12,
                             .window = 10s,
                             .urgent_change_timeout = 2500ms,
                             .liveness_interval = 1s};

SnapshotVersion version_of(const PendingPush& push) {
  return push.proxy_snapshot ? push.proxy_snapshot->changed_in : SnapshotVersion{};
}

/// A scheduler with one joined proxy, which uses version 1 with the replicas 1 and 2.
class PushSchedulerTest : public testing::Test {
 protected:
  PushSchedulerTest() {
    scheduler_.add_known(0s, proxy_);
    EXPECT_FALSE(scheduler_.take_push(0s)->proxy_snapshot);
    scheduler_.on_joined(0s, proxy_, true);
    scheduler_.on_published(0s, proxy_, make_proxy_snapshot(1, {1, 2}), 3);
    EXPECT_EQ(scheduler_.take_push(0s)->proxy_snapshot->changed_in, SnapshotVersion{1});
    scheduler_.on_confirmed(10ms, proxy_, SnapshotVersion{1});
  }

  PushScheduler scheduler_{kLimits};
  const ProxyId proxy_{1};
  const ProxyId other_proxy_{0};
};

TEST_F(PushSchedulerTest, SendsAnEjectionFirstAndRetriesIt) {
  scheduler_.add_known(0s, other_proxy_);
  scheduler_.on_joined(0s, other_proxy_, true);
  scheduler_.on_published(1s, other_proxy_, make_proxy_snapshot(2, {1, 2}), 3);
  scheduler_.on_published(1s, proxy_, make_proxy_snapshot(2, {1}), 1);
  EXPECT_EQ(scheduler_.take_push(1s)->proxy, proxy_);
  scheduler_.on_failed(1100ms, proxy_);
  EXPECT_EQ(scheduler_.take_push(1101ms)->proxy, other_proxy_);
  EXPECT_FALSE(scheduler_.take_push(1102ms));
  EXPECT_EQ(scheduler_.take_push(1200ms)->proxy, proxy_);
  // A confirmation of an older version does not confirm the push in flight.
  scheduler_.on_confirmed(1300ms, proxy_, SnapshotVersion{1});
  EXPECT_EQ(scheduler_.take_push(1301ms)->proxy_snapshot->changed_in, SnapshotVersion{2});
  scheduler_.on_confirmed(1400ms, proxy_, SnapshotVersion{2});
  EXPECT_TRUE(scheduler_.take_lost(3600ms).empty());
}

TEST_F(PushSchedulerTest, LosesAProxyThatDoesNotConfirmAnEjectionInTime) {
  scheduler_.on_published(1s, proxy_, make_proxy_snapshot(2, {1}), 1);
  for (Nanos now = 1s; now < 3400ms; now += 20ms) {
    if (scheduler_.take_push(now)) scheduler_.on_failed(now, proxy_);
    EXPECT_TRUE(scheduler_.take_lost(now).empty());
  }
  EXPECT_EQ(scheduler_.take_lost(3600ms), std::vector{proxy_});
  EXPECT_FALSE(scheduler_.is_joined(proxy_));
  // The proxy responds again, with an unknown table: the proxy must confirm the complete table in time as
  // well.
  scheduler_.on_joined(5s, proxy_, false);
  scheduler_.on_published(5s, proxy_, make_proxy_snapshot(2, {1}), 3);
  EXPECT_EQ(scheduler_.take_lost(7600ms), std::vector{proxy_});
}

// Without liveness checks, the lease of the proxy's table would expire while a change waits for the channel
// or for a token.
TEST_F(PushSchedulerTest, SendsLivenessChecksToAProxyWhoseChangeWaits) {
  std::uint64_t version = 1;
  Nanos last_response = 10ms;
  for (Nanos now = 10ms; now < 9s; now += 10ms) {
    const bool publishes = now % 100ms == 0ns;
    if (publishes) {
      ++version;
      const std::uint32_t third_replica = version % 2 == 1 ? 4 : 3;
      scheduler_.on_published(now, proxy_, make_proxy_snapshot(version, {1, 2, third_replica}), 1);
    }
    if (const auto push = scheduler_.take_push(now)) {
      scheduler_.on_confirmed(now, proxy_, version_of(*push));
      last_response = now;
    }
    EXPECT_LE(now - last_response, kLimits.liveness_interval);
  }
}

TEST_F(PushSchedulerTest, SendsAProxyThatLostItsTableTheCompleteOne) {
  EXPECT_FALSE(scheduler_.take_push(2s)->proxy_snapshot);
  EXPECT_FALSE(scheduler_.on_liveness(2s, proxy_, SnapshotVersion{1}));
  EXPECT_FALSE(scheduler_.take_push(4s)->proxy_snapshot);
  EXPECT_TRUE(scheduler_.on_liveness(4s, proxy_, std::nullopt));
  scheduler_.on_published(4s, proxy_, make_proxy_snapshot(1, {1, 2}), 3);
  EXPECT_EQ(scheduler_.take_push(4s)->proxy_snapshot->changed_in, SnapshotVersion{1});
}

TEST_F(PushSchedulerTest, OverridesARollbackOnceItNamesAnEjectedReplica) {
  scheduler_.on_published(1s, proxy_, make_proxy_snapshot(2, {1}), 1);
  scheduler_.take_push(1s);
  scheduler_.on_confirmed(1s, proxy_, SnapshotVersion{2});
  scheduler_.on_ejected(1500ms, {ReplicaId{3}});
  scheduler_.on_rollback(1500ms, proxy_, {ReplicaId{1}, ReplicaId{2}});
  EXPECT_FALSE(scheduler_.take_push(1900ms));
  // The newest table does not contain replica 2, so its ejection publishes no change.
  scheduler_.on_ejected(2100ms, {ReplicaId{2}, ReplicaId{3}});
  const auto push = scheduler_.take_push(2100ms);
  ASSERT_TRUE(push && push->proxy_snapshot);
  EXPECT_TRUE(push->overrides_rollback);
  EXPECT_EQ(push->proxy_snapshot->changed_in, SnapshotVersion{2});
  scheduler_.on_failed(2200ms, proxy_);
  EXPECT_EQ(scheduler_.take_lost(4700ms), std::vector{proxy_});
}

TEST_F(PushSchedulerTest, RemovesARejectingProxyAtOnce) {
  scheduler_.on_published(1s, proxy_, make_proxy_snapshot(2, {1}), 1);
  scheduler_.take_push(1s);
  scheduler_.on_rejected(1s, proxy_);
  EXPECT_FALSE(scheduler_.is_joined(proxy_));
  EXPECT_FALSE(scheduler_.take_push(1500ms));
  EXPECT_EQ(scheduler_.counts().queued_entries, 0);
  // A removed proxy still gets liveness checks.
  EXPECT_FALSE(scheduler_.take_push(2100ms)->proxy_snapshot);
}

// The proxy has a table of unknown origin, and its first push waits for a token. Liveness checks, which are
// more frequent than tokens in this test, must not delay the push.
TEST(PushSchedulerTokenTest, AProxyOfUnknownHistoryGetsItsFirstTable) {
  PushLimits limits = kLimits;
  limits.liveness_interval = 250ms;
  PushScheduler scheduler(limits);
  const ProxyId proxy{1};
  scheduler.add_known(0s, proxy);
  scheduler.take_push(0s);
  scheduler.on_joined(0s, proxy, false);
  scheduler.on_published(0s, proxy, make_proxy_snapshot(9, {1}), 1);
  Nanos now = 0s;
  for (; now < 2s; now += 20ms) {
    const auto push = scheduler.take_push(now);
    if (!push) continue;
    if (push->proxy_snapshot) break;
    scheduler.on_liveness(now, proxy, SnapshotVersion{4});
  }
  EXPECT_LT(now, 1200ms);
  EXPECT_GT(now, 500ms);
}

/// Records the times of the messages to one proxy within the last window.
class MessageWindow {
 public:
  void add(Nanos now) { sent_at_.push_back(now); }
  std::size_t size_at(Nanos now) {
    while (!sent_at_.empty() && sent_at_.front() <= now - kLimits.window) sent_at_.pop_front();
    return sent_at_.size();
  }

 private:
  std::deque<Nanos> sent_at_;
};

// A process that restarts about every second has no record of the messages of its earlier incarnations.
TEST(PushSchedulerTokenTest, ManyIncarnationsTogetherKeepTheMessageLimit) {
  const ProxyId proxy{1};
  MessageWindow messages;
  std::uint64_t version = 0;
  Nanos now = 0s;
  for (int incarnation = 0; incarnation < 30; ++incarnation) {
    PushScheduler scheduler(kLimits);
    scheduler.add_known(now, proxy);
    scheduler.take_push(now);
    scheduler.on_joined(now, proxy, incarnation == 0);
    const Nanos end = now + (incarnation % 3 == 0 ? 700ms : 1500ms);
    for (; now < end; now += 20ms) {
      const bool publishes = now % 200ms == 0ns;
      if (publishes) {
        ++version;
        const auto replica = static_cast<std::uint32_t>(version);
        scheduler.on_published(now, proxy, make_proxy_snapshot(version, {replica}), 1);
      }
      const auto push = scheduler.take_push(now);
      if (!push) continue;
      if (push->proxy_snapshot) messages.add(now);
      scheduler.on_confirmed(now, proxy, version_of(*push));
      EXPECT_LE(messages.size_at(now), kLimits.max_messages_per_window);
    }
  }
  EXPECT_GT(messages.size_at(now), 3U);
}

/// A scheduler with several proxies. The first proxy responds slowly.
class PushedFleet {
 public:
  static constexpr std::uint16_t kProxyCount = 4;

  PushedFleet() {
    for (std::uint16_t id = 0; id < kProxyCount; ++id) {
      scheduler_.add_known(0s, ProxyId{id});
      scheduler_.take_push(0s);
      scheduler_.on_joined(0s, ProxyId{id}, true);
    }
  }

  void publish_random_change() {
    const ProxyId proxy{static_cast<std::uint16_t>(*rc::gen::inRange(0, static_cast<int>(kProxyCount)))};
    ++version_;
    latest_[proxy] = *rc::gen::arbitrary<bool>() ? make_proxy_snapshot(version_, {1, 2})
                                                 : make_proxy_snapshot(version_, {2, 3});
    scheduler_.on_published(now_, proxy, latest_[proxy], 2);
  }

  void advance(Nanos time) { now_ += time; }
  /// Delivers the responses that are due, then sends new pushes. If `with_failures`, random pushes fail.
  void exchange(bool with_failures) {
    receive_responses(with_failures);
    send_pushes();
  }

  void expect_everything_confirmed() {
    for (const auto& [proxy, proxy_snapshot] : latest_) RC_ASSERT(confirmed_[proxy] == proxy_snapshot);
    RC_ASSERT(scheduler_.counts().queued_entries == 0);
  }

 private:
  struct SentMessage {
    Nanos sent_at{};
    std::uint64_t version = 0;
  };

  void receive_responses(bool with_failures) {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const PendingPush push = in_flight_.begin()->second;
      in_flight_.erase(in_flight_.begin());
      const bool fails = with_failures && *rc::gen::inRange(0, 4) == 0;
      if (fails) {
        scheduler_.on_failed(now_, push.proxy);
        continue;
      }
      if (push.proxy_snapshot) confirmed_[push.proxy] = push.proxy_snapshot;
      scheduler_.on_confirmed(now_, push.proxy, version_of(push));
    }
  }

  void send_pushes() {
    while (const auto push = scheduler_.take_push(now_)) {
      if (push->proxy_snapshot) expect_within_limit(*push);
      const Nanos round_trip = push->proxy == ProxyId{0} ? 900ms : 20ms;
      in_flight_.emplace(now_ + round_trip, *push);
    }
  }

  void expect_within_limit(const PendingPush& push) {
    auto& messages = messages_[push.proxy];
    const auto version = static_cast<std::uint64_t>(version_of(push));
    const bool is_retry = !messages.empty() && messages.back().version == version;
    if (!is_retry) messages.push_back({now_, version});
    while (messages.front().sent_at <= now_ - kLimits.window) messages.pop_front();
    RC_ASSERT(messages.size() <= kLimits.max_messages_per_window);
  }

  PushScheduler scheduler_{kLimits};
  Nanos now_ = 0s;
  std::uint64_t version_ = 0;
  std::map<ProxyId, std::deque<SentMessage>> messages_;
  std::map<ProxyId, std::shared_ptr<const ProxySnapshot>> latest_;
  std::map<ProxyId, std::shared_ptr<const ProxySnapshot>> confirmed_;
  std::multimap<Nanos, PendingPush> in_flight_;
};

// A slow proxy does not delay other proxies, no window contains too many messages to one proxy, and finally
// all proxies use their latest table.
RC_GTEST_PROP(PushSchedulerFleetTest, ReachesEveryProxyWithinTheMessageLimit, ()) {
  PushedFleet fleet;
  for (int steps = *rc::gen::inRange(20, 200); steps > 0; --steps) {
    fleet.advance(std::chrono::milliseconds(*rc::gen::inRange(1, 300)));
    if (*rc::gen::arbitrary<bool>()) fleet.publish_random_change();
    fleet.exchange(true);
  }
  for (int steps = 0; steps < 400; ++steps) {
    fleet.advance(50ms);
    fleet.exchange(false);
  }
  fleet.expect_everything_confirmed();
}

}  // namespace
}  // namespace ospreypost::routing_state
