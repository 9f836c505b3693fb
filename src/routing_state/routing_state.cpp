#include "routing_state/routing_state.h"

#include <algorithm>

namespace ospreypost::routing_state {

RoutingState::RoutingState(std::size_t classes) : classes_(classes), terms_(classes) {}

void RoutingState::set_table_entry(TableId id, ReplicaId replica, double weight) {
  auto& table = tables_[id];
  weight > 0 ? void(table.lines[replica] = weight) : void(table.lines.erase(replica));
  ++table.ordered;
  touched_.insert(id);
}

void RoutingState::clear_table(TableId id) {
  auto& table = tables_[id];
  table.lines.clear();
  table.terms.clear();
  ++table.ordered;
  touched_.insert(id);
}

void RoutingState::bind(ProxyId id, TableId table, ClassMask classes) {
  const auto proxy = proxies_.find(id);
  if (proxy == proxies_.end()) return;  // it left in between
  // A table that nobody has written yet is empty, but under the levels that hold for all.
  if (tables_.try_emplace(table).second) touched_.insert(table);
  for (const auto k : named(classes)) proxy->second.tables[k] = table;
  rebound_.insert(id);
}

void RoutingState::set_ejected(ReplicaId replica, bool out) {
  const bool changes = out ? withdrawn_.insert(replica).second : withdrawn_.erase(replica) > 0;
  if (!changes) return;
  for (auto& [id, table] : tables_) {
    if (!table.lines.contains(replica)) continue;
    ++table.ordered;
    touched_.insert(id);
  }
}

void RoutingState::set_admitted_fraction(TableId id, ClassMask classes, double level, RetryMode retry) {
  const auto touch = [&](TableId of, Table& table) {
    ++table.ordered;
    touched_.insert(of);
  };
  const TrafficPolicy terms{std::clamp(level, 0.0, 1.0), retry};
  for (const auto k : named(classes)) {
    if (id != kAllTables) {
      tables_[id].terms[k] = terms;
      touch(id, tables_[id]);
      continue;
    }
    terms_[k] = terms;
    for (auto& [of, table] : tables_) touch(of, table);
  }
}

void RoutingState::add_proxy(ProxyId proxy) {
  proxies_[proxy] = Proxy{std::vector<std::optional<TableId>>(classes_), nullptr};
  members_changed_ = true;
}

void RoutingState::remove_proxy(ProxyId proxy) {
  members_changed_ = proxies_.erase(proxy) > 0 || members_changed_;
  rebound_.erase(proxy);
}

std::vector<std::size_t> RoutingState::named(ClassMask classes) const {
  std::vector<std::size_t> found;
  for (std::size_t k = 0; k < classes_; ++k) {
    if (classes == 0 || (classes >> k & 1u)) found.push_back(k);
  }
  return found;
}

RoutingTable RoutingState::view_of(const Table& table) const {
  RoutingTable view{{}, terms_};
  view.entries.reserve(table.lines.size());
  for (const auto& [replica, weight] : table.lines) {
    if (!withdrawn_.contains(replica)) view.entries.push_back({replica, weight});
  }
  // Where both are set the lower level holds, and the table's own way to try again.
  for (const auto& [k, own] : table.terms)
    view.traffic_policies[k] = {std::min(own.admitted_fraction, view.traffic_policies[k].admitted_fraction),
                                own.retry};
  return view;
}

bool RoutingState::renew(Table& table) const {
  auto view = view_of(table);
  if (view == *table.view) return false;
  table.view = std::make_shared<const RoutingTable>(std::move(view));
  return true;
}

std::optional<RoutingState::Publication> RoutingState::publish(Nanos now) {
  std::set<TableId> renewed;
  for (const auto id : touched_) {
    if (renew(tables_.at(id))) renewed.insert(id);
  }
  if (renewed.empty() && rebound_.empty() && !members_changed_) {
    for (const auto id : touched_) tables_.at(id).ordered = 0;
    touched_.clear();
    return std::nullopt;
  }

  last_ = SnapshotVersion{static_cast<std::uint64_t>(last_) + 1};
  auto version = std::make_shared<RoutingSnapshot>();
  version->version = last_;
  version->created = now;
  version->proxy_snapshots.reserve(proxies_.size());
  Publication published;
  for (auto& [id, proxy] : proxies_) {
    std::set<TableId> own;
    for (const auto& table : proxy.tables) {
      if (table) own.insert(*table);
    }
    const bool bound_anew = rebound_.contains(id);
    std::size_t lines = 0;
    for (const auto table : own) {
      // A binding brings the whole table, else only what was ordered travels.
      if (bound_anew) lines += 1 + tables_.at(table).lines.size();
      if (!bound_anew && renewed.contains(table)) lines += tables_.at(table).ordered;
    }
    if (lines > 0) {
      auto proxy_snapshot = std::make_shared<ProxySnapshot>();
      proxy_snapshot->changed_in = last_;
      for (const auto& table : proxy.tables) {
        proxy_snapshot->routing_tables.push_back(table ? tables_.at(*table).view : nullptr);
      }
      proxy.proxy_snapshot = std::move(proxy_snapshot);
      published.changes.push_back({id, lines});
    }
    if (proxy.proxy_snapshot) version->proxy_snapshots.emplace_back(id, proxy.proxy_snapshot);
  }
  for (const auto id : touched_) tables_.at(id).ordered = 0;
  touched_.clear();
  rebound_.clear();
  members_changed_ = false;
  published.snapshot = std::move(version);
  return published;
}

}  // namespace ospreypost::routing_state
