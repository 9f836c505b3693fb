/// Blocks of replicas, the subsets of proxies that use them, and which proxy belongs to which subset.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "policy/evidence.h"
#include "policy/numeric.h"
#include "policy/replica.h"
#include "policy/request_classes.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace ospreypost::policy {

struct Proxy {
  std::size_t zone = 0;
  std::optional<std::size_t> subset;  ///< that it is bound to
  std::vector<DecayingSum> demand;    ///< by routing group, in work
  double work = 0;                    ///< of all groups, as of the last iteration
};

using ProxyMap = std::map<ProxyId, Proxy>;

/// How each zone's replicas are divided into blocks. Each block has one subset of the zone's proxies, and a
/// zone's subsets are numbered together, in the order of its blocks.
struct SubsetLayout {
  explicit SubsetLayout(std::size_t zones) : blocks(zones, 1), first_subset(zones) {}
  std::vector<std::size_t> blocks;        ///< by zone
  std::vector<std::size_t> first_subset;  ///< by zone
  std::size_t zones() const { return blocks.size(); }
};

/// The proxies that share one table for each routing group, and its messages.
struct Subset {
  Values demand;        ///< by routing group
  double capacity = 0;  ///< weight of the block's replicas
  double proxies = 0;
  double load() const;
};

/// The demand of all proxies, by where it comes from.
struct ProxyDemand {
  ProxyDemand(std::size_t groups, std::size_t zones) : by_group(groups, Values(zones)), by_zone(zones) {}
  std::vector<Values> by_group;  ///< by routing group and zone
  Values by_zone;                ///< of all groups
  double unevenness = 0;         ///< how much the proxies of a zone differ
};

class SubsetAssignment {
 public:
  SubsetAssignment(const Settings& settings, const RequestClasses& classes);

  const ProxyMap& proxies() const { return proxies_; }
  const SubsetLayout& layout() const { return layout_; }
  const std::vector<Subset>& subsets() const { return subsets_; }
  /// The part of all instances' proxies that this one has.
  double own_share() const;
  /// Proxies that are bound to no subset.
  double unassigned_proxies() const;

  /// What limits the size of a table.
  struct TableLimits {
    double entries_per_second = 0;  ///< of the channel
    double message_overhead = 0;
  };
  /// Divides the replicas once there are any. Guards the channel and the connections against tables that grow
  /// with the fleet: each zone has as many blocks as keep its tables within what its proxies can be sent in
  /// time, and within the connections that its replicas accept. A small zone has one block.
  void lay_out(ReplicaMap& replicas, const TableLimits& limits);
  /// Puts a replica in one of its zone's blocks, evenly over blocks, cells and kinds: a fault of one cell
  /// must leave each table enough.
  void assign_block(Replica& replica, const ReplicaMap& replicas) const;

  void add_proxy(ProxyId id, std::size_t zone, double usual_requests_per_second, Nanos evidence_time);
  void remove_proxy(ProxyId id);
  void add_demand(ProxyId id, std::size_t cls, double requests, Nanos evidence_time);

  void update_capacities(const ReplicaMap& replicas, const SlowStart& slow_start, Nanos now, double pressure);
  ProxyDemand update_demand(Nanos evidence_time);

  /// The zone's subset with the least load for its capacity.
  std::size_t least_loaded(std::size_t zone) const { return extremes(zone).least_loaded; }
  struct Migration {
    ProxyId proxy{};
    std::size_t subset = 0;  ///< to which it moves
  };
  /// Proxies differ, their streams change and blocks lose replicas, so subsets drift apart. Proxies move one
  /// by one from the most loaded of a zone to the least loaded: that costs less than a change of every entry.
  std::optional<Migration> find_migration(std::size_t zone) const;
  /// Notes that the proxy belongs to the subset from now on.
  void assign(ProxyId id, std::size_t subset, Nanos evidence_time);

 private:
  struct Extremes {
    std::size_t least_loaded = 0;
    std::size_t most_loaded = 0;
  };
  Extremes extremes(std::size_t zone) const;
  double max_table_entries(double replicas, const TableLimits& limits) const;

  const RequestClasses& classes_;
  const bool tables_are_ours_;  // without slices
  const double all_proxies_;
  const double proxies_by_instance_;
  const double min_replica_connections_;
  SubsetLayout layout_;
  std::vector<Subset> subsets_;
  ProxyMap proxies_;
};

}  // namespace ospreypost::policy
