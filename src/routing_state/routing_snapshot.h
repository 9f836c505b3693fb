// What stands for every proxy at one moment: numbered, immutable, shared between threads.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::routing_state {

enum class SnapshotVersion : std::uint64_t {};

struct TableEntry {
  ReplicaId replica{};
  double weight = 0;  // above 0, relative to the other lines
  bool operator==(const TableEntry&) const = default;
};

// How operations of one class are let in and tried again.
struct TrafficPolicy {
  double admitted_fraction = 1;  // 0 to 1: the share that is let in
  RetryMode retry = RetryMode::after_rejection_proof;
  bool operator==(const TrafficPolicy&) const = default;
};

// One table as it may be used: without what is withdrawn, by ascending replica.
struct RoutingTable {
  std::vector<TableEntry> entries;
  std::vector<TrafficPolicy> traffic_policies;  // by class
  bool operator==(const RoutingTable&) const = default;
};

// What one proxy is to hold: a view for each class; null where it is bound to no table for that class.
struct ProxySnapshot {
  SnapshotVersion changed_in{};  // the version that last changed it
  std::vector<std::shared_ptr<const RoutingTable>> routing_tables;
};

struct RoutingSnapshot {
  SnapshotVersion version{};
  Nanos created{};
  std::vector<std::pair<ProxyId, std::shared_ptr<const ProxySnapshot>>>
      proxy_snapshots;  // by ascending proxy

  // Who a mark made with this version asks for an answer: whom it changed, or everybody.
  std::vector<ProxyId> acknowledgement_recipients(bool reach_all) const {
    std::vector<ProxyId> by;
    for (const auto& [proxy, proxy_snapshot] : proxy_snapshots) {
      if (reach_all || proxy_snapshot->changed_in == version) by.push_back(proxy);
    }
    return by;
  }

  // Null for a proxy that has not joined or is bound to nothing yet.
  std::shared_ptr<const ProxySnapshot> snapshot_of(ProxyId proxy) const {
    const auto at_or_after = std::lower_bound(proxy_snapshots.begin(), proxy_snapshots.end(), proxy,
                                              [](const auto& entry, ProxyId id) { return entry.first < id; });
    if (at_or_after == proxy_snapshots.end() || at_or_after->first != proxy) return nullptr;
    return at_or_after->second;
  }
};

}  // namespace ospreypost::routing_state
