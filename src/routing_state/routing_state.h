/// The routing state holds the combined effect of the controller's actions: tables, bindings, ejections,
/// admitted fractions, retry modes. Publishing merges all changes since the last publication into one
/// snapshot, which shares the unchanged parts with the previous snapshot. Free of I/O.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

/// This class is not thread-safe: its callers must hold the lock that serialises the controller's events.
class RoutingState {
 public:
  /// `class_count`: number of request classes.
  explicit RoutingState(std::size_t class_count);

  /// Sets the weight of a replica in a table; a weight of 0 removes the entry.
  void set_table_entry(TableId id, ReplicaId replica, double weight);
  /// Removes the table's entries and its own traffic policies. Bindings to the table remain.
  void clear_table(TableId id);
  /// Makes the proxy use `table` for `classes` from now on. Does nothing for a proxy that has left.
  void bind(ProxyId id, TableId table, ClassMask classes);
  /// Sets whether a replica is ejected. An ejected replica keeps its table entries, but snapshots leave them
  /// out.
  void set_ejected(ReplicaId replica, bool ejected);
  /// Sets the traffic policy of one table, or of all tables with `kAllTables`, for `classes`. `fraction` is
  /// clamped to the range from 0 to 1.
  void set_admitted_fraction(TableId id, ClassMask classes, double fraction, RetryMode retry);
  /// Adds a proxy, which is bound to no table until `bind` is called for the proxy.
  void add_proxy(ProxyId id);
  void remove_proxy(ProxyId id);

  /// Whether any action was applied, or any proxy added or removed, since the last publication.
  bool has_changes() const {
    return !changed_tables_.empty() || !rebound_proxies_.empty() || proxies_changed_;
  }

  /// Change of one proxy's configuration by a publication.
  struct ProxyChange {
    ProxyId proxy{};
    std::size_t entries = 0;  ///< number of entries in a message with the change, at least 1
  };
  /// A new snapshot, and the proxies whose configuration the snapshot changes.
  struct Publication {
    std::shared_ptr<const RoutingSnapshot> snapshot;
    std::vector<ProxyChange> changes;  ///< sorted by ascending proxy id
  };
  /// Merges all changes since the last call into one snapshot; empty if the changes affect no proxy.
  std::optional<Publication> publish(Nanos now);

 private:
  struct Table {
    std::map<ReplicaId, double> weights;  // weight by replica, including ejected replicas
    // Policies that are set for this table alone, by request class.
    std::map<std::size_t, TrafficPolicy> traffic_policies;
    std::shared_ptr<const RoutingTable> published = std::make_shared<const RoutingTable>();
    std::size_t changed_entries = 0;  // number of changed entries since the last publication
  };
  struct Proxy {
    std::vector<std::optional<TableId>> tables;  // bound table, indexed by request class
    std::shared_ptr<const ProxySnapshot> snapshot;
  };

  void mark_changed(TableId id, Table& table);
  std::vector<std::size_t> classes_in(ClassMask classes) const;
  RoutingTable usable_table(const Table& table) const;
  bool rebuild(Table& table) const;
  std::set<TableId> rebuild_changed_tables();
  Publication make_publication(Nanos now, const std::set<TableId>& rebuilt);
  std::size_t changed_entries_of(ProxyId id, const Proxy& proxy, const std::set<TableId>& rebuilt) const;
  std::shared_ptr<const ProxySnapshot> make_proxy_snapshot(const Proxy& proxy) const;
  void clear_changes();

  const std::size_t class_count_;
  std::map<TableId, Table> tables_;
  std::map<ProxyId, Proxy> proxies_;
  std::set<ReplicaId> ejected_;
  std::vector<TrafficPolicy> default_traffic_policies_;  // policies of all tables, indexed by request class
  std::set<TableId> changed_tables_;
  std::set<ProxyId> rebound_proxies_;
  bool proxies_changed_ = false;
  SnapshotVersion last_version_{};
};

}  // namespace ospreypost::routing_state
