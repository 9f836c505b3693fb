/// Limits how often proxies are sent messages, so that none is sent more messages than the settings allow,
/// and so that ordinary updates leave messages for urgent ones.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "policy/settings.h"
#include "policy/subset_assignment.h"
#include "policy/token_bucket_limiter.h"
#include "policy/types.h"

namespace ospreypost::policy {

/// Counts the messages to each proxy in a token bucket, which is full when the proxy joins for the first
/// time.
/// - An urgent message to a subset needs one token of each of its proxies.
/// - A normal message to a subset leaves one token for an urgent one, and follows the previous message to the
///   subset after the time in which a bucket gains a token.
/// - The migration of a proxy needs a full bucket, so that the next normal message to the proxy's new subset
/// is
///   not delayed.
/// An urgent message thus waits only if its proxies were sent several messages more than the normal ones.
class MessagePacing {
 public:
  /// What proxies may be sent now.
  enum class Allowance { nothing, urgent, all };
  /// What each subset and the proxies without a subset may be sent now.
  struct Allowances {
    std::vector<Allowance> subsets;
    Allowance unassigned = Allowance::all;
  };

  explicit MessagePacing(const Settings& settings);

  /// Sets the number of subsets, once they are laid out.
  void set_subset_count(std::size_t subsets) { last_messages_.assign(subsets, Nanos{}); }

  /// Returns the time between two normal messages to a subset.
  Nanos min_gap() const { return min_gap_; }
  Allowances allowances(const SubsetAssignment& assignment, Nanos now);
  /// Returns whether a proxy that is bound to no subset may be sent its first tables.
  bool may_bind(ProxyId proxy, Nanos now);
  /// Returns whether a proxy may be sent the tables of another subset.
  bool may_migrate(ProxyId proxy, Nanos now);

  /// Counts a message to one proxy.
  void count_message(ProxyId proxy, Nanos now);
  /// Counts a message to each proxy for which `is_sent` returns true.
  void count_messages(const SubsetAssignment& assignment, const std::function<bool(const Proxy&)>& is_sent,
                      Nanos now);

 private:
  double tokens(ProxyId proxy, Nanos now);

  const TokenBucketLimiter limiter_;
  const Nanos min_gap_;
  std::map<ProxyId, TokenBucketLimiter::Bucket> buckets_;
  std::vector<Nanos> last_messages_;  // time of the last message, by subset
};

}  // namespace ospreypost::policy
