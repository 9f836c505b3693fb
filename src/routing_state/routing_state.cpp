#include "routing_state/routing_state.h"

#include <algorithm>

namespace ospreypost::routing_state {

RoutingState::RoutingState(std::size_t class_count)
    : class_count_(class_count), default_traffic_policies_(class_count) {}

void RoutingState::set_table_entry(TableId id, ReplicaId replica, double weight) {
  Table& table = tables_[id];
  if (weight > 0) {
    table.weights[replica] = weight;
  } else {
    table.weights.erase(replica);
  }
  mark_changed(id, table);
}

void RoutingState::clear_table(TableId id) {
  Table& table = tables_[id];
  table.weights.clear();
  table.traffic_policies.clear();
  mark_changed(id, table);
}

void RoutingState::mark_changed(TableId id, Table& table) {
  ++table.changed_entries;
  changed_tables_.insert(id);
}

void RoutingState::bind(ProxyId id, TableId table, ClassMask classes) {
  const auto proxy = proxies_.find(id);
  if (proxy == proxies_.end()) return;
  // The default traffic policies apply even to a table without entries, so a new table is published.
  const bool is_new = tables_.try_emplace(table).second;
  if (is_new) changed_tables_.insert(table);
  for (const std::size_t cls : classes_in(classes)) proxy->second.tables[cls] = table;
  rebound_proxies_.insert(id);
}

void RoutingState::set_ejected(ReplicaId replica, bool ejected) {
  const bool changes = ejected ? ejected_.insert(replica).second : ejected_.erase(replica) > 0;
  if (!changes) return;
  for (auto& [id, table] : tables_) {
    if (table.weights.contains(replica)) mark_changed(id, table);
  }
}

void RoutingState::set_admitted_fraction(TableId id, ClassMask classes, double fraction, RetryMode retry) {
  const TrafficPolicy policy{std::clamp(fraction, 0.0, 1.0), retry};
  for (const std::size_t cls : classes_in(classes)) {
    if (id == kAllTables) {
      default_traffic_policies_[cls] = policy;
      for (auto& [each, table] : tables_) mark_changed(each, table);
    } else {
      Table& table = tables_[id];
      table.traffic_policies[cls] = policy;
      mark_changed(id, table);
    }
  }
}

void RoutingState::add_proxy(ProxyId id) {
  proxies_[id] = Proxy{std::vector<std::optional<TableId>>(class_count_), nullptr};
  proxies_changed_ = true;
}

void RoutingState::remove_proxy(ProxyId id) {
  const bool was_there = proxies_.erase(id) > 0;
  proxies_changed_ = proxies_changed_ || was_there;
  rebound_proxies_.erase(id);
}

std::vector<std::size_t> RoutingState::classes_in(ClassMask classes) const {
  std::vector<std::size_t> found;
  for (std::size_t cls = 0; cls < class_count_; ++cls) {
    const bool is_named = (classes >> cls & 1U) != 0;
    if (classes == 0 || is_named) found.push_back(cls);
  }
  return found;
}

RoutingTable RoutingState::usable_table(const Table& table) const {
  RoutingTable usable;
  usable.traffic_policies = default_traffic_policies_;
  usable.entries.reserve(table.weights.size());
  for (const auto& [replica, weight] : table.weights) {
    if (!ejected_.contains(replica)) usable.entries.push_back({replica, weight});
  }
  // If a class has both a default policy and one set for the table, the lower admitted fraction and the
  // table's retry mode apply.
  for (const auto& [cls, own] : table.traffic_policies) {
    TrafficPolicy& policy = usable.traffic_policies[cls];
    policy = {std::min(own.admitted_fraction, policy.admitted_fraction), own.retry};
  }
  return usable;
}

// Rebuilds the published table. Returns true if the table without ejected replicas differs from the one that
// was published before.
bool RoutingState::rebuild(Table& table) const {
  RoutingTable usable = usable_table(table);
  if (usable == *table.published) return false;
  table.published = std::make_shared<const RoutingTable>(std::move(usable));
  return true;
}

std::set<TableId> RoutingState::rebuild_changed_tables() {
  std::set<TableId> rebuilt;
  for (const TableId id : changed_tables_) {
    if (rebuild(tables_.at(id))) rebuilt.insert(id);
  }
  return rebuilt;
}

std::optional<RoutingState::Publication> RoutingState::publish(Nanos now) {
  const std::set<TableId> rebuilt = rebuild_changed_tables();
  std::optional<Publication> publication;
  if (!rebuilt.empty() || !rebound_proxies_.empty() || proxies_changed_) {
    publication = make_publication(now, rebuilt);
  }
  clear_changes();
  return publication;
}

RoutingState::Publication RoutingState::make_publication(Nanos now, const std::set<TableId>& rebuilt) {
  last_version_ = SnapshotVersion{static_cast<std::uint64_t>(last_version_) + 1};
  const auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->version = last_version_;
  snapshot->created = now;
  snapshot->proxy_snapshots.reserve(proxies_.size());
  Publication publication;
  for (auto& [id, proxy] : proxies_) {
    const std::size_t entries = changed_entries_of(id, proxy, rebuilt);
    if (entries > 0) {
      proxy.snapshot = make_proxy_snapshot(proxy);
      publication.changes.push_back({id, entries});
    }
    if (proxy.snapshot) snapshot->proxy_snapshots.push_back({id, proxy.snapshot});
  }
  publication.snapshot = snapshot;
  return publication;
}

std::size_t RoutingState::changed_entries_of(ProxyId id, const Proxy& proxy,
                                             const std::set<TableId>& rebuilt) const {
  std::set<TableId> bound;
  for (const auto& table : proxy.tables) {
    if (table) bound.insert(*table);
  }
  const bool is_rebound = rebound_proxies_.contains(id);
  std::size_t entries = 0;
  for (const TableId table_id : bound) {
    const Table& table = tables_.at(table_id);
    // A proxy whose bindings changed is sent its complete tables; other proxies are sent only the changed
    // entries.
    if (is_rebound) {
      entries += 1 + table.weights.size();
    } else if (rebuilt.contains(table_id)) {
      entries += table.changed_entries;
    }
  }
  return entries;
}

std::shared_ptr<const ProxySnapshot> RoutingState::make_proxy_snapshot(const Proxy& proxy) const {
  auto snapshot = std::make_shared<ProxySnapshot>();
  snapshot->changed_in = last_version_;
  for (const auto& table : proxy.tables) {
    snapshot->routing_tables.push_back(table ? tables_.at(*table).published : nullptr);
  }
  return snapshot;
}

void RoutingState::clear_changes() {
  for (const TableId id : changed_tables_) tables_.at(id).changed_entries = 0;
  changed_tables_.clear();
  rebound_proxies_.clear();
  proxies_changed_ = false;
}

}  // namespace ospreypost::routing_state
