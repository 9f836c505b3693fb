#include "routing_state/push_scheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "routing_state/pull_delivery.h"

namespace ospreypost::routing_state {
namespace {

using namespace std::chrono_literals;

constexpr Nanos kPause = 50ms, kPauseMost = 1s;  // after a failure, doubling
constexpr Nanos kPressPauseMost = 200ms;         // while a withdrawal is unconfirmed
constexpr Nanos kTokenWait = 50ms;               // between looks for a token

Nanos nanos(double seconds) { return Nanos(std::llround(seconds * 1e9)); }

}  // namespace

PushScheduler::PushScheduler(const PushLimits& limits)
    : limits_(limits), limit_(limits.max_messages_per_window, limits.window) {}

void PushScheduler::add_known(Nanos now, ProxyId proxy) {
  auto& fresh = proxies_[proxy];
  fresh.bucket = limit_.full(now);
  fresh.not_before = now;
}

void PushScheduler::on_joined(Nanos now, ProxyId id, bool fresh) {
  auto& proxy = proxies_.at(id);
  wait(proxy, 0);
  // Who has a table had messages of somebody: of this process before it gave up, of another, of its own past.
  const auto bucket = fresh ? proxy.bucket : limit_.unknown(now, limits_.urgent_change_timeout / 3);
  proxy = Proxy{};
  proxy.joined = true;
  proxy.fresh = fresh;
  proxy.bucket = bucket;
  proxy.spoke = proxy.not_before = now;
}

bool PushScheduler::on_liveness(Nanos now, ProxyId id, std::optional<SnapshotVersion> version) {
  const auto& proxy = proxies_.at(id);
  const auto is = [&](const std::shared_ptr<const ProxySnapshot>& proxy_snapshot) {
    return version ? proxy_snapshot && proxy_snapshot->changed_in == *version : !proxy_snapshot;
  };
  // Before the first push it goes by what it came with, and is waited for like that.
  const bool untouched = !proxy.given && !proxy.sent;
  if (proxy.joined && (untouched || is(proxy.given) || is(proxy.sent))) {
    on_confirmed(now, id, {});
    return false;
  }
  on_joined(now, id, !version);
  return true;
}

void PushScheduler::wait(Proxy& proxy, double lines) {
  counts_.queued_entries += lines - proxy.waiting;
  proxy.waiting = lines;
  counts_.max_queued_entries = std::max(counts_.max_queued_entries, counts_.queued_entries);
}

// A withdrawal presses from when it was ordered, until it is confirmed or taken back.
void PushScheduler::press(Nanos now, Proxy& proxy) const {
  const bool by_given = proxy.given ? requires_urgent_update(*proxy.given, *proxy.standing) : !proxy.fresh;
  const bool by_sent = proxy.sent && requires_urgent_update(*proxy.sent, *proxy.standing);
  const bool presses = by_given || by_sent || proxy.recall;
  if (!presses) proxy.pressing_since.reset();
  if (presses && !proxy.pressing_since) proxy.pressing_since = now;
}

void PushScheduler::on_rollback(Nanos now, ProxyId id, std::set<ReplicaId> rolled_back_to) {
  auto& proxy = proxies_.at(id);
  if (!proxy.joined || !proxy.standing) return;
  // The proxy was shown other tables, by whomever.
  if (!rolled_back_to.empty() && rolled_back_to != proxy.rolled_back_to)
    TokenBucketLimiter::take(proxy.bucket);
  proxy.rolled_back_to = std::move(rolled_back_to);
  note_recall(now, proxy);
}

void PushScheduler::note_recall(Nanos now, Proxy& proxy) const {
  proxy.recall = std::any_of(proxy.rolled_back_to.begin(), proxy.rolled_back_to.end(),
                             [&](ReplicaId replica) { return out_.contains(replica); });
  press(now, proxy);
}

void PushScheduler::on_ejected(Nanos now, std::set<ReplicaId> replicas) {
  out_ = std::move(replicas);
  for (auto& [id, proxy] : proxies_) {
    if (!proxy.rolled_back_to.empty()) note_recall(now, proxy);
  }
}

void PushScheduler::on_published(Nanos now, ProxyId id, std::shared_ptr<const ProxySnapshot> proxy_snapshot,
                                 std::size_t lines) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end() || !known->second.joined) return;
  auto& proxy = known->second;
  proxy.standing = std::move(proxy_snapshot);
  wait(proxy, merged_queue_size(proxy.waiting, lines, *proxy.standing, limits_.message_overhead_entries));
  const bool pressed = proxy.pressing_since.has_value();
  press(now, proxy);
  // A new withdrawal does not sit out the pause of an old failure.
  if (proxy.pressing_since && !pressed) proxy.not_before = std::min(proxy.not_before, now);
}

std::optional<PendingPush> PushScheduler::take_push(Nanos now) {
  // Withdrawals by age, then proxies that have nothing at all, then plain changes, then signs of life.
  std::pair<const ProxyId, Proxy>* best = nullptr;
  std::tuple<int, Nanos> best_rank;
  for (auto& entry : proxies_) {
    auto& proxy = entry.second;
    if (proxy.under_way || now < proxy.not_before) continue;
    const bool quiet = now >= proxy.spoke + limits_.liveness_interval;
    int kind = !wants(proxy) ? 3 : !proxy.given ? 1 : proxy.pressing_since ? 0 : 2;
    // What was sent before and may have arrived is no new message.
    const bool again = proxy.sent == proxy.standing && !proxy.recall;
    const bool waits = ((kind == 1 || kind == 2) && now < channel_free_) ||
                       (kind < 3 && !again && !limit_.allows(now, proxy.bucket, kind < 2));
    // Its lease runs while it waits, so it gets signs of life like any other.
    if (waits) kind = 3;
    if (kind == 3 && proxy.joined && !quiet) continue;
    const std::tuple rank{kind, proxy.pressing_since.value_or(proxy.spoke)};
    if (!best || rank < best_rank) best = &entry, best_rank = rank;
  }
  if (!best) return std::nullopt;
  auto& proxy = best->second;
  proxy.under_way = true;
  if (std::get<0>(best_rank) == 3) return PendingPush{best->first, nullptr, false};
  if (proxy.sent != proxy.standing || proxy.recall) {
    TokenBucketLimiter::take(proxy.bucket);
    channel_free_ = std::max(channel_free_, now) + nanos(proxy.waiting / limits_.entries_per_second);
  }
  proxy.sent = proxy.standing;
  ++counts_.pushes;
  return PendingPush{best->first, proxy.sent, !proxy.rolled_back_to.empty()};
}

std::optional<Nanos> PushScheduler::next_wake_up(Nanos now) const {
  std::optional<Nanos> first;
  for (const auto& [id, proxy] : proxies_) {
    if (proxy.under_way) continue;
    Nanos at = proxy.not_before;
    if (proxy.joined && !wants(proxy)) at = std::max(at, proxy.spoke + limits_.liveness_interval);
    const bool urgent = proxy.given && proxy.pressing_since;
    if (wants(proxy) && !urgent) at = std::max(at, channel_free_);
    // Nothing else holds it up, so a token does.
    if (at <= now) at = now + kTokenWait;
    first = first ? std::min(*first, at) : at;
  }
  return first;
}

void PushScheduler::on_confirmed(Nanos now, ProxyId id, SnapshotVersion since) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  auto& proxy = known->second;
  proxy.under_way = false;
  proxy.spoke = now;
  proxy.pause = Nanos{};
  proxy.not_before = now;
  // A confirmation of something older, late or twice, tells that it lives and no more.
  if (!proxy.sent || proxy.sent->changed_in != since) return;
  proxy.given = proxy.sent;
  proxy.rolled_back_to.clear();
  proxy.recall = false;
  if (proxy.given == proxy.standing) wait(proxy, 0);
  press(now, proxy);
}

void PushScheduler::on_failed(Nanos now, ProxyId id) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  auto& proxy = known->second;
  proxy.under_way = false;
  ++counts_.failures;
  proxy.pause = std::clamp(2 * proxy.pause, kPause, proxy.pressing_since ? kPressPauseMost : kPauseMost);
  proxy.not_before = now + proxy.pause;
}

std::vector<ProxyId> PushScheduler::take_lost(Nanos now) {
  std::vector<ProxyId> given_up;
  for (auto& [id, proxy] : proxies_) {
    const bool unheld = proxy.pressing_since && now >= *proxy.pressing_since + limits_.urgent_change_timeout;
    // Long silence is no withdrawal, but one could not be brought to it either.
    const bool silent = now >= proxy.spoke + limits_.urgent_change_timeout + 2 * limits_.liveness_interval;
    if (!proxy.joined || !(unheld || silent)) continue;
    given_up.push_back(id);
    give_up(proxy);
  }
  return given_up;
}

void PushScheduler::give_up(Proxy& proxy) {
  wait(proxy, 0);
  proxy.joined = false;
  proxy.given = proxy.sent = proxy.standing = nullptr;
  proxy.rolled_back_to.clear();
  proxy.recall = false;
  proxy.pressing_since.reset();
}

void PushScheduler::on_rejected(Nanos now, ProxyId id) {
  on_failed(now, id);
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  give_up(known->second);
  known->second.not_before = now + kPauseMost;
}

bool PushScheduler::is_joined(ProxyId id) const {
  const auto known = proxies_.find(id);
  return known != proxies_.end() && known->second.joined;
}

}  // namespace ospreypost::routing_state
