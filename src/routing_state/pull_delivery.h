/// Which configuration each pulling proxy was last answered with, what waits for it, and whether it may be
/// answered with something newer now. Free of I/O.
///
/// Changes for a proxy that pulls wait, merged, until it asks. The first answer that carries a change counts
/// as a message; answers that repeat what it already uses do not, whatever the number of names that it asks
/// for. A token bucket for each proxy keeps the messages within their limit: a normal change waits for a full
/// bucket, an urgent one, such as an ejection, only for a token.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "routing_state/routing_snapshot.h"
#include "routing_state/send_queue.h"
#include "routing_state/token_bucket_limiter.h"

namespace ospreypost::routing_state {

/// What the channel to the proxies can carry.
struct ChannelLimits {
  double message_overhead_entries = 0;      ///< that each message costs beyond its own entries
  std::size_t max_messages_per_window = 0;  ///< to one proxy; 0: no limit
  Nanos window{};
};

/// Not synchronised: the owner calls it under a lock.
class PullDelivery {
 public:
  explicit PullDelivery(const ChannelLimits& limits);

  /// The proxy starts anew: nothing is known of what it uses.
  void add_proxy(Nanos now, ProxyId id);
  void remove_proxy(ProxyId id);
  /// `proxy_snapshot`: the proxy's configuration from now on; `entries`: how many of its entries changed.
  /// Does nothing for an unknown proxy.
  void on_published(Nanos now, ProxyId id, std::shared_ptr<const ProxySnapshot> proxy_snapshot,
                    std::size_t entries);

  /// The configuration to answer the proxy from now. Null if it has not joined, if it is bound to no table,
  /// or if what it uses must not be repeated (see `requires_urgent_update`) and no token is left for a
  /// message.
  std::shared_ptr<const ProxySnapshot> take_answer(Nanos now, ProxyId id);

  /// Each of these proxies acknowledges the request once it was answered from `version` or something newer.
  void request_acknowledgement(Nanos now, AckRequestId request, SnapshotVersion version,
                               const std::vector<ProxyId>& proxies);
  /// A proxy acknowledged a request.
  struct Acknowledgement {
    AckRequestId request{};
    ProxyId proxy{};
    Nanos latency{};  ///< since the request
  };
  /// The requests that the proxy has acknowledged since the last call, in their order.
  std::vector<Acknowledgement> take_acknowledged(Nanos now, ProxyId id);

  /// The queue totals, and counts since the start.
  struct Counts : SendQueueTotals {
    std::uint64_t messages = 0;
    /// Queries that got an older configuration, or none, for want of a token.
    std::uint64_t rate_limited_queries = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct PendingAcknowledgement {
    AckRequestId request{};
    SnapshotVersion version{};
    Nanos requested_at{};
  };
  struct Proxy {
    std::shared_ptr<const ProxySnapshot> answered;  // null: nothing yet
    std::shared_ptr<const ProxySnapshot> latest;
    SendQueue queue;
    TokenBucketLimiter::Bucket bucket;
    std::deque<PendingAcknowledgement> pending_acknowledgements;
  };
  static bool has_reached(const Proxy& proxy, SnapshotVersion version);

  const double message_overhead_entries_;
  const TokenBucketLimiter limiter_;
  std::map<ProxyId, Proxy> proxies_;
  Counts counts_;
};

}  // namespace ospreypost::routing_state
