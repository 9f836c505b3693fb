/// A routing snapshot is the routing configuration of all proxies at one time. Published snapshots are
/// immutable, so threads share them without a lock.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "policy/types.h"

namespace ospreypost::routing_state {

/// Version of a published snapshot, counted up from 1; 0 means no snapshot.
enum class SnapshotVersion : std::uint64_t {};

/// One replica of a routing table.
struct TableEntry {
  ReplicaId replica{};
  double weight = 0;  ///< above 0; relative to the weights of the table's other entries
  bool operator==(const TableEntry&) const = default;
};

/// How a proxy handles the requests of one request class.
struct TrafficPolicy {
  double admitted_fraction = 1;  ///< fraction of the requests that the proxy admits, 0 to 1
  RetryMode retry = RetryMode::after_rejection_proof;
  bool operator==(const TrafficPolicy&) const = default;
};

/// Returns the name of a retry mode as written for proxies, in DNS records and in table files.
const char* name_of(RetryMode retry);

/// A routing table as proxies receive it, without entries for ejected replicas.
struct RoutingTable {
  std::vector<TableEntry> entries;              ///< sorted by ascending replica id
  std::vector<TrafficPolicy> traffic_policies;  ///< indexed by request class
  bool operator==(const RoutingTable&) const = default;
};

/// Routing configuration of one proxy.
struct ProxySnapshot {
  SnapshotVersion changed_in{};  ///< snapshot version that last changed this configuration
  /// Routing tables, indexed by request class; null for a class for which the proxy is bound to no table.
  std::vector<std::shared_ptr<const RoutingTable>> routing_tables;
};

/// Returns the number of entries in a message with the complete configuration of a proxy. Traffic policies
/// and bindings count as entries.
std::size_t entry_count(const ProxySnapshot& proxy_snapshot);

/// Whether a proxy that still uses `sent` could send requests that `latest` does not allow: to a replica that
/// `latest` does not contain, or that has less than half of its weight in `sent`.
bool requires_urgent_update(const ProxySnapshot& sent, const ProxySnapshot& latest);

/// A proxy and its configuration in a routing snapshot.
struct ProxySnapshotEntry {
  ProxyId proxy{};
  std::shared_ptr<const ProxySnapshot> snapshot;  ///< configuration of the proxy; never null
};

/// Routing configuration of all proxies.
struct RoutingSnapshot {
  SnapshotVersion version{};
  Nanos created{};
  /// Configurations sorted by ascending proxy id, without the proxies that are bound to no table yet.
  std::vector<ProxySnapshotEntry> proxy_snapshots;

  /// Returns the proxies that receive an acknowledgement request for this version, by ascending id: all
  /// proxies if `all_proxies`, otherwise the proxies whose configuration this version changed.
  std::vector<ProxyId> acknowledgement_recipients(bool all_proxies) const;

  /// Returns the configuration of a proxy; null if the proxy has not joined or is bound to no table yet.
  std::shared_ptr<const ProxySnapshot> snapshot_of(ProxyId proxy) const;
};

}  // namespace ospreypost::routing_state
