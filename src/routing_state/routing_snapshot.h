/// The routing configuration of all proxies at one moment. Snapshots are immutable once published, and shared
/// between threads without a lock.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "policy/types.h"

namespace ospreypost::routing_state {

/// Counts the published snapshots, from 1; 0 stands for none.
enum class SnapshotVersion : std::uint64_t {};

/// One replica of a routing table.
struct TableEntry {
  ReplicaId replica{};
  double weight = 0;  ///< above 0, relative to the other entries
  bool operator==(const TableEntry&) const = default;
};

/// How a proxy treats the requests of one class.
struct TrafficPolicy {
  double admitted_fraction = 1;  ///< of the requests, 0 to 1
  RetryMode retry = RetryMode::after_rejection_proof;
  bool operator==(const TrafficPolicy&) const = default;
};

/// How a retry mode is written for proxies: in DNS records and in table files.
const char* name_of(RetryMode retry);

/// One table as it may be used: without ejected replicas.
struct RoutingTable {
  std::vector<TableEntry> entries;              ///< by ascending replica
  std::vector<TrafficPolicy> traffic_policies;  ///< by class
  bool operator==(const RoutingTable&) const = default;
};

/// The configuration of one proxy.
struct ProxySnapshot {
  SnapshotVersion changed_in{};  ///< the version that last changed it
  /// By class; null where the proxy is bound to no table for that class.
  std::vector<std::shared_ptr<const RoutingTable>> routing_tables;
};

/// The entries that a message with the complete configuration of a proxy carries, traffic policies included.
std::size_t entry_count(const ProxySnapshot& proxy_snapshot);

/// Whether a proxy that still uses `sent` could send requests where `latest` would not let it: to a replica
/// that is no longer there, or that has less than half of its former weight.
bool requires_urgent_update(const ProxySnapshot& sent, const ProxySnapshot& latest);

/// One proxy of a snapshot, with its configuration.
struct ProxySnapshotEntry {
  ProxyId proxy{};
  std::shared_ptr<const ProxySnapshot> snapshot;  ///< never null
};

/// The configuration of all proxies.
struct RoutingSnapshot {
  SnapshotVersion version{};
  Nanos created{};
  /// By ascending proxy. Proxies that are bound to no table yet are left out.
  std::vector<ProxySnapshotEntry> proxy_snapshots;

  /// Whom an acknowledgement request made with this version goes to: all proxies if `all_proxies`, else those
  /// that this version changed. By ascending proxy.
  std::vector<ProxyId> acknowledgement_recipients(bool all_proxies) const;

  /// Null for a proxy that has not joined or is bound to no table yet.
  std::shared_ptr<const ProxySnapshot> snapshot_of(ProxyId proxy) const;
};

}  // namespace ospreypost::routing_state
