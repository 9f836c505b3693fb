/// Tests the number of messages that the limiter allows, with generated attempts to send.
#include "policy/token_bucket_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace ospreypost::policy {
namespace {

using namespace std::chrono_literals;

constexpr Nanos kWindow = 10s;

RC_GTEST_PROP(TokenBucketLimiterTest, NoWindowHoldsMoreThanAllowed, ()) {
  const auto allowed = static_cast<std::size_t>(*rc::gen::inRange(1, 20));
  const TokenBucketLimiter limiter(allowed, kWindow);
  Nanos now = 100s;
  TokenBucketLimiter::Bucket bucket = limiter.full_bucket(now);
  std::deque<Nanos> messages;
  for (int attempts = *rc::gen::inRange(1, 300); attempts > 0; --attempts) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 800));
    const bool is_urgent = *rc::gen::arbitrary<bool>();
    if (!limiter.may_send(now, bucket, is_urgent)) continue;
    TokenBucketLimiter::take(bucket);
    messages.push_back(now);
    while (messages.front() <= now - kWindow) messages.pop_front();
    RC_ASSERT(messages.size() <= allowed);
  }
}

TEST(TokenBucketLimiterTest, ANormalMessageWaitsForAFullBucketAndAnUrgentOneForAToken) {
  const TokenBucketLimiter limiter(12, kWindow);
  TokenBucketLimiter::Bucket bucket = limiter.full_bucket(0s);
  ASSERT_TRUE(limiter.may_send(0s, bucket, false));
  TokenBucketLimiter::take(bucket);
  EXPECT_FALSE(limiter.may_send(0s, bucket, false));
  EXPECT_TRUE(limiter.may_send(0s, bucket, true));
  // The refill rate is 9 tokens per window.
  EXPECT_FALSE(limiter.may_send(1s, bucket, false));
  EXPECT_TRUE(limiter.may_send(1200ms, bucket, false));
}

TEST(TokenBucketLimiterTest, ABucketOfUnknownHistoryIsGivenItsFirstTokenInTime) {
  // The refill rate is 9 tokens per window, so the first token is available after 1.1 s.
  const TokenBucketLimiter fast(12, kWindow);
  TokenBucketLimiter::Bucket bucket = fast.bucket_of_unknown_history(0s, 2s);
  EXPECT_FALSE(fast.may_send(1100ms, bucket, true));
  EXPECT_TRUE(fast.may_send(1200ms, bucket, true));
  // The refill rate is 1 token per window, which is too slow for one token within 2 s.
  const TokenBucketLimiter slow(4, kWindow);
  bucket = slow.bucket_of_unknown_history(0s, 2s);
  EXPECT_FALSE(slow.may_send(1900ms, bucket, true));
  EXPECT_TRUE(slow.may_send(2100ms, bucket, true));
}

TEST(TokenBucketLimiterTest, LetsEveryMessagePassWithoutALimit) {
  const TokenBucketLimiter limiter(0, kWindow);
  TokenBucketLimiter::Bucket bucket = limiter.full_bucket(0s);
  for (int messages = 0; messages < 100; ++messages) {
    EXPECT_TRUE(limiter.may_send(0s, bucket, false));
    TokenBucketLimiter::take(bucket);
  }
}

}  // namespace
}  // namespace ospreypost::policy
