/// Limits the messages to one proxy, so that no time window ever holds more than allowed. Free of I/O.
#pragma once

#include <cstddef>

#include "policy/controller.h"

namespace ospreypost::routing_state {

/// The limit as a token bucket. With a depth of d tokens and a refill rate of (allowed - d) a window, no
/// window holds more messages than allowed. Immutable; the state of each proxy is a `Bucket`.
class TokenBucketLimiter {
 public:
  /// `max_messages` within any `window`; 0: no limit.
  TokenBucketLimiter(std::size_t max_messages, Nanos window);

  /// The tokens of one proxy.
  struct Bucket {
    double tokens = 0;
    Nanos refilled_at{};
  };

  /// For a proxy that was sent nothing within the window.
  Bucket full_bucket(Nanos now) const;
  /// For a proxy of which nobody knows how many messages it was sent within the window. It starts empty, so
  /// that no window holds more than allowed however many processes without that knowledge follow each other;
  /// or, where tokens come too slowly, with what lacks to one token after `first_message_within`.
  Bucket bucket_of_unknown_history(Nanos now, Nanos first_message_within) const;
  /// Whether a message may be sent now. A normal message waits for a full bucket, so that an urgent one finds
  /// tokens left. Refills the bucket up to `now`.
  bool may_send(Nanos now, Bucket& bucket, bool is_urgent) const;
  /// Accounts for a message.
  static void take(Bucket& bucket) { bucket.tokens -= 1; }

 private:
  const bool is_limited_;
  const double depth_;
  const double tokens_per_second_;
};

}  // namespace ospreypost::routing_state
