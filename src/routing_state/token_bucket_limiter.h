// The messages that may go to one proxy, so that no window ever holds more than allowed. Pure.
#pragma once

#include <algorithm>
#include <chrono>

#include "policy/controller.h"

namespace ospreypost::routing_state {

// The limit as a bucket: so deep, and so many tokens a second. With a depth of B and a pace of (allowed - B)
// a window, no window holds more than allowed.
class TokenBucketLimiter {
 public:
  // `allowed` 0: no limit.
  TokenBucketLimiter(std::size_t allowed, Nanos window)
      : limited_(allowed > 0),
        depth_(std::clamp(static_cast<double>(allowed) - 1, 1.0, kDepth)),
        per_second_(std::max(0.0, static_cast<double>(allowed) - depth_) /
                    std::max(1e-3, std::chrono::duration<double>(window).count())) {}

  struct Bucket {
    double tokens = 0;
    Nanos counted{};
  };
  Bucket full(Nanos now) const { return {depth_, now}; }
  // Where nobody knows how many messages there were within the window: none until so long has passed, and
  // then one, so that however many unknowing processes follow each other, no window holds more than allowed.
  // Where tokens come too slowly for that, the first is granted.
  Bucket unknown(Nanos now, Nanos one_within) const {
    const double earned = std::chrono::duration<double>(one_within).count() * per_second_;
    return {std::max(0.0, 1 - earned), now};
  }
  // A plain change waits for a full bucket, so that a withdrawal finds tokens left.
  bool allows(Nanos now, Bucket& bucket, bool urgent) const {
    const double passed = std::chrono::duration<double>(now - bucket.counted).count();
    bucket.tokens = std::min(depth_, bucket.tokens + passed * per_second_);
    bucket.counted = now;
    return !limited_ || bucket.tokens >= (urgent ? 1 : depth_);
  }
  static void take(Bucket& bucket) { bucket.tokens -= 1; }

 private:
  static constexpr double kDepth = 3;
  const bool limited_;
  const double depth_, per_second_;
};

}  // namespace ospreypost::routing_state
