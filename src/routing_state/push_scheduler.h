// When each proxy that is pushed to is sent what, most pressing first; and who is given up on. Pure.
//
// One push to a proxy is under way at a time; what is ordered meanwhile is merged into the next. A push that
// fails is pressed on with after a pause that doubles. A proxy that has not confirmed a withdrawal for as
// long as the grace has room for is given up on: it counts as having left, until a whole table is confirmed
// again.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "routing_state/routing_snapshot.h"
#include "routing_state/token_bucket_limiter.h"

namespace ospreypost::routing_state {

struct PushLimits {
  double message_overhead_entries = 0;      // of each message
  double entries_per_second = 1;            // of the channel; withdrawals do not wait for it
  std::size_t max_messages_per_window = 0;  // to one proxy within the window; 0: no limit
  Nanos window{};
  Nanos urgent_change_timeout{};  // that a withdrawal may stay unconfirmed: the grace less the way there
  Nanos liveness_interval{};      // between two signs of life to a proxy that nothing is ordered for
};

struct PendingPush {
  ProxyId proxy{};
  std::shared_ptr<const ProxySnapshot> proxy_snapshot;
  bool overrides_rollback = false;  // in place of what somebody went back to by hand
};

class PushScheduler {
 public:
  explicit PushScheduler(const PushLimits& limits);

  // Known from the start; tried at once and, while it does not answer, after growing pauses.
  void add_known(Nanos now, ProxyId proxy);
  // It answered. `fresh`: it goes by no table yet; else nobody knows by which, and one must reach it in time.
  void on_joined(Nanos now, ProxyId proxy, bool fresh);
  // It answered a sign of life: the newest that lies there is of that version, or nothing does. True if it
  // joins by that, anew if what lies there is not what it was sent.
  bool on_liveness(Nanos now, ProxyId proxy, std::optional<SnapshotVersion> version);
  // Somebody went back by hand to tables of these replicas. That stands until something newer is ordered, or
  // one of them may be sent to no more: then it is recalled, as pressing as any withdrawal.
  void on_rollback(Nanos now, ProxyId proxy, std::set<ReplicaId> rolled_back_to);
  // Whom nobody may send to now.
  void on_ejected(Nanos now, std::set<ReplicaId> replicas);
  void on_published(Nanos now, ProxyId proxy, std::shared_ptr<const ProxySnapshot> proxy_snapshot,
                    std::size_t lines);

  // What should be sent now, if anything; it counts as under way until `taken` or `failed`. A null holding
  // asks for a sign of life only.
  std::optional<PendingPush> take_push(Nanos now);
  // When `next` could have something to offer without anything else happening; empty if never.
  std::optional<Nanos> next_wake_up(Nanos now) const;
  // It has confirmed what was under way, and goes by it.
  void on_confirmed(Nanos now, ProxyId proxy, SnapshotVersion since);
  // Refused, lost, or not in time: what it goes by is unknown.
  void on_failed(Nanos now, ProxyId proxy);
  // Refused by one that follows somebody else: it is not ours, until it joins again.
  void on_rejected(Nanos now, ProxyId proxy);
  // Those that are given up on; each is named once.
  std::vector<ProxyId> take_lost(Nanos now);
  bool is_joined(ProxyId proxy) const;

  struct Counts {
    double queued_entries = 0, max_queued_entries = 0;  // lines
    std::uint64_t pushes = 0, failures = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Proxy {
    bool joined = false, under_way = false, fresh = true;
    // Confirmed; being sent; ordered. Null: nothing yet.
    std::shared_ptr<const ProxySnapshot> given, sent, standing;
    // With what it may go by, it could send where it must not: since when. A failed push may have been taken.
    std::optional<Nanos> pressing_since;
    std::set<ReplicaId> rolled_back_to;  // of its tables, if somebody went back
    bool recall = false;
    double waiting = 0;
    TokenBucketLimiter::Bucket bucket;
    Nanos not_before{}, spoke{};
    Nanos pause{};
  };
  bool wants(const Proxy& proxy) const {
    return proxy.joined && proxy.standing && (proxy.recall || proxy.given != proxy.standing);
  }
  void wait(Proxy& proxy, double lines);
  void press(Nanos now, Proxy& proxy) const;
  void note_recall(Nanos now, Proxy& proxy) const;
  void give_up(Proxy& proxy);

  const PushLimits limits_;
  const TokenBucketLimiter limit_;
  std::map<ProxyId, Proxy> proxies_;
  std::set<ReplicaId> out_;
  Nanos channel_free_{};  // when what was sent so far has passed the channel
  Counts counts_;
};

}  // namespace ospreypost::routing_state
