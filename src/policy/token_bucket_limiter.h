/// Limits the messages to one proxy, so that no time window contains more than the allowed number of
/// messages. Free of I/O.
#pragma once

#include <cstddef>

#include "policy/types.h"

namespace ospreypost::policy {

/// Implements the message limit as a token bucket. If n messages are allowed per window, the bucket holds at
/// most d tokens and is refilled with n minus d tokens per window, so no window contains more than n
/// messages. If n is 1, the bucket holds one token and is refilled with one token per window. The limiter is
/// immutable; the state of each proxy is a `Bucket`.
class TokenBucketLimiter {
 public:
  /// `max_messages`: maximum number of messages within any period of length `window`; 0: no limit.
  TokenBucketLimiter(std::size_t max_messages, Nanos window);

  /// Token count of one proxy.
  struct Bucket {
    double tokens = 0;
    Nanos refilled_at{};
  };

  /// Returns the bucket of a proxy that was sent no message within the last window.
  Bucket full_bucket(Nanos now) const;
  /// Returns the bucket of a proxy that was sent an unknown number of messages within the last window. The
  /// bucket starts empty, so that no window contains more messages than allowed even if many processes
  /// without that knowledge run one after another. If the refill takes longer than `first_message_within` for
  /// one token, the bucket starts with as many tokens as it needs to have one token after that time.
  Bucket bucket_of_unknown_history(Nanos now, Nanos first_message_within) const;
  /// Returns the maximum number of tokens in a bucket.
  double depth() const { return depth_; }
  /// Returns the time in which a bucket gains one token; 0 without a limit.
  Nanos refill_time() const;
  /// Refills the bucket up to `now`, and returns its tokens; always a full bucket without a limit.
  double refill(Nanos now, Bucket& bucket) const;
  /// Refills the bucket up to `now`, and returns whether a message may be sent now. A normal message needs a
  /// full bucket, so that tokens are left for urgent messages. An urgent message needs one token.
  bool may_send(Nanos now, Bucket& bucket, bool is_urgent) const;
  /// Removes one token from the bucket for a message that is sent.
  static void take(Bucket& bucket) { bucket.tokens -= 1; }

 private:
  const bool is_limited_;
  const double depth_;
  const double tokens_per_second_;
};

}  // namespace ospreypost::policy
