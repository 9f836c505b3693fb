/// The push scheduler decides which proxy is sent which table update next, the most urgent update first, and
/// when a proxy counts as lost. Free of I/O.
///
/// At most one push to a proxy is in flight at a time; changes that are made during a push are merged into
/// the next push. A failed push is retried after a backoff that doubles with each failure. A proxy that does
/// not confirm an urgent change, such as an ejection, within the timeout is lost: the proxy counts as having
/// left until it joins again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "policy/token_bucket_limiter.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/send_queue.h"

namespace ospreypost::routing_state {

/// Capacity of the channel to the proxies, and its timeouts.
struct PushLimits {
  double message_overhead_entries = 0;      ///< cost of each message beyond its entries, in entries
  double entries_per_second = 1;            ///< capacity of the channel; does not delay urgent changes
  std::size_t max_messages_per_window = 0;  ///< maximum messages to one proxy per window; 0: no limit
  Nanos window{};
  /// Time within which a proxy must confirm an urgent change: the drain grace less the delays before the
  /// first push.
  Nanos urgent_change_timeout{};
  Nanos liveness_interval{};  ///< time between two liveness checks of a proxy without pending changes
};

/// A table update or a liveness check that is to be sent to a proxy now.
struct PendingPush {
  ProxyId proxy{};
  /// Configuration to send; null if the push is a liveness check.
  std::shared_ptr<const ProxySnapshot> proxy_snapshot;
  bool overrides_rollback = false;  ///< the push replaces tables that an operator rolled back
};

/// This class is not thread-safe: its callers must hold a lock. `on_joined`, `on_liveness` and `on_rollback`
/// throw std::out_of_range for a proxy that was not added.
class PushScheduler {
 public:
  explicit PushScheduler(const PushLimits& limits);

  /// Adds a configured proxy. The proxy is sent liveness checks, with a growing backoff, until it joins.
  void add_known(Nanos now, ProxyId id);
  /// Handles the first response of a proxy, or the first since the proxy was lost. If `has_no_table`, the
  /// first table that this process pushes is not urgent and has no deadline. Otherwise the content of the
  /// stored table is unknown, so the first table that this process pushes is urgent.
  void on_joined(Nanos now, ProxyId id, bool has_no_table);
  /// Handles the response to a liveness check. `version`: version of the newest table that the proxy has
  /// stored; absent if the proxy has no table. Returns true if the proxy joins with this response: for the
  /// first time, or again because the stored table is not the one that it was sent.
  bool on_liveness(Nanos now, ProxyId id, std::optional<SnapshotVersion> version);
  /// Records that an operator rolled the proxy back to tables with the replicas `rolled_back_to`. The proxy
  /// keeps these tables until it confirms a newer change. If one of the replicas is ejected, the tables are
  /// replaced as urgently as after any other ejection.
  void on_rollback(Nanos now, ProxyId id, std::set<ReplicaId> rolled_back_to);
  /// Records the complete list of ejected replicas, which no proxy may use.
  void on_ejected(Nanos now, std::set<ReplicaId> replicas);
  /// Records a new configuration of the proxy. `proxy_snapshot`: the new configuration; `entries`: number of
  /// changed entries. Does nothing for a proxy that is unknown or has not joined.
  void on_published(Nanos now, ProxyId id, std::shared_ptr<const ProxySnapshot> proxy_snapshot,
                    std::size_t entries);

  /// Returns the push to send now, if any. The push is in flight until `on_confirmed`, `on_failed` or
  /// `on_rejected` is called for the proxy. A liveness check is also completed by `on_joined` or
  /// `on_liveness`.
  std::optional<PendingPush> take_push(Nanos now);
  /// Returns the next time at which `take_push` could return a push without any other event; absent if never.
  std::optional<Nanos> next_wake_up(Nanos now) const;
  /// Handles the proxy's response to the push in flight. The proxy uses `version` if that is the version
  /// which was sent last. Does nothing for an unknown proxy.
  void on_confirmed(Nanos now, ProxyId id, SnapshotVersion version);
  /// Handles a push that was lost, not stored, or not confirmed in time. The proxy may still have received
  /// the push. Does nothing for an unknown proxy.
  void on_failed(Nanos now, ProxyId id);
  /// Handles a push that the proxy rejected because another control plane instance owns the proxy. The proxy
  /// counts as having left until it joins again. Does nothing for an unknown proxy.
  void on_rejected(Nanos now, ProxyId id);
  /// Returns the proxies that were lost since the last call, by ascending id.
  std::vector<ProxyId> take_lost(Nanos now);
  /// Whether the proxy has joined; false for an unknown proxy.
  bool is_joined(ProxyId id) const;

  /// Totals of the send queues, and event counts since the start.
  struct Counts : SendQueueTotals {
    std::uint64_t pushes = 0;    ///< table pushes; liveness checks are not counted
    std::uint64_t failures = 0;  ///< failed pushes and failed liveness checks
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Proxy {
    bool joined = false;
    bool in_flight = false;
    bool has_no_table = true;                        // whether the proxy had no table when it joined
    std::shared_ptr<const ProxySnapshot> confirmed;  // last confirmed configuration; null: none yet
    // Last sent configuration, which may have arrived even if the push failed; null: none yet.
    std::shared_ptr<const ProxySnapshot> sent;
    std::shared_ptr<const ProxySnapshot> latest;  // newest published configuration; null: none yet
    // Time since which the proxy may be using a table that allows requests which `latest` does not allow;
    // absent if there is no such table.
    std::optional<Nanos> urgent_since;
    std::set<ReplicaId> rolled_back_to;
    bool rollback_is_unsafe = false;  // whether the rollback's tables contain an ejected replica
    SendQueue queue;
    policy::TokenBucketLimiter::Bucket bucket;
    Nanos not_before{};  // earliest time of the next push
    Nanos last_response{};
    Nanos backoff{};
  };
  // Kinds of push, from the highest priority to the lowest.
  enum class Priority { urgent_change, first_table, normal_change, liveness_check };
  struct Rank {
    Priority priority{};
    // Start of the urgency, or time of the proxy's last response. Among pushes of equal priority, the one
    // with the earliest time is sent first.
    Nanos since{};
    bool goes_before(const Rank& other) const;
  };

  static bool has_unconfirmed_change(const Proxy& proxy);
  static Priority priority_of(const Proxy& proxy);
  bool must_wait(Nanos now, Proxy& proxy, Priority priority) const;
  std::optional<Rank> rank_of(Nanos now, Proxy& proxy) const;
  PendingPush start_push(Nanos now, ProxyId id, Proxy& proxy, Priority priority);
  Nanos wake_up_of(Nanos now, const Proxy& proxy) const;
  static void update_urgency(Nanos now, Proxy& proxy);
  void check_rollback(Nanos now, Proxy& proxy) const;
  bool is_lost(Nanos now, const Proxy& proxy) const;
  void remove(Proxy& proxy);

  const PushLimits limits_;
  const policy::TokenBucketLimiter limiter_;
  std::map<ProxyId, Proxy> proxies_;
  std::set<ReplicaId> ejected_;
  Nanos channel_free_at_{};  // time at which all messages sent so far have passed the channel
  Counts counts_;
};

}  // namespace ospreypost::routing_state
