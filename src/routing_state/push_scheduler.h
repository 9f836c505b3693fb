/// When each proxy that tables are pushed to is sent what, the most urgent first, and which proxies are given
/// up on. Free of I/O.
///
/// One push to a proxy is in flight at a time; changes that are made meanwhile are merged into the next. A
/// failed push is retried after a backoff that doubles. A proxy that has not confirmed an urgent change, such
/// as an ejection, within its timeout is lost: it counts as having left until it joins again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "routing_state/routing_snapshot.h"
#include "routing_state/send_queue.h"
#include "routing_state/token_bucket_limiter.h"

namespace ospreypost::routing_state {

/// What the channel to the proxies can carry, and how long it may take.
struct PushLimits {
  double message_overhead_entries = 0;      ///< that each message costs beyond its own entries
  double entries_per_second = 1;            ///< of the channel; urgent changes do not wait for it
  std::size_t max_messages_per_window = 0;  ///< to one proxy; 0: no limit
  Nanos window{};
  Nanos urgent_change_timeout{};  ///< for the confirmation; the drain grace less the delays before the first
                                  ///< push
  Nanos liveness_interval{};      ///< between two liveness checks of a proxy that no change waits for
};

/// What is to be sent to a proxy now.
struct PendingPush {
  ProxyId proxy{};
  std::shared_ptr<const ProxySnapshot> proxy_snapshot;  ///< null: a liveness check
  bool overrides_rollback = false;                      ///< replaces tables that were rolled back by hand
};

/// Not synchronised: the owner calls it under a lock. `on_joined`, `on_liveness` and `on_rollback` throw
/// std::out_of_range for a proxy that was not added.
class PushScheduler {
 public:
  explicit PushScheduler(const PushLimits& limits);

  /// A configured proxy. It is sent liveness checks, with a growing backoff, until it joins.
  void add_known(Nanos now, ProxyId id);
  /// The proxy responded. With `has_no_table` it is waited for as long as it takes; else nobody knows what
  /// its table holds, and the first table of ours is urgent.
  void on_joined(Nanos now, ProxyId id, bool has_no_table);
  /// The proxy responded to a liveness check. `version`: of the newest table that it holds; absent without
  /// one. True if the proxy joins by that: for the first time, or anew because it does not hold what it was
  /// sent.
  bool on_liveness(Nanos now, ProxyId id, std::optional<SnapshotVersion> version);
  /// An operator rolled the proxy back to tables with these replicas. They stay until a newer change is
  /// confirmed; if one of the replicas is ejected they are replaced, as urgently as by any ejection.
  void on_rollback(Nanos now, ProxyId id, std::set<ReplicaId> rolled_back_to);
  /// All replicas that no proxy may use now.
  void on_ejected(Nanos now, std::set<ReplicaId> replicas);
  /// `proxy_snapshot`: the proxy's configuration from now on; `entries`: how many of its entries changed.
  /// Does nothing for a proxy that is unknown or has not joined.
  void on_published(Nanos now, ProxyId id, std::shared_ptr<const ProxySnapshot> proxy_snapshot,
                    std::size_t entries);

  /// The push to send now, if any. It is in flight until `on_confirmed`, `on_failed` or `on_rejected` is
  /// called, or `on_joined` or `on_liveness` for a liveness check.
  std::optional<PendingPush> take_push(Nanos now);
  /// When `take_push` could return something without any other event; absent if never.
  std::optional<Nanos> next_wake_up(Nanos now) const;
  /// The proxy responded to the push in flight; it uses that version if it is the one that was sent. Does
  /// nothing for an unknown proxy.
  void on_confirmed(Nanos now, ProxyId id, SnapshotVersion version);
  /// The push was lost, not stored, or not confirmed in time; the proxy may have received it. Does nothing
  /// for an unknown proxy.
  void on_failed(Nanos now, ProxyId id);
  /// The proxy follows another control plane: it has left until it joins again. Does nothing for an unknown
  /// proxy.
  void on_rejected(Nanos now, ProxyId id);
  /// The proxies lost since the last call, by ascending id.
  std::vector<ProxyId> take_lost(Nanos now);
  /// False for an unknown proxy.
  bool is_joined(ProxyId id) const;

  /// The queue totals, and counts since the start.
  struct Counts : SendQueueTotals {
    std::uint64_t pushes = 0;    ///< with a table; liveness checks are not counted
    std::uint64_t failures = 0;  ///< of pushes and liveness checks
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Proxy {
    bool joined = false;
    bool in_flight = false;
    bool has_no_table = true;                        // when it joined
    std::shared_ptr<const ProxySnapshot> confirmed;  // null: nothing yet
    std::shared_ptr<const ProxySnapshot> sent;       // may have arrived, also if the push failed
    std::shared_ptr<const ProxySnapshot> latest;     // null: nothing yet
    std::optional<Nanos> urgent_since;  // while what it may use would let it send where it must not
    std::set<ReplicaId> rolled_back_to;
    bool rollback_is_unsafe = false;  // it names an ejected replica
    SendQueue queue;
    TokenBucketLimiter::Bucket bucket;
    Nanos not_before{};  // of the next push
    Nanos last_response{};
    Nanos backoff{};
  };
  // In the order in which pushes are sent.
  enum class Priority { urgent_change, first_table, normal_change, liveness_check };
  struct Rank {
    Priority priority{};
    Nanos since{};  // the oldest goes first
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
  const TokenBucketLimiter limiter_;
  std::map<ProxyId, Proxy> proxies_;
  std::set<ReplicaId> ejected_;
  Nanos channel_free_at_{};  // when what was sent so far has passed the channel
  Counts counts_;
};

}  // namespace ospreypost::routing_state
