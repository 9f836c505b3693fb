/// Pull delivery tracks the configuration that each pulling proxy was last answered with and the changes that
/// are pending for the proxy, and decides whether the proxy may get a newer configuration now. Free of I/O.
///
/// Changes for a pulling proxy stay pending, merged into one, until the proxy sends a query. The first answer
/// that carries a change counts as a message. Answers that repeat the configuration which the proxy already
/// uses do not count, regardless of the number of names that the proxy queries. A token bucket for each proxy
/// enforces the message limit: a normal change waits for a full bucket, an urgent change, such as an
/// ejection, only for one token.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "policy/token_bucket_limiter.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/send_queue.h"

namespace ospreypost::routing_state {

/// Capacity of the channel to the proxies.
struct ChannelLimits {
  double message_overhead_entries = 0;      ///< cost of each message beyond its entries, in entries
  std::size_t max_messages_per_window = 0;  ///< maximum messages to one proxy per window; 0: no limit
  Nanos window{};
};

/// This class is not thread-safe: its callers must hold a lock.
class PullDelivery {
 public:
  explicit PullDelivery(const ChannelLimits& limits);

  /// Adds a proxy, or resets a known proxy. The configuration that the proxy uses counts as unknown.
  void add_proxy(Nanos now, ProxyId id);
  void remove_proxy(ProxyId id);
  /// Records a new configuration of the proxy. `proxy_snapshot`: the new configuration; `entries`: number of
  /// changed entries. Does nothing for an unknown proxy.
  void on_published(Nanos now, ProxyId id, std::shared_ptr<const ProxySnapshot> proxy_snapshot,
                    std::size_t entries);

  /// Returns the configuration to answer the proxy's query with. Null if the proxy has not joined, if the
  /// proxy is bound to no table, or if the configuration that the proxy uses must not be repeated (see
  /// `requires_urgent_update`) while no token is left for a new message.
  std::shared_ptr<const ProxySnapshot> take_answer(Nanos now, ProxyId id);

  /// Records that each of `proxies` is to acknowledge the request. A proxy acknowledges the request once it
  /// has been answered from `version` or a newer version.
  void request_acknowledgement(Nanos now, AckRequestId request, SnapshotVersion version,
                               const std::vector<ProxyId>& proxies);
  /// Acknowledgement of one request by one proxy.
  struct Acknowledgement {
    AckRequestId request{};
    ProxyId proxy{};
    Nanos latency{};  ///< time from the request to the acknowledgement
  };
  /// Returns the acknowledgements of the proxy since the last call, in the order of the requests.
  std::vector<Acknowledgement> take_acknowledged(Nanos now, ProxyId id);

  /// Totals of the send queues, and event counts since the start.
  struct Counts : SendQueueTotals {
    std::uint64_t messages = 0;
    /// Queries that got an older configuration, or none, because no token was available.
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
    std::shared_ptr<const ProxySnapshot> answered;  // configuration of the last answer; null: none yet
    std::shared_ptr<const ProxySnapshot> latest;    // newest published configuration; null: none yet
    SendQueue queue;
    policy::TokenBucketLimiter::Bucket bucket;
    std::deque<PendingAcknowledgement> pending_acknowledgements;
  };
  static bool has_reached(const Proxy& proxy, SnapshotVersion version);

  const double message_overhead_entries_;
  const policy::TokenBucketLimiter limiter_;
  std::map<ProxyId, Proxy> proxies_;
  Counts counts_;
};

}  // namespace ospreypost::routing_state
