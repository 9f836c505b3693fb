/// Divides replicas into blocks and proxies into subsets. The proxies of a subset use one block of replicas.
#pragma once

#include <cstddef>
#include <functional>
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

/// Minimum fraction of all proxies that is assumed to be joined to this instance when the demand of all
/// proxies is extrapolated from the demand of its own.
inline constexpr double kMinOwnShare = 0.1;

struct Proxy {
  std::size_t zone = 0;
  std::optional<std::size_t> subset;  ///< subset that the proxy is bound to; empty before the first binding
  std::vector<DecayingSum> demand;    ///< recent demand by routing group, in seconds of work
  std::vector<DecayingSum> usual;     ///< demand over a longer time, by routing group; see usual_demand()
  double work = 0;                    ///< demand of all groups, as of the last update_demand()

  /// Returns the demand of a group over a longer time, in the unit of `demand`.
  double usual_demand(std::size_t group, Nanos evidence_time) const;
};

using ProxyMap = std::map<ProxyId, Proxy>;

/// How each zone's replicas are divided into blocks. Each block is used by one subset of the zone's proxies.
/// The subsets of a zone have consecutive numbers, in the order of the zone's blocks.
struct SubsetLayout {
  explicit SubsetLayout(std::size_t zones) : blocks(zones, 1), first_subset(zones) {}
  std::vector<std::size_t> blocks;        ///< number of blocks, by zone
  std::vector<std::size_t> first_subset;  ///< number of the first subset, by zone
  std::size_t zones() const { return blocks.size(); }
};

/// A group of proxies that share one table for each routing group and are sent the same messages.
struct Subset {
  Values demand;        ///< demand of the subset's proxies, by routing group
  Values usual_demand;  ///< demand of the subset's proxies over a longer time, by routing group
  double capacity = 0;  ///< weight of the serving replicas of the subset's block
  double proxies = 0;   ///< number of proxies
  double load() const;
};

/// The demand of all proxies of this instance, by the zone of the proxies.
struct ProxyDemand {
  ProxyDemand(std::size_t groups, std::size_t zones) : by_group(groups, Values(zones)), by_zone(zones) {}
  std::vector<Values> by_group;  ///< demand by routing group and zone
  Values by_zone;                ///< demand of all routing groups, by zone
  double usual = 0;              ///< demand of all routing groups and zones over a longer time
  double unevenness = 0;         ///< is larger the fewer and the more different the proxies of a zone are
};

class SubsetAssignment {
 public:
  SubsetAssignment(const Settings& settings, const RequestClasses& classes);

  const ProxyMap& proxies() const { return proxies_; }
  const SubsetLayout& layout() const { return layout_; }
  const std::vector<Subset>& subsets() const { return subsets_; }
  /// Returns the fraction of all instances' proxies that are joined to this instance.
  double own_share() const;
  /// Returns the number of proxies that are bound to no subset.
  double unassigned_proxies() const;

  /// The properties of the channel that limit the size of a table.
  struct TableLimits {
    double entries_per_second = 0;  ///< rate of the channel
    double message_overhead = 0;    ///< fixed cost of a message, in entries
  };
  /// Divides the replicas into blocks. Only the first call with any replicas has an effect.
  /// Tables must not grow with the fleet, so a large zone gets several blocks. Tables must be small enough to
  /// be sent to all proxies in time, and small enough that no replica gets more connections than it accepts.
  void lay_out(ReplicaMap& replicas, const TableLimits& limits);
  /// Puts a replica into a block of its zone. Keeps the blocks equal in size, and spreads cells and hardware
  /// kinds over them, so that a fault of one cell leaves enough replicas in each table.
  void assign_block(Replica& replica, const ReplicaMap& replicas) const;

  void add_proxy(ProxyId id, std::size_t zone, double usual_requests_per_second, Nanos evidence_time);
  void remove_proxy(ProxyId id);
  void add_demand(ProxyId id, std::size_t cls, double requests, Nanos evidence_time);

  void update_capacities(const ReplicaMap& replicas, const SlowStart& slow_start, Nanos now, double pressure);
  ProxyDemand update_demand(Nanos evidence_time);

  /// Returns the zone's subset with the lowest demand relative to its capacity.
  std::size_t least_loaded(std::size_t zone) const { return extremes(zone).least_loaded; }
  struct Migration {
    ProxyId proxy{};
    std::size_t subset = 0;  ///< subset to which the proxy moves
  };
  /// Returns the proxy to move from the most loaded to the least loaded subset of a zone, among those for
  /// which `may_migrate` returns true. Empty if the loads of the subsets are close.
  /// Loads of subsets drift apart because proxies differ, their demand changes and blocks lose replicas.
  /// Moving single proxies costs fewer entries than changing every entry of the tables.
  std::optional<Migration> find_migration(std::size_t zone,
                                          const std::function<bool(ProxyId)>& may_migrate) const;
  /// Records that the proxy belongs to the subset from now on.
  void assign(ProxyId id, std::size_t subset, Nanos evidence_time);

 private:
  struct Extremes {
    std::size_t least_loaded = 0;
    std::size_t most_loaded = 0;
  };
  Extremes extremes(std::size_t zone) const;
  double max_table_entries(double replicas, const TableLimits& limits) const;

  const RequestClasses& classes_;
  const bool manages_tables_;  // true without slices; with slices the controller publishes no tables
  const double all_proxies_;
  const double proxies_by_instance_;
  const double min_replica_connections_;
  SubsetLayout layout_;
  std::vector<Subset> subsets_;
  ProxyMap proxies_;
};

}  // namespace ospreypost::policy
