#include "routing_state/pull_delivery.h"

#include <algorithm>

namespace ospreypost::routing_state {
namespace {

bool requires_urgent_update(const RoutingTable& given, const RoutingTable& standing) {
  const auto by_replica = [](const TableEntry& line, ReplicaId id) { return line.replica < id; };
  return std::any_of(given.entries.begin(), given.entries.end(), [&](const TableEntry& line) {
    const auto now =
        std::lower_bound(standing.entries.begin(), standing.entries.end(), line.replica, by_replica);
    return now == standing.entries.end() || now->replica != line.replica || now->weight < line.weight / 2;
  });
}

}  // namespace

bool requires_urgent_update(const ProxySnapshot& given, const ProxySnapshot& standing) {
  for (std::size_t k = 0; k < given.routing_tables.size(); ++k) {
    if (!given.routing_tables[k]) continue;
    const bool bound = k < standing.routing_tables.size() && standing.routing_tables[k];
    if (bound ? requires_urgent_update(*given.routing_tables[k], *standing.routing_tables[k])
              : !given.routing_tables[k]->entries.empty())
      return true;
  }
  return false;
}

std::size_t entry_count(const ProxySnapshot& proxy_snapshot) {
  std::size_t lines = 0;
  for (const auto& view : proxy_snapshot.routing_tables)
    lines += view ? 1 + view->entries.size() + view->traffic_policies.size() : 0;
  return lines;
}

double merged_queue_size(double waiting, std::size_t lines, const ProxySnapshot& standing,
                         double head_lines) {
  const double whole = head_lines + static_cast<double>(entry_count(standing));
  const double more = static_cast<double>(lines) + (waiting > 0 ? 0 : head_lines);
  return std::min(whole, waiting + more);
}

PullDelivery::PullDelivery(const ChannelLimits& limits)
    : head_lines_(limits.message_overhead_entries), limit_(limits.max_messages_per_window, limits.window) {}

void PullDelivery::add_proxy(Nanos now, ProxyId proxy) {
  remove_proxy(proxy);
  proxies_[proxy].bucket = limit_.full(now);
}

void PullDelivery::remove_proxy(ProxyId proxy) {
  const auto known = proxies_.find(proxy);
  if (known == proxies_.end()) return;
  counts_.queued_entries -= known->second.waiting;
  proxies_.erase(known);
}

void PullDelivery::wait(Proxy& proxy, double lines) {
  counts_.queued_entries += lines - proxy.waiting;
  proxy.waiting = lines;
  counts_.max_queued_entries = std::max(counts_.max_queued_entries, counts_.queued_entries);
}

void PullDelivery::on_published(Nanos, ProxyId id, std::shared_ptr<const ProxySnapshot> proxy_snapshot,
                                std::size_t lines) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  auto& proxy = known->second;
  proxy.standing = std::move(proxy_snapshot);
  wait(proxy, merged_queue_size(proxy.waiting, lines, *proxy.standing, head_lines_));
}

std::shared_ptr<const ProxySnapshot> PullDelivery::take_answer(Nanos now, ProxyId id) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return nullptr;
  auto& proxy = known->second;
  if (proxy.given == proxy.standing) return proxy.given;
  const bool urgent = !proxy.given || requires_urgent_update(*proxy.given, *proxy.standing);
  if (!limit_.allows(now, proxy.bucket, urgent)) {
    ++counts_.rate_limited_queries;
    return urgent ? nullptr : proxy.given;
  }
  TokenBucketLimiter::take(proxy.bucket);
  proxy.given = proxy.standing;
  ++counts_.messages;
  wait(proxy, 0);
  return proxy.given;
}

void PullDelivery::request_acknowledgement(Nanos now, AckRequestId mark, SnapshotVersion reached_with,
                                           const std::vector<ProxyId>& by) {
  for (const auto id : by) {
    const auto known = proxies_.find(id);
    if (known != proxies_.end()) known->second.marks.push_back({mark, reached_with, now});
  }
}

std::vector<PullDelivery::Acknowledgement> PullDelivery::take_acknowledged(Nanos now, ProxyId id) {
  std::vector<Acknowledgement> told;
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return told;
  auto& proxy = known->second;
  // Nothing newer waits for it, or the mark came with what it holds.
  while (!proxy.marks.empty()) {
    const auto& mark = proxy.marks.front();
    const bool reached =
        proxy.given && (proxy.given == proxy.standing || mark.with <= proxy.given->changed_in);
    if (!reached) break;
    told.push_back({mark.id, id, now - mark.ordered});
    proxy.marks.pop_front();
  }
  return told;
}

}  // namespace ospreypost::routing_state
