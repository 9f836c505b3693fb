/// Tests which DNS clients are answered with replicas, on generated clients behind caches that extend TTLs.
#include "dns/client_ttl_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace ospreypost::dns {
namespace {

using namespace std::chrono_literals;

constexpr ProxyId kClient{2};
constexpr ClassId kClass{0};
constexpr ClientTtlLimits kLimits{.drain_grace = 3s,
                                  .endpoint_list_lag = 20ms,
                                  .answer_delay = 100ms,
                                  .silence_timeout = 5s,
                                  .max_ttl = Ttl{10}};
constexpr Nanos kMaxTimeOfUse = 3s - 120ms;
constexpr int kQueriesUntilProven = 3;

/// A cache that extends the time for which its client uses an answer.
struct CacheModel {
  double ttl_multiple = 1;
  Nanos extra{};

  Nanos time_of_use(Ttl ttl) const {
    const auto nominal = static_cast<double>(Nanos(ttl).count());
    return Nanos(static_cast<Nanos::rep>(nominal * ttl_multiple)) + extra;
  }
};

CacheModel random_cache() {
  CacheModel cache;
  cache.ttl_multiple = 1 + *rc::gen::inRange(0, 800) / 100.0;
  cache.extra = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
  return cache;
}

// An untrusted client that uses answers for too long never gets replicas. A trusted client gets replicas
// once, until its next query shows that it used the answer for too long.
RC_GTEST_PROP(ClientTtlPolicyTest, AClientBehindACacheThatExtendsTtlsGetsNoReplicas, (bool trusted)) {
  ClientTtlPolicy policy(kLimits);
  policy.add_known(kClient, trusted);
  const CacheModel cache = random_cache();
  Nanos now = 50s;
  int unsafe_answers = 0;
  for (int query = 0; query < 40; ++query) {
    policy.take_silent(now);
    const TtlDecision decision = policy.on_query(now, kClient, kClass);
    const Nanos time_of_use = cache.time_of_use(decision.ttl);
    const bool is_unsafe = decision.service == ClientService::replicas && time_of_use > kMaxTimeOfUse;
    if (is_unsafe) ++unsafe_answers;
    now += time_of_use + std::chrono::milliseconds(*rc::gen::inRange(0, 40));
  }
  RC_ASSERT(unsafe_answers <= (trusted ? 1 : 0));
}

RC_GTEST_PROP(ClientTtlPolicyTest, AClientThatQueriesInTimeGetsReplicasOnceItIsProven, (bool trusted)) {
  ClientTtlPolicy policy(kLimits);
  policy.add_known(kClient, trusted);
  const int first_with_replicas = trusted ? 0 : kQueriesUntilProven;
  Nanos now = 50s;
  for (int query = 0; query < 60; ++query) {
    const TtlDecision decision = policy.on_query(now, kClient, kClass);
    RC_ASSERT((decision.service == ClientService::replicas) == (query >= first_with_replicas));
    RC_ASSERT(decision.client_joined == (query == first_with_replicas));
    RC_ASSERT(Nanos(decision.ttl) <= kMaxTimeOfUse);
    now += Nanos(decision.ttl) + std::chrono::milliseconds(*rc::gen::inRange(0, 50));
  }
}

TEST(ClientTtlPolicyTest, ALateClientLeavesAndReturnsOnceItIsProvenAgain) {
  ClientTtlPolicy policy(kLimits);
  policy.add_known(kClient, true);
  EXPECT_EQ(policy.on_query(10s, kClient, kClass).service, ClientService::replicas);
  const TtlDecision late = policy.on_query(14900ms, kClient, kClass);
  EXPECT_EQ(late.service, ClientService::proxies);
  EXPECT_TRUE(late.client_left);
  EXPECT_FALSE(policy.is_joined(kClient));
  Nanos now = 14900ms;
  int queries = 0;
  TtlDecision decision = late;
  while (decision.service != ClientService::replicas && queries < 10000) {
    now += 1s;
    decision = policy.on_query(now, kClient, kClass);
    ++queries;
  }
  // The client is proven again only after its remembered lateness has decayed, which takes minutes, not
  // seconds.
  EXPECT_GT(queries, 60);
  EXPECT_LT(queries, 3600);
}

TEST(ClientTtlPolicyTest, ASilentClientLeavesAndLosesItsTrust) {
  ClientTtlPolicy policy(kLimits);
  policy.add_known(kClient, true);
  policy.on_query(10s, kClient, kClass);
  EXPECT_TRUE(policy.take_silent(14s).empty());
  policy.on_report(14s, kClient);
  EXPECT_TRUE(policy.take_silent(18s).empty());
  EXPECT_EQ(policy.take_silent(19100ms), std::vector{kClient});
  EXPECT_TRUE(policy.take_silent(30s).empty());
  // The client may be behind a cache that keeps answers for longer than the silence timeout.
  EXPECT_EQ(policy.on_query(40s, kClient, kClass).service, ClientService::proxies);
}

TEST(ClientTtlPolicyTest, AClockThatGoesBackChangesNothing) {
  ClientTtlPolicy policy(kLimits);
  policy.add_known(kClient, true);
  const TtlDecision first = policy.on_query(100s, kClient, kClass);
  const TtlDecision second = policy.on_query(20s, kClient, kClass);
  EXPECT_EQ(second.service, ClientService::replicas);
  EXPECT_EQ(second.ttl, first.ttl);
  EXPECT_EQ(policy.on_query(100s + first.ttl, kClient, kClass).service, ClientService::replicas);
}

TEST(ClientTtlPolicyTest, TheAnswersForEachClassAreTrackedSeparately) {
  constexpr ClassId kOtherClass{1};
  ClientTtlPolicy policy(kLimits);
  policy.add_known(kClient, true);
  policy.on_query(10s, kClient, kClass);
  policy.on_query(10s, kClient, kOtherClass);
  policy.on_query(12s, kClient, kClass);
  policy.on_query(14s, kClient, kClass);
  // The client used its answer for the other class from 10 s to 15 s, which is longer than the drain grace.
  EXPECT_EQ(policy.on_query(15s, kClient, kOtherClass).service, ClientService::proxies);
}

}  // namespace
}  // namespace ospreypost::dns
