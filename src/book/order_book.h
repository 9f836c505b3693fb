// The governor's orders as they stand: tables, bindings, withdrawals, levels, retry modes. Pure: what one
// call on the governor ordered becomes one version, in which only what differs is made anew.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "book/version.h"

namespace ospreypost::book {

class OrderBook {
 public:
  explicit OrderBook(std::size_t classes);

  void set_line(TableId table, ReplicaId replica, double weight);  // weight 0 removes it
  void clear_table(TableId table);
  void bind(ProxyId proxy, TableId table, ClassMask classes);
  void withdraw(ReplicaId replica, bool out);
  void set_level(TableId table, ClassMask classes, double level, Retry retry);
  void joined(ProxyId proxy);  // bound to nothing until a binding comes
  void left(ProxyId proxy);

  // Whether anything was ordered, or anybody came or went, since the last version.
  bool changed() const { return !touched_.empty() || !rebound_.empty() || members_changed_; }

  // What changed for a proxy with a version, in lines as a message would carry them.
  struct Pending {
    ProxyId proxy{};
    std::size_t lines = 0;
  };
  struct Published {
    std::shared_ptr<const Version> version;
    std::vector<Pending> pending;  // by ascending proxy
  };
  // The orders since the last call as one version; empty if they changed nothing that anybody may use.
  std::optional<Published> publish(Nanos now);

 private:
  struct Table {
    std::map<ReplicaId, double> lines;
    std::map<std::size_t, Terms> terms;  // its own, by class
    std::shared_ptr<const View> view = std::make_shared<const View>();
    std::size_t ordered = 0;  // lines since the last version
  };
  struct Proxy {
    std::vector<std::optional<TableId>> tables;  // by class
    std::shared_ptr<const Holding> holding;
  };
  std::vector<std::size_t> named(ClassMask classes) const;
  View view_of(const Table& table) const;
  bool renew(Table& table) const;

  const std::size_t classes_;
  std::map<TableId, Table> tables_;
  std::map<ProxyId, Proxy> proxies_;
  std::set<ReplicaId> withdrawn_;
  std::vector<Terms> terms_;  // for every table
  std::set<TableId> touched_;
  std::set<ProxyId> rebound_;
  bool members_changed_ = false;
  VersionNumber last_{};
};

}  // namespace ospreypost::book
