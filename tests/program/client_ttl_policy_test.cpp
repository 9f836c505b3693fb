// Who can be held to the grace: caches of every kind on generated clients.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "dns/client_ttl_policy.h"

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
  clients.introduce(kClient, vouched);
  const double factor = 1 + *rc::gen::inRange(0, 800) / 100.0;
  const Nanos extra = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
  Nanos now = 50s;
  int beyond = 0;
  for (int n = 0; n < 40; ++n) {
    clients.silent(now);
    const auto verdict = clients.asked(now, kClient, kClass);
    const auto hold = held(verdict.lifetime, factor, extra);
    beyond += verdict.service == ClientService::replicas && hold > kHoldMost;
    now += hold + std::chrono::milliseconds(*rc::gen::inRange(0, 40));
  }
  RC_ASSERT(beyond <= (vouched ? 1 : 0));
}

// Whoever asks in time is served after it has shown so, and stays served.
RC_GTEST_PROP(ClientTtlPolicy, WhoAsksInTimeIsServed, (bool vouched)) {
  ClientTtlPolicy clients(kLimits);
  clients.introduce(kClient, vouched);
  Nanos now = 50s;
  for (int n = 0; n < 60; ++n) {
    const auto verdict = clients.asked(now, kClient, kClass);
    RC_ASSERT((verdict.service == ClientService::replicas) == (vouched || n >= 3));
    RC_ASSERT(verdict.joins == (n == (vouched ? 0 : 3)));
    RC_ASSERT(Nanos(verdict.lifetime) <= kHoldMost);
    now += Nanos(verdict.lifetime) + std::chrono::milliseconds(*rc::gen::inRange(0, 50));
  }
}

TEST(ClientTtlPolicy, ALateClientLeavesAndComesBackWhenItHasShownItselfAgain) {
  ClientTtlPolicy clients(kLimits);
  clients.introduce(kClient, true);
  EXPECT_EQ(clients.asked(10s, kClient, kClass).service, ClientService::replicas);
  const auto late = clients.asked(14900ms, kClient, kClass);
  EXPECT_EQ(late.service, ClientService::proxies);
  EXPECT_TRUE(late.leaves);
  EXPECT_FALSE(clients.held(kClient));
  Nanos now = 14900ms;
  int asked = 0;
  for (auto verdict = late; verdict.service != ClientService::replicas && asked < 10000; ++asked) {
    now += 1s;
    verdict = clients.asked(now, kClient, kClass);
  }
  // The memory fades first: minutes, not seconds.
  EXPECT_GT(asked, 60);
  EXPECT_LT(asked, 3600);
}

TEST(ClientTtlPolicy, SilenceLeavesAndDoubtsEvenTheVouchedFor) {
  ClientTtlPolicy clients(kLimits);
  clients.introduce(kClient, true);
  clients.asked(10s, kClient, kClass);
  EXPECT_TRUE(clients.silent(14s).empty());
  clients.reported(14s, kClient);
  EXPECT_TRUE(clients.silent(18s).empty());
  EXPECT_EQ(clients.silent(19100ms), std::vector{kClient});
  EXPECT_TRUE(clients.silent(30s).empty());
  // It may sit behind a cache that holds on for longer than the silence.
  EXPECT_EQ(clients.asked(40s, kClient, kClass).service, ClientService::proxies);
}

TEST(ClientTtlPolicy, AClockThatJumpsBackChangesNothing) {
  ClientTtlPolicy clients(kLimits);
  clients.introduce(kClient, true);
  const auto first = clients.asked(100s, kClient, kClass);
  const auto second = clients.asked(20s, kClient, kClass);
  EXPECT_EQ(second.service, ClientService::replicas);
  EXPECT_EQ(second.lifetime, first.lifetime);
  EXPECT_EQ(clients.asked(100s + first.lifetime, kClient, kClass).service, ClientService::replicas);
}

TEST(ClientTtlPolicy, EachNameIsWatchedByItself) {
  ClientTtlPolicy clients(kLimits);
  clients.introduce(kClient, true);
  clients.asked(10s, kClient, ClassId{0});
  clients.asked(10s, kClient, ClassId{1});
  for (int n = 1; n <= 2; ++n) clients.asked(10s + n * 2s, kClient, ClassId{0});
  // The other name's answer was held on to all the while.
  EXPECT_EQ(clients.asked(15s, kClient, ClassId{1}).service, ClientService::proxies);
}

}  // namespace
}  // namespace ospreypost::lifetime
