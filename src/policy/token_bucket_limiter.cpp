#include "policy/token_bucket_limiter.h"

#include <algorithm>

#include "policy/numeric.h"

namespace ospreypost::policy {
namespace {

constexpr double kMaxDepth = 3;
constexpr double kMinWindowSeconds = 1e-3;

}  // namespace

TokenBucketLimiter::TokenBucketLimiter(std::size_t max_messages, Nanos window)
    : is_limited_(max_messages > 0),
      depth_(std::clamp(static_cast<double>(max_messages) - 1, 1.0, kMaxDepth)),
      tokens_per_second_(std::max(1.0, static_cast<double>(max_messages) - depth_) /
                         std::max(kMinWindowSeconds, to_seconds(window))) {}

TokenBucketLimiter::Bucket TokenBucketLimiter::full_bucket(Nanos now) const { return {depth_, now}; }

TokenBucketLimiter::Bucket TokenBucketLimiter::bucket_of_unknown_history(Nanos now,
                                                                         Nanos first_message_within) const {
  const double earned = to_seconds(first_message_within) * tokens_per_second_;
  return {std::max(0.0, 1 - earned), now};
}

Nanos TokenBucketLimiter::refill_time() const {
  return is_limited_ ? from_seconds(1 / tokens_per_second_) : Nanos{};
}

double TokenBucketLimiter::refill(Nanos now, Bucket& bucket) const {
  if (!is_limited_) return depth_;
  const double earned = to_seconds(now - bucket.refilled_at) * tokens_per_second_;
  bucket.tokens = std::min(depth_, bucket.tokens + earned);
  bucket.refilled_at = now;
  return bucket.tokens;
}

bool TokenBucketLimiter::may_send(Nanos now, Bucket& bucket, bool is_urgent) const {
  const double required = is_urgent ? 1 : depth_;
  return refill(now, bucket) >= required;
}

}  // namespace ospreypost::policy
