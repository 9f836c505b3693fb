#include "routing_state/routing_snapshot.h"

#include <algorithm>

namespace ospreypost::routing_state {
namespace {

/// A weight below this fraction of the former one must reach the proxy urgently.
constexpr double kUrgentWeightRatio = 0.5;

bool requires_urgent_update(const RoutingTable& sent, const RoutingTable& latest) {
  const auto by_replica = [](const TableEntry& entry, ReplicaId id) { return entry.replica < id; };
  return std::any_of(sent.entries.begin(), sent.entries.end(), [&](const TableEntry& entry) {
    const auto found =
        std::lower_bound(latest.entries.begin(), latest.entries.end(), entry.replica, by_replica);
    if (found == latest.entries.end() || found->replica != entry.replica) return true;
    return found->weight < entry.weight * kUrgentWeightRatio;
  });
}

}  // namespace

const char* name_of(RetryMode retry) {
  switch (retry) {
    case RetryMode::none:
      return "none";
    case RetryMode::after_rejection_proof:
      return "after-proof";
    case RetryMode::once:
      return "once";
    case RetryMode::twice:
      return "twice";
  }
  return "none";
}

std::size_t entry_count(const ProxySnapshot& proxy_snapshot) {
  std::size_t entries = 0;
  for (const auto& table : proxy_snapshot.routing_tables) {
    // One more announces the binding to the table.
    if (table) entries += 1 + table->entries.size() + table->traffic_policies.size();
  }
  return entries;
}

bool requires_urgent_update(const ProxySnapshot& sent, const ProxySnapshot& latest) {
  for (std::size_t cls = 0; cls < sent.routing_tables.size(); ++cls) {
    const auto& sent_table = sent.routing_tables[cls];
    if (!sent_table) continue;
    const bool is_bound = cls < latest.routing_tables.size() && latest.routing_tables[cls];
    const bool is_urgent = is_bound ? requires_urgent_update(*sent_table, *latest.routing_tables[cls])
                                    : !sent_table->entries.empty();
    if (is_urgent) return true;
  }
  return false;
}

std::vector<ProxyId> RoutingSnapshot::acknowledgement_recipients(bool all_proxies) const {
  std::vector<ProxyId> recipients;
  for (const auto& [proxy, proxy_snapshot] : proxy_snapshots) {
    if (all_proxies || proxy_snapshot->changed_in == version) recipients.push_back(proxy);
  }
  return recipients;
}

std::shared_ptr<const ProxySnapshot> RoutingSnapshot::snapshot_of(ProxyId proxy) const {
  const auto by_proxy = [](const ProxySnapshotEntry& entry, ProxyId id) { return entry.proxy < id; };
  const auto found = std::lower_bound(proxy_snapshots.begin(), proxy_snapshots.end(), proxy, by_proxy);
  if (found == proxy_snapshots.end() || found->proxy != proxy) return nullptr;
  return found->snapshot;
}

}  // namespace ospreypost::routing_state
