/// Proxy configurations that are shared by the tests of routing_state/.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <utility>
#include <vector>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

/// Returns the configuration of a proxy with one table, for one request class.
inline std::shared_ptr<const ProxySnapshot> make_proxy_snapshot(std::uint64_t version, RoutingTable table) {
  auto snapshot = std::make_shared<ProxySnapshot>();
  snapshot->changed_in = SnapshotVersion{version};
  snapshot->routing_tables = {std::make_shared<const RoutingTable>(std::move(table))};
  return snapshot;
}

/// Returns the configuration of a proxy whose only table contains `replicas`, each with weight 1.
inline std::shared_ptr<const ProxySnapshot> make_proxy_snapshot(
    std::uint64_t version, std::initializer_list<std::uint32_t> replicas) {
  RoutingTable table;
  for (const std::uint32_t id : replicas) table.entries.push_back({ReplicaId{id}, 1.0});
  return make_proxy_snapshot(version, std::move(table));
}

}  // namespace ospreypost::routing_state
