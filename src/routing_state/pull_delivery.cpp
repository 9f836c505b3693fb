#include "routing_state/pull_delivery.h"

#include <utility>

namespace ospreypost::routing_state {

PullDelivery::PullDelivery(const ChannelLimits& limits)
    : message_overhead_entries_(limits.message_overhead_entries),
      limiter_(limits.max_messages_per_window, limits.window) {}

void PullDelivery::add_proxy(Nanos now, ProxyId id) {
  remove_proxy(id);
  proxies_[id].bucket = limiter_.full_bucket(now);
}

void PullDelivery::remove_proxy(ProxyId id) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  known->second.queue.clear(counts_);
  proxies_.erase(known);
}

void PullDelivery::on_published(Nanos /*now*/, ProxyId id,
                                std::shared_ptr<const ProxySnapshot> proxy_snapshot, std::size_t entries) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  Proxy& proxy = known->second;
  proxy.latest = std::move(proxy_snapshot);
  proxy.queue.add(entries, *proxy.latest, message_overhead_entries_, counts_);
}

std::shared_ptr<const ProxySnapshot> PullDelivery::take_answer(Nanos now, ProxyId id) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return nullptr;
  Proxy& proxy = known->second;
  if (proxy.answered == proxy.latest) return proxy.answered;
  const bool is_urgent = !proxy.answered || requires_urgent_update(*proxy.answered, *proxy.latest);
  if (!limiter_.may_send(now, proxy.bucket, is_urgent)) {
    ++counts_.rate_limited_queries;
    return is_urgent ? nullptr : proxy.answered;
  }
  policy::TokenBucketLimiter::take(proxy.bucket);
  proxy.answered = proxy.latest;
  ++counts_.messages;
  proxy.queue.clear(counts_);
  return proxy.answered;
}

void PullDelivery::request_acknowledgement(Nanos now, AckRequestId request, SnapshotVersion version,
                                           const std::vector<ProxyId>& proxies) {
  for (const ProxyId id : proxies) {
    const auto known = proxies_.find(id);
    if (known == proxies_.end()) continue;
    known->second.pending_acknowledgements.push_back({request, version, now});
  }
}

bool PullDelivery::has_reached(const Proxy& proxy, SnapshotVersion version) {
  if (!proxy.answered) return false;
  // A proxy without pending changes is up to date even if its snapshot is older than the requested version.
  return proxy.answered == proxy.latest || version <= proxy.answered->changed_in;
}

std::vector<PullDelivery::Acknowledgement> PullDelivery::take_acknowledged(Nanos now, ProxyId id) {
  std::vector<Acknowledgement> acknowledged;
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return acknowledged;
  auto& pending = known->second.pending_acknowledgements;
  while (!pending.empty() && has_reached(known->second, pending.front().version)) {
    acknowledged.push_back({pending.front().request, id, now - pending.front().requested_at});
    pending.pop_front();
  }
  return acknowledged;
}

}  // namespace ospreypost::routing_state
