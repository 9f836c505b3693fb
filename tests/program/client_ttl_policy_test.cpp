// Who can be held to the grace: caches of every kind on generated clients.
#include "dns/client_ttl_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace ospreypost::dns {
namespace {

using namespace std::chrono_literals;

constexpr ProxyId kClient{2};
constexpr ClassId kClass{0};
constexpr ClientTtlLimits kLimits{3s, 20ms, 100ms, 5s, Ttl{10}};
constexpr Nanos kHoldMost = 3s - 120ms;

// A cache that keeps an answer `factor` times its lifetime, and `extra` more.
Nanos held(Ttl lifetime, double factor, Nanos extra) {
  return Nanos(static_cast<Nanos::rep>(static_cast<double>(Nanos(lifetime).count()) * factor)) + extra;
}

// Nobody is given replicas for an answer that it holds beyond what the grace has room for: those that show
// themselves first, never; those that the operator vouches for, once, until they are seen.
RC_GTEST_PROP(ClientTtlPolicy, WhoHoldsOnTooLongGetsNoReplicas, (bool vouched)) {
  ClientTtlPolicy clients(kLimits);
  clients.add_known(kClient, vouched);
  const double factor = 1 + *rc::gen::inRange(0, 800) / 100.0;
  const Nanos extra = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
  Nanos now = 50s;
  int beyond = 0;
  for (int n = 0; n < 40; ++n) {
    clients.take_silent(now);
    const auto ttl_decision = clients.on_query(now, kClient, kClass);
    const auto hold = held(ttl_decision.ttl, factor, extra);
    beyond += ttl_decision.service == ClientService::replicas && hold > kHoldMost;
    now += hold + std::chrono::milliseconds(*rc::gen::inRange(0, 40));
  }
  RC_ASSERT(beyond <= (vouched ? 1 : 0));
}

// Whoever asks in time is served after it has shown so, and stays served.
RC_GTEST_PROP(ClientTtlPolicy, WhoAsksInTimeIsServed, (bool vouched)) {
  ClientTtlPolicy clients(kLimits);
  clients.add_known(kClient, vouched);
  Nanos now = 50s;
  for (int n = 0; n < 60; ++n) {
    const auto ttl_decision = clients.on_query(now, kClient, kClass);
    RC_ASSERT((ttl_decision.service == ClientService::replicas) == (vouched || n >= 3));
    RC_ASSERT(ttl_decision.client_joined == (n == (vouched ? 0 : 3)));
    RC_ASSERT(Nanos(ttl_decision.ttl) <= kHoldMost);
    now += Nanos(ttl_decision.ttl) + std::chrono::milliseconds(*rc::gen::inRange(0, 50));
  }
}

TEST(ClientTtlPolicy, ALateClientLeavesAndComesBackWhenItHasShownItselfAgain) {
  ClientTtlPolicy clients(kLimits);
  clients.add_known(kClient, true);
  EXPECT_EQ(clients.on_query(10s, kClient, kClass).service, ClientService::replicas);
  const auto late = clients.on_query(14900ms, kClient, kClass);
  EXPECT_EQ(late.service, ClientService::proxies);
  EXPECT_TRUE(late.client_left);
  EXPECT_FALSE(clients.is_joined(kClient));
  Nanos now = 14900ms;
  int asked = 0;
  for (auto ttl_decision = late; ttl_decision.service != ClientService::replicas && asked < 10000; ++asked) {
    now += 1s;
    ttl_decision = clients.on_query(now, kClient, kClass);
  }
  // The memory fades first: minutes, not seconds.
  EXPECT_GT(asked, 60);
  EXPECT_LT(asked, 3600);
}

TEST(ClientTtlPolicy, SilenceLeavesAndDoubtsEvenTheVouchedFor) {
  ClientTtlPolicy clients(kLimits);
  clients.add_known(kClient, true);
  clients.on_query(10s, kClient, kClass);
  EXPECT_TRUE(clients.take_silent(14s).empty());
  clients.on_report(14s, kClient);
  EXPECT_TRUE(clients.take_silent(18s).empty());
  EXPECT_EQ(clients.take_silent(19100ms), std::vector{kClient});
  EXPECT_TRUE(clients.take_silent(30s).empty());
  // It may sit behind a cache that holds on for longer than the silence.
  EXPECT_EQ(clients.on_query(40s, kClient, kClass).service, ClientService::proxies);
}

TEST(ClientTtlPolicy, AClockThatJumpsBackChangesNothing) {
  ClientTtlPolicy clients(kLimits);
  clients.add_known(kClient, true);
  const auto first = clients.on_query(100s, kClient, kClass);
  const auto second = clients.on_query(20s, kClient, kClass);
  EXPECT_EQ(second.service, ClientService::replicas);
  EXPECT_EQ(second.ttl, first.ttl);
  EXPECT_EQ(clients.on_query(100s + first.ttl, kClient, kClass).service, ClientService::replicas);
}

TEST(ClientTtlPolicy, EachNameIsWatchedByItself) {
  ClientTtlPolicy clients(kLimits);
  clients.add_known(kClient, true);
  clients.on_query(10s, kClient, ClassId{0});
  clients.on_query(10s, kClient, ClassId{1});
  for (int n = 1; n <= 2; ++n) clients.on_query(10s + n * 2s, kClient, ClassId{0});
  // The other name's answer was held on to all the while.
  EXPECT_EQ(clients.on_query(15s, kClient, ClassId{1}).service, ClientService::proxies);
}

}  // namespace
}  // namespace ospreypost::dns
