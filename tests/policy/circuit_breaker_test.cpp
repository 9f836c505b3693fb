#include "policy/circuit_breaker.h"

#include <gtest/gtest.h>

namespace ospreypost::policy {
namespace {

using namespace std::chrono_literals;

TEST(CircuitBreakerTest, IsClosedAtFirst) {
  const CircuitBreaker breaker;
  EXPECT_TRUE(breaker.is_closed());
  EXPECT_FALSE(breaker.anchored_at());
}

TEST(CircuitBreakerTest, StaysOpenForItsCooldown) {
  CircuitBreaker breaker;
  EXPECT_EQ(breaker.trip(100s), kCooldown);
  EXPECT_TRUE(breaker.is_open());
  EXPECT_FALSE(breaker.cooldown_is_over(100s + kCooldown - 1ns));
  EXPECT_TRUE(breaker.cooldown_is_over(100s + kCooldown));
  EXPECT_EQ(breaker.cooldown_ends_at(), 100s + kCooldown);
}

TEST(CircuitBreakerTest, DoublesCooldownWhenTrippedWhileHalfOpen) {
  CircuitBreaker breaker;
  Nanos now = 100s;
  Nanos expected = kCooldown;
  for (int trips = 0; trips < 6; ++trips) {
    EXPECT_EQ(breaker.trip(now), expected);
    now = breaker.cooldown_ends_at();
    breaker.half_open(now);
    expected = std::min(2 * expected, kMaxCooldown);
  }
  EXPECT_EQ(expected, kMaxCooldown);
}

TEST(CircuitBreakerTest, DoublesCooldownWhenTrippedSoonAfterItClosed) {
  for (const bool soon : {true, false}) {
    CircuitBreaker breaker;
    breaker.trip(100s);
    breaker.half_open(102s);
    const Nanos closed_at = 102s + kConfirmWindow;
    ASSERT_TRUE(breaker.confirm(closed_at, kMinSoundSuccesses));
    const Nanos proven_at = closed_at + kClimbDuration + kConfirmWindow;
    EXPECT_EQ(breaker.trip(soon ? proven_at - 1ns : proven_at), soon ? 2 * kCooldown : kCooldown);
  }
}

TEST(CircuitBreakerTest, ClosesOnlyAfterAWindowWithSoundEvidence) {
  CircuitBreaker breaker;
  breaker.half_open(100s);
  EXPECT_FALSE(breaker.confirm(100s + kConfirmWindow - 1ns, kMinSoundSuccesses));
  EXPECT_TRUE(breaker.is_half_open());
  EXPECT_TRUE(breaker.confirm(100s + kConfirmWindow, kMinSoundSuccesses));
  EXPECT_TRUE(breaker.is_closed());
}

TEST(CircuitBreakerTest, WithoutSoundEvidenceAnotherWindowBegins) {
  CircuitBreaker breaker;
  breaker.half_open(100s);
  EXPECT_FALSE(breaker.confirm(100s + kConfirmWindow, kMinSoundSuccesses - 1));
  EXPECT_FALSE(breaker.anchored_at());
  EXPECT_FALSE(breaker.confirm(101s + kConfirmWindow, kMinSoundSuccesses)) << "the new window is not over";
  EXPECT_TRUE(breaker.confirm(100s + 2 * kConfirmWindow, kMinSoundSuccesses));
}

TEST(CircuitBreakerTest, TheClimbBeginsWithTheFirstSoundEvidence) {
  CircuitBreaker breaker;
  breaker.half_open(100s);
  breaker.confirm(101s, kMinSoundSuccesses - 1);
  EXPECT_FALSE(breaker.anchored_at());
  breaker.confirm(102s, kMinSoundSuccesses);
  breaker.confirm(103s, kMinSoundSuccesses + 5);
  EXPECT_EQ(breaker.anchored_at(), 102s);
  breaker.half_open(110s);
  EXPECT_FALSE(breaker.anchored_at()) << "a new return restarts the climb";
}

}  // namespace
}  // namespace ospreypost::policy
