// The governor's orders as they stand: tables, bindings, withdrawals, levels, retry modes. Pure: what one
// call on the governor ordered becomes one version, in which only what differs is made anew.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

class RoutingState {
 public:
  explicit RoutingState(std::size_t classes);

  void set_table_entry(TableId table, ReplicaId replica, double weight);  // weight 0 removes it
  void clear_table(TableId table);
  void bind(ProxyId proxy, TableId table, ClassMask classes);
  void set_ejected(ReplicaId replica, bool out);
  void set_admitted_fraction(TableId table, ClassMask classes, double level, RetryMode retry);
  void add_proxy(ProxyId proxy);  // bound to nothing until a binding comes
  void remove_proxy(ProxyId proxy);

  // Whether anything was ordered, or anybody came or went, since the last version.
  bool has_changes() const { return !touched_.empty() || !rebound_.empty() || members_changed_; }

  // What changed for a proxy with a version, in lines as a message would carry them.
  struct ProxyChange {
    ProxyId proxy{};
    std::size_t entries = 0;
  };
  struct Publication {
    std::shared_ptr<const RoutingSnapshot> snapshot;
    std::vector<ProxyChange> changes;  // by ascending proxy
  };
  // The orders since the last call as one version; empty if they changed nothing that anybody may use.
  std::optional<Publication> publish(Nanos now);

 private:
  struct Table {
    std::map<ReplicaId, double> lines;
    std::map<std::size_t, TrafficPolicy> terms;  // its own, by class
    std::shared_ptr<const RoutingTable> view = std::make_shared<const RoutingTable>();
    std::size_t ordered = 0;  // lines since the last version
  };
  struct Proxy {
    std::vector<std::optional<TableId>> tables;  // by class
    std::shared_ptr<const ProxySnapshot> proxy_snapshot;
  };
  std::vector<std::size_t> named(ClassMask classes) const;
  RoutingTable view_of(const Table& table) const;
  bool renew(Table& table) const;

  const std::size_t classes_;
  std::map<TableId, Table> tables_;
  std::map<ProxyId, Proxy> proxies_;
  std::set<ReplicaId> withdrawn_;
  std::vector<TrafficPolicy> terms_;  // for every table
  std::set<TableId> touched_;
  std::set<ProxyId> rebound_;
  bool members_changed_ = false;
  SnapshotVersion last_{};
};

}  // namespace ospreypost::routing_state
