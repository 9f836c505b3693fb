#include "routing_state/token_bucket_limiter.h"

#include <algorithm>
#include <chrono>

namespace ospreypost::routing_state {
namespace {

constexpr double kMaxDepth = 3;
constexpr double kMinWindowSeconds = 1e-3;

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

TokenBucketLimiter::TokenBucketLimiter(std::size_t max_messages, Nanos window)
    : is_limited_(max_messages > 0),
      depth_(std::clamp(static_cast<double>(max_messages) - 1, 1.0, kMaxDepth)),
      tokens_per_second_(std::max(0.0, static_cast<double>(max_messages) - depth_) /
                         std::max(kMinWindowSeconds, seconds(window))) {}

TokenBucketLimiter::Bucket TokenBucketLimiter::full_bucket(Nanos now) const { return {depth_, now}; }

TokenBucketLimiter::Bucket TokenBucketLimiter::bucket_of_unknown_history(Nanos now,
                                                                         Nanos first_message_within) const {
  const double earned = seconds(first_message_within) * tokens_per_second_;
  return {std::max(0.0, 1 - earned), now};
}

bool TokenBucketLimiter::may_send(Nanos now, Bucket& bucket, bool is_urgent) const {
  const double earned = seconds(now - bucket.refilled_at) * tokens_per_second_;
  bucket.tokens = std::min(depth_, bucket.tokens + earned);
  bucket.refilled_at = now;
  const double required = is_urgent ? 1 : depth_;
  return !is_limited_ || bucket.tokens >= required;
}

}  // namespace ospreypost::routing_state
