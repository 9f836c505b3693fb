/// Configurations of proxies that the tests of routing_state/ share.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <utility>
#include <vector>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

/// The configuration of a proxy with one table, for one class.
inline std::shared_ptr<const ProxySnapshot> make_proxy_snapshot(std::uint64_t version, RoutingTable table) {
  auto snapshot = std::make_shared<ProxySnapshot>();
  snapshot->changed_in = SnapshotVersion{version};
  snapshot->routing_tables = {std::make_shared<const RoutingTable>(std::move(table))};
  return snapshot;
}

/// With one table of these replicas, all of weight 1.
inline std::shared_ptr<const ProxySnapshot> make_proxy_snapshot(
    std::uint64_t version, std::initializer_list<std::uint32_t> replicas) {
  RoutingTable table;
  for (const std::uint32_t id : replicas) table.entries.push_back({ReplicaId{id}, 1.0});
  return make_proxy_snapshot(version, std::move(table));
}

}  // namespace ospreypost::routing_state
