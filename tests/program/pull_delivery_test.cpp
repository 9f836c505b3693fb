/// Tests the answers to pulling proxies, with generated changes and queries.
#include "routing_state/pull_delivery.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>

#include "program/routing_fixture.h"

namespace ospreypost::routing_state {
namespace {

using namespace std::chrono_literals;

constexpr Nanos kWindow = 10s;
constexpr std::uint32_t kReplicaCount = 4;
constexpr ProxyId kProxy{3};

std::shared_ptr<const ProxySnapshot> random_proxy_snapshot(std::uint64_t version) {
  RoutingTable table;
  table.traffic_policies.resize(1);
  for (std::uint32_t id = 0; id < kReplicaCount; ++id) {
    const double weight = *rc::gen::inRange(0, 4);
    if (weight > 0) table.entries.push_back({ReplicaId{id}, weight});
  }
  return make_proxy_snapshot(version, std::move(table));
}

double weight_of(ReplicaId id, const ProxySnapshot& proxy_snapshot) {
  for (const TableEntry& entry : proxy_snapshot.routing_tables[0]->entries) {
    if (entry.replica == id) return entry.weight;
  }
  return 0;
}

// With random changes and query times: no window contains too many messages, no answer gives a replica more
// than twice its weight in the latest table, and no queue is longer than a message with the complete
// configuration.
RC_GTEST_PROP(PullDeliveryTest, KeepsTheMessageLimitAndNeverAnswersWithEjectedReplicas, ()) {
  constexpr double kMessageOverhead = 2;
  constexpr double kMaxEntries = 1 + kReplicaCount + 1;  // one binding, all replicas, one traffic policy
  const auto allowed = static_cast<std::size_t>(*rc::gen::inRange(4, 14));
  PullDelivery delivery({kMessageOverhead, allowed, kWindow});
  Nanos now{100s};
  delivery.add_proxy(now, kProxy);
  std::shared_ptr<const ProxySnapshot> latest;
  std::shared_ptr<const ProxySnapshot> last_answer;
  std::deque<Nanos> messages;
  for (int steps = *rc::gen::inRange(1, 200); steps > 0; --steps) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
    const bool publishes = *rc::gen::inRange(0, 3) == 0;
    if (publishes) {
      latest = random_proxy_snapshot(static_cast<std::uint64_t>(steps));
      delivery.on_published(now, kProxy, latest, 1 + static_cast<std::size_t>(*rc::gen::inRange(0, 9)));
      RC_ASSERT(delivery.counts().queued_entries <= kMessageOverhead + kMaxEntries);
      continue;
    }
    const auto answer = delivery.take_answer(now, kProxy);
    if (!answer) continue;
    if (answer != last_answer) messages.push_back(now);
    last_answer = answer;
    while (!messages.empty() && messages.front() <= now - kWindow) messages.pop_front();
    RC_ASSERT(messages.size() <= allowed);
    for (std::uint32_t id = 0; id < kReplicaCount; ++id) {
      RC_ASSERT(weight_of(ReplicaId{id}, *answer) <= 2 * weight_of(ReplicaId{id}, *latest));
    }
  }
}

TEST(PullDeliveryTest, AnswersWithAnEjectionAtOnceWhileANormalChangeWaits) {
  PullDelivery delivery({1, 12, kWindow});
  delivery.add_proxy(0s, kProxy);
  delivery.on_published(0s, kProxy, make_proxy_snapshot(1, {1, 2}), 2);
  ASSERT_TRUE(delivery.take_answer(0s, kProxy));
  delivery.on_published(10ms, kProxy, make_proxy_snapshot(2, {1, 2, 3}), 1);
  EXPECT_EQ(delivery.take_answer(20ms, kProxy)->changed_in, SnapshotVersion{1});
  delivery.on_published(30ms, kProxy, make_proxy_snapshot(3, {1, 3}), 1);
  EXPECT_EQ(delivery.take_answer(40ms, kProxy)->changed_in, SnapshotVersion{3});
  EXPECT_EQ(delivery.counts().rate_limited_queries, 1U);
}

TEST(PullDeliveryTest, AcknowledgesOnceTheProxyWasAnsweredFromTheVersion) {
  PullDelivery delivery({1, 12, kWindow});
  delivery.add_proxy(0s, kProxy);
  delivery.on_published(0s, kProxy, make_proxy_snapshot(1, {1}), 1);
  delivery.request_acknowledgement(0s, AckRequestId{7}, SnapshotVersion{1}, {kProxy});
  EXPECT_TRUE(delivery.take_acknowledged(1s, kProxy).empty());
  ASSERT_TRUE(delivery.take_answer(1s, kProxy));
  const auto acknowledged = delivery.take_acknowledged(2s, kProxy);
  ASSERT_EQ(acknowledged.size(), 1U);
  EXPECT_EQ(acknowledged[0].latency, 2s);
  EXPECT_TRUE(delivery.take_acknowledged(3s, kProxy).empty());
  delivery.remove_proxy(kProxy);
  delivery.add_proxy(4s, kProxy);
  EXPECT_FALSE(delivery.take_answer(4s, kProxy));
  EXPECT_EQ(delivery.counts().queued_entries, 0);
}

}  // namespace
}  // namespace ospreypost::routing_state
