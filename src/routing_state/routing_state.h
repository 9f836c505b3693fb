/// The controller's actions as they stand: tables, bindings, ejections, admitted fractions, retry modes. What
/// changed since the last publication becomes one snapshot, in which only the parts that differ are made
/// anew. Free of I/O.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

/// Not synchronised: called under the lock that serialises the controller's events.
class RoutingState {
 public:
  /// `class_count`: the number of request classes.
  explicit RoutingState(std::size_t class_count);

  /// A weight of 0 removes the entry.
  void set_table_entry(TableId id, ReplicaId replica, double weight);
  /// Removes the table's entries and the traffic policies of its own; bindings to it remain.
  void clear_table(TableId id);
  /// From now on the proxy uses that table for these classes. Does nothing for a proxy that has left.
  void bind(ProxyId id, TableId table, ClassMask classes);
  /// An ejected replica keeps its entries, but no snapshot shows them.
  void set_ejected(ReplicaId replica, bool ejected);
  /// For one table, or for all with `kAllTables`. `fraction` is limited to 0 to 1.
  void set_admitted_fraction(TableId id, ClassMask classes, double fraction, RetryMode retry);
  /// The proxy is bound to no table until `bind` is called for it.
  void add_proxy(ProxyId id);
  void remove_proxy(ProxyId id);

  /// Whether an action was taken, or a proxy added or removed, since the last publication.
  bool has_changes() const {
    return !changed_tables_.empty() || !rebound_proxies_.empty() || proxies_changed_;
  }

  /// What a publication changes for one proxy.
  struct ProxyChange {
    ProxyId proxy{};
    std::size_t entries = 0;  ///< that a message with the change carries, at least 1
  };
  /// A new snapshot, with what it changes.
  struct Publication {
    std::shared_ptr<const RoutingSnapshot> snapshot;
    std::vector<ProxyChange> changes;  ///< by ascending proxy
  };
  /// Makes one snapshot of all changes since the last call; empty if they have no effect on any proxy.
  std::optional<Publication> publish(Nanos now);

 private:
  struct Table {
    std::map<ReplicaId, double> weights;                    // of ejected replicas too
    std::map<std::size_t, TrafficPolicy> traffic_policies;  // its own, by class
    std::shared_ptr<const RoutingTable> published = std::make_shared<const RoutingTable>();
    std::size_t changed_entries = 0;  // since the last publication
  };
  struct Proxy {
    std::vector<std::optional<TableId>> tables;  // by class
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
  void forget_changes();

  const std::size_t class_count_;
  std::map<TableId, Table> tables_;
  std::map<ProxyId, Proxy> proxies_;
  std::set<ReplicaId> ejected_;
  std::vector<TrafficPolicy> default_traffic_policies_;  // of every table, by class
  std::set<TableId> changed_tables_;
  std::set<ProxyId> rebound_proxies_;
  bool proxies_changed_ = false;
  SnapshotVersion last_version_{};
};

}  // namespace ospreypost::routing_state
