// What each pulling proxy was last given, what waits for it, and whether it may be given more now. Pure.
//
// A proxy pulls: what waits for it does so here, merged, until it asks. The first answer that shows it a
// change is a message; repeats of what it already holds are none, whatever the number of names that it asks
// for. So that no window ever holds more messages than allowed, each proxy has a bucket of tokens: a plain
// change waits for a full one, a withdrawal is told while there is any.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "routing_state/routing_snapshot.h"
#include "routing_state/token_bucket_limiter.h"

namespace ospreypost::routing_state {

struct ChannelLimits {
  double message_overhead_entries = 0;      // of each message
  std::size_t max_messages_per_window = 0;  // to one proxy within the window; 0: no limit
  Nanos window{};
};

class PullDelivery {
 public:
  explicit PullDelivery(const ChannelLimits& limits);

  void add_proxy(Nanos now, ProxyId proxy);
  void remove_proxy(ProxyId proxy);
  // `holding` is what now stands for the proxy, `lines` what changed with it.
  void on_published(Nanos now, ProxyId proxy, std::shared_ptr<const ProxySnapshot> proxy_snapshot,
                    std::size_t lines);

  // What the proxy may be answered from at this moment. Null when nothing can be said that keeps the rules:
  // it has not joined, is bound to nothing, or what it was last given names a replica that is withdrawn since
  // and no message is left.
  std::shared_ptr<const ProxySnapshot> take_answer(Nanos now, ProxyId proxy);

  void request_acknowledgement(Nanos now, AckRequestId mark, SnapshotVersion reached_with,
                               const std::vector<ProxyId>& by);
  struct Acknowledgement {
    AckRequestId request{};
    ProxyId proxy{};
    Nanos latency{};
  };
  // The marks that the proxy has reached with what it was last given, each told once.
  std::vector<Acknowledgement> take_acknowledged(Nanos now, ProxyId proxy);

  struct Counts {
    double queued_entries = 0;
    double max_queued_entries = 0;  //, since the start
    std::uint64_t messages = 0;     // since the start
    std::uint64_t rate_limited_queries =
        0;  // questions answered with what was known, or not at all, for want of a token
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Mark {
    AckRequestId id{};
    SnapshotVersion with{};
    Nanos ordered{};
  };
  struct Proxy {
    std::shared_ptr<const ProxySnapshot> given, standing;
    double waiting = 0;
    TokenBucketLimiter::Bucket bucket;
    std::deque<Mark> marks;
  };
  void wait(Proxy& proxy, double lines);

  const double head_lines_;
  const TokenBucketLimiter limit_;
  std::map<ProxyId, Proxy> proxies_;
  Counts counts_;
};

// The lines that the whole of a holding takes, terms included.
std::size_t entry_count(const ProxySnapshot& proxy_snapshot);
// What waits for a proxy when `lines` more come to `waiting` that do: merged, so that it never passes what
// the whole of its tables would be, head included.
double merged_queue_size(double waiting, std::size_t lines, const ProxySnapshot& standing, double head_lines);

// Whether a proxy that goes on with `given` could send where `standing` would not let it: to a replica that
// is no longer there, or with less than half of its former weight.
bool requires_urgent_update(const ProxySnapshot& given, const ProxySnapshot& standing);

}  // namespace ospreypost::routing_state
