#include "routing_state/push_scheduler.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace ospreypost::routing_state {
namespace {

using namespace std::chrono_literals;

// The backoff after a failed push doubles with each failure, from kMinBackoff up to the maximum:
// kMaxUrgentBackoff while an urgent change is pending, otherwise kMaxBackoff.
constexpr Nanos kMinBackoff = 50ms;
constexpr Nanos kMaxBackoff = 1s;
constexpr Nanos kMaxUrgentBackoff = 200ms;
constexpr Nanos kTokenCheckInterval = 50ms;
/// A new process may send its first message to a proxy with an unknown message history after at most
/// urgent_change_timeout / kFirstMessageTimeoutDivisor.
constexpr int kFirstMessageTimeoutDivisor = 3;

Nanos nanos(double seconds) { return Nanos(std::llround(seconds * 1e9)); }

}  // namespace

PushScheduler::PushScheduler(const PushLimits& limits)
    : limits_(limits), limiter_(limits.max_messages_per_window, limits.window) {}

void PushScheduler::add_known(Nanos now, ProxyId id) {
  Proxy& proxy = proxies_[id];
  proxy.bucket = limiter_.full_bucket(now);
  proxy.not_before = now;
}

void PushScheduler::on_joined(Nanos now, ProxyId id, bool has_no_table) {
  Proxy& proxy = proxies_.at(id);
  proxy.queue.clear(counts_);
  // A proxy with a table has been sent messages before: by this process before the proxy was lost, by another
  // process, or by an earlier incarnation of this process.
  const Nanos first_message_within = limits_.urgent_change_timeout / kFirstMessageTimeoutDivisor;
  const policy::TokenBucketLimiter::Bucket bucket =
      has_no_table ? proxy.bucket : limiter_.bucket_of_unknown_history(now, first_message_within);
  proxy = Proxy{};
  proxy.joined = true;
  proxy.has_no_table = has_no_table;
  proxy.bucket = bucket;
  proxy.last_response = now;
  proxy.not_before = now;
}

bool PushScheduler::on_liveness(Nanos now, ProxyId id, std::optional<SnapshotVersion> version) {
  const Proxy& proxy = proxies_.at(id);
  const auto has_stored = [&](const std::shared_ptr<const ProxySnapshot>& proxy_snapshot) {
    return version ? proxy_snapshot && proxy_snapshot->changed_in == *version : !proxy_snapshot;
  };
  // Until this process has sent its first push, a stored table of any version is accepted.
  const bool was_sent_nothing = !proxy.confirmed && !proxy.sent;
  if (proxy.joined && (was_sent_nothing || has_stored(proxy.confirmed) || has_stored(proxy.sent))) {
    on_confirmed(now, id, {});
    return false;
  }
  on_joined(now, id, !version);
  return true;
}

// Updates the time since which the proxy has an urgent change. A change is urgent from its publication until
// the change is confirmed or reverted.
void PushScheduler::update_urgency(Nanos now, Proxy& proxy) {
  const bool confirmed_is_unsafe =
      proxy.confirmed ? requires_urgent_update(*proxy.confirmed, *proxy.latest) : !proxy.has_no_table;
  const bool sent_is_unsafe = proxy.sent && requires_urgent_update(*proxy.sent, *proxy.latest);
  if (!confirmed_is_unsafe && !sent_is_unsafe && !proxy.rollback_is_unsafe) {
    proxy.urgent_since.reset();
  } else if (!proxy.urgent_since) {
    proxy.urgent_since = now;
  }
}

void PushScheduler::on_rollback(Nanos now, ProxyId id, std::set<ReplicaId> rolled_back_to) {
  Proxy& proxy = proxies_.at(id);
  if (!proxy.joined || !proxy.latest) return;
  // The operator's rollback was itself a message to the proxy, so it counts against the message limit.
  const bool is_new = !rolled_back_to.empty() && rolled_back_to != proxy.rolled_back_to;
  if (is_new) policy::TokenBucketLimiter::take(proxy.bucket);
  proxy.rolled_back_to = std::move(rolled_back_to);
  check_rollback(now, proxy);
}

void PushScheduler::check_rollback(Nanos now, Proxy& proxy) const {
  proxy.rollback_is_unsafe = std::any_of(proxy.rolled_back_to.begin(), proxy.rolled_back_to.end(),
                                         [this](ReplicaId replica) { return ejected_.contains(replica); });
  update_urgency(now, proxy);
}

void PushScheduler::on_ejected(Nanos now, std::set<ReplicaId> replicas) {
  ejected_ = std::move(replicas);
  for (auto& [id, proxy] : proxies_) {
    if (!proxy.rolled_back_to.empty()) check_rollback(now, proxy);
  }
}

void PushScheduler::on_published(Nanos now, ProxyId id, std::shared_ptr<const ProxySnapshot> proxy_snapshot,
                                 std::size_t entries) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end() || !known->second.joined) return;
  Proxy& proxy = known->second;
  proxy.latest = std::move(proxy_snapshot);
  proxy.queue.add(entries, *proxy.latest, limits_.message_overhead_entries, counts_);
  const bool was_urgent = proxy.urgent_since.has_value();
  update_urgency(now, proxy);
  // A change that becomes urgent does not wait for the backoff of an earlier failed push.
  const bool becomes_urgent = proxy.urgent_since && !was_urgent;
  if (becomes_urgent) proxy.not_before = std::min(proxy.not_before, now);
}

bool PushScheduler::has_unconfirmed_change(const Proxy& proxy) {
  if (!proxy.joined || !proxy.latest) return false;
  return proxy.rollback_is_unsafe || proxy.confirmed != proxy.latest;
}

PushScheduler::Priority PushScheduler::priority_of(const Proxy& proxy) {
  if (!has_unconfirmed_change(proxy)) return Priority::liveness_check;
  if (!proxy.confirmed) return Priority::first_table;
  return proxy.urgent_since ? Priority::urgent_change : Priority::normal_change;
}

// Whether a table push must wait for the channel or for a token of the message limit.
bool PushScheduler::must_wait(Nanos now, Proxy& proxy, Priority priority) const {
  if (priority == Priority::liveness_check) return false;
  if (priority != Priority::urgent_change && now < channel_free_at_) return true;
  // A retry of a push that may already have arrived does not count as a new message.
  const bool is_retry = proxy.sent == proxy.latest && !proxy.rollback_is_unsafe;
  if (is_retry) return false;
  return !limiter_.may_send(now, proxy.bucket, priority != Priority::normal_change);
}

// Returns the rank of the proxy's next push; empty if nothing may be sent to the proxy now.
std::optional<PushScheduler::Rank> PushScheduler::rank_of(Nanos now, Proxy& proxy) const {
  if (proxy.in_flight || now < proxy.not_before) return std::nullopt;
  Priority priority = priority_of(proxy);
  // The lease of the proxy's table must not expire while a change is pending, so the proxy still gets
  // liveness checks.
  if (must_wait(now, proxy, priority)) priority = Priority::liveness_check;
  const bool liveness_check_is_due = now >= proxy.last_response + limits_.liveness_interval;
  if (priority == Priority::liveness_check && proxy.joined && !liveness_check_is_due) return std::nullopt;
  return Rank{priority, proxy.urgent_since.value_or(proxy.last_response)};
}

bool PushScheduler::Rank::goes_before(const Rank& other) const {
  if (priority != other.priority) return priority < other.priority;
  return since < other.since;
}

std::optional<PendingPush> PushScheduler::take_push(Nanos now) {
  auto best = proxies_.end();
  std::optional<Rank> best_rank;
  for (auto each = proxies_.begin(); each != proxies_.end(); ++each) {
    const std::optional<Rank> rank = rank_of(now, each->second);
    if (!rank || (best_rank && !rank->goes_before(*best_rank))) continue;
    best = each;
    best_rank = rank;
  }
  if (!best_rank) return std::nullopt;
  return start_push(now, best->first, best->second, best_rank->priority);
}

PendingPush PushScheduler::start_push(Nanos now, ProxyId id, Proxy& proxy, Priority priority) {
  proxy.in_flight = true;
  if (priority == Priority::liveness_check) return PendingPush{id, nullptr, false};
  const bool is_new_message = proxy.sent != proxy.latest || proxy.rollback_is_unsafe;
  if (is_new_message) {
    policy::TokenBucketLimiter::take(proxy.bucket);
    const Nanos time_in_channel = nanos(proxy.queue.entries() / limits_.entries_per_second);
    channel_free_at_ = std::max(channel_free_at_, now) + time_in_channel;
  }
  proxy.sent = proxy.latest;
  ++counts_.pushes;
  return PendingPush{id, proxy.sent, !proxy.rolled_back_to.empty()};
}

std::optional<Nanos> PushScheduler::next_wake_up(Nanos now) const {
  std::optional<Nanos> earliest;
  for (const auto& [id, proxy] : proxies_) {
    if (proxy.in_flight) continue;
    const Nanos wake_up = wake_up_of(now, proxy);
    earliest = earliest ? std::min(*earliest, wake_up) : wake_up;
  }
  return earliest;
}

Nanos PushScheduler::wake_up_of(Nanos now, const Proxy& proxy) const {
  Nanos wake_up = proxy.not_before;
  const bool has_change = has_unconfirmed_change(proxy);
  const bool is_urgent = proxy.confirmed && proxy.urgent_since;
  if (proxy.joined && !has_change) {
    wake_up = std::max(wake_up, proxy.last_response + limits_.liveness_interval);
  }
  if (has_change && !is_urgent) wake_up = std::max(wake_up, channel_free_at_);
  // If no other condition delays the push, the push waits for a token, so the scheduler checks again after a
  // fixed interval.
  return wake_up <= now ? now + kTokenCheckInterval : wake_up;
}

void PushScheduler::on_confirmed(Nanos now, ProxyId id, SnapshotVersion version) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  Proxy& proxy = known->second;
  proxy.in_flight = false;
  proxy.last_response = now;
  proxy.backoff = Nanos{};
  proxy.not_before = now;
  // A late or repeated confirmation of an older push shows only that the proxy is alive.
  if (!proxy.sent || proxy.sent->changed_in != version) return;
  proxy.confirmed = proxy.sent;
  proxy.rolled_back_to.clear();
  proxy.rollback_is_unsafe = false;
  if (proxy.confirmed == proxy.latest) proxy.queue.clear(counts_);
  update_urgency(now, proxy);
}

void PushScheduler::on_failed(Nanos now, ProxyId id) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  Proxy& proxy = known->second;
  proxy.in_flight = false;
  ++counts_.failures;
  const Nanos max_backoff = proxy.urgent_since ? kMaxUrgentBackoff : kMaxBackoff;
  proxy.backoff = std::clamp(2 * proxy.backoff, kMinBackoff, max_backoff);
  proxy.not_before = now + proxy.backoff;
}

std::vector<ProxyId> PushScheduler::take_lost(Nanos now) {
  std::vector<ProxyId> lost;
  for (auto& [id, proxy] : proxies_) {
    if (!is_lost(now, proxy)) continue;
    lost.push_back(id);
    remove(proxy);
  }
  return lost;
}

bool PushScheduler::is_lost(Nanos now, const Proxy& proxy) const {
  if (!proxy.joined) return false;
  const Nanos timeout = limits_.urgent_change_timeout;
  const bool is_overdue = proxy.urgent_since && now >= *proxy.urgent_since + timeout;
  // A silent proxy is lost even if no change is urgent, because an urgent change could not reach it in time.
  const bool is_silent = now >= proxy.last_response + timeout + 2 * limits_.liveness_interval;
  return is_overdue || is_silent;
}

void PushScheduler::remove(Proxy& proxy) {
  proxy.queue.clear(counts_);
  proxy.joined = false;
  proxy.confirmed = nullptr;
  proxy.sent = nullptr;
  proxy.latest = nullptr;
  proxy.rolled_back_to.clear();
  proxy.rollback_is_unsafe = false;
  proxy.urgent_since.reset();
}

void PushScheduler::on_rejected(Nanos now, ProxyId id) {
  on_failed(now, id);
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  remove(known->second);
  known->second.not_before = now + kMaxBackoff;
}

bool PushScheduler::is_joined(ProxyId id) const {
  const auto known = proxies_.find(id);
  return known != proxies_.end() && known->second.joined;
}

}  // namespace ospreypost::routing_state
