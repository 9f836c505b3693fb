#include "policy/subset_assignment.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace ospreypost::policy {
namespace {

/// Time in which the channel can send the first tables to all proxies of an instance.
constexpr Nanos kFirstTablesDuration = std::chrono::seconds(4);
/// Maximum fraction of the connections accepted by the smallest replica that proxies may open.
/// Each proxy is assumed to open one connection for each of its table entries.
constexpr double kMaxOpenConnections = 0.5;
constexpr double kMinTableEntries = 8;
/// Relative difference between the loads of two subsets of a zone up to which no proxy migrates.
constexpr double kMigrationBand = 0.15;

/// Half-life of the demand over a longer time. Requests that clients repeat while a group is not served
/// change this demand only slowly.
constexpr Nanos kUsualDemandHalfLife = std::chrono::seconds(20);

/// Extra cost of adding a replica to a block, for each replica of the same cell in the block.
constexpr double kSameCellCost = 1;
/// Extra cost of adding a replica to a block, for each replica of the same hardware kind in the block.
constexpr double kSameKindCost = 0.5;

}  // namespace

double Proxy::usual_demand(std::size_t group, Nanos evidence_time) const {
  return usual[group].read(evidence_time) * to_seconds(kDemandHalfLife) / to_seconds(kUsualDemandHalfLife);
}

double Subset::load() const { return sum_of(demand) / std::max(kTiny, capacity); }

SubsetAssignment::SubsetAssignment(const Settings& settings, const RequestClasses& classes)
    : classes_(classes),
      manages_tables_(settings.slices == 0),
      all_proxies_(std::max(1.0, static_cast<double>(settings.proxies))),
      proxies_by_instance_(all_proxies_ / std::max(1.0, static_cast<double>(settings.governors))),
      min_replica_connections_(settings.min_replica_connections),
      layout_(std::max<std::size_t>(settings.zones, 1)) {}

double SubsetAssignment::own_share() const {
  return std::min(1.0, static_cast<double>(proxies_.size()) / all_proxies_);
}

double SubsetAssignment::unassigned_proxies() const {
  auto count = static_cast<double>(proxies_.size());
  for (const auto& subset : subsets_) count -= subset.proxies;
  return count;
}

double SubsetAssignment::max_table_entries(double replicas, const TableLimits& limits) const {
  const auto groups = static_cast<double>(classes_.groups().size());
  const double sent_in_time =
      limits.entries_per_second * to_seconds(kFirstTablesDuration) / proxies_by_instance_;
  const double by_channel = (sent_in_time - limits.message_overhead) / groups;
  if (min_replica_connections_ <= 0) return std::max(kMinTableEntries, by_channel);
  const double by_connections = kMaxOpenConnections * min_replica_connections_ * replicas / all_proxies_;
  return std::max(kMinTableEntries, std::min(by_channel, by_connections));
}

void SubsetAssignment::lay_out(ReplicaMap& replicas, const TableLimits& limits) {
  if (!subsets_.empty() || replicas.empty() || !manages_tables_) return;
  Values replica_counts(layout_.zones());
  for (const auto& [id, replica] : replicas) {
    if (!replica.is_gone()) replica_counts[replica.endpoint.zone] += 1;
  }
  const double max_entries = max_table_entries(sum_of(replica_counts), limits);
  const Values no_demand(classes_.groups().size());
  const Subset empty_subset{no_demand, no_demand};
  for (std::size_t zone = 0; zone < layout_.zones(); ++zone) {
    layout_.blocks[zone] =
        static_cast<std::size_t>(std::max(1.0, std::round(replica_counts[zone] / max_entries)));
    layout_.first_subset[zone] = subsets_.size();
    subsets_.resize(subsets_.size() + layout_.blocks[zone], empty_subset);
  }
  // A block number past the last block marks a replica that is not placed yet.
  for (auto& [id, replica] : replicas) replica.block = layout_.blocks[replica.endpoint.zone];
  for (auto& [id, replica] : replicas) assign_block(replica, replicas);
}

void SubsetAssignment::assign_block(Replica& replica, const ReplicaMap& replicas) const {
  const auto& endpoint = replica.endpoint;
  Values block_costs(layout_.blocks[endpoint.zone]);
  for (const auto& [id, other] : replicas) {
    if (&other == &replica || other.endpoint.zone != endpoint.zone || other.is_gone()) continue;
    if (other.block >= block_costs.size()) continue;
    const double same_cell = other.endpoint.cell == endpoint.cell ? kSameCellCost : 0;
    const double same_kind = other.endpoint.kind == endpoint.kind ? kSameKindCost : 0;
    block_costs[other.block] += 1 + same_cell + same_kind;
  }
  replica.block = static_cast<std::size_t>(std::min_element(block_costs.begin(), block_costs.end()) -
                                           block_costs.begin());
}

void SubsetAssignment::add_proxy(ProxyId id, std::size_t zone, double usual_requests_per_second,
                                 Nanos evidence_time) {
  auto& proxy = proxies_[id];
  proxy.zone = zone;
  proxy.demand.assign(classes_.groups().size(), DecayingSum{kDemandHalfLife});
  proxy.usual.assign(classes_.groups().size(), DecayingSum{kUsualDemandHalfLife});
  // The proxy's usual request rate stands in for its demand until its first reports arrive.
  const double usual_demand = usual_requests_per_second / std::numbers::ln2 * to_seconds(kDemandHalfLife);
  const double usual_sum = usual_requests_per_second / std::numbers::ln2 * to_seconds(kUsualDemandHalfLife);
  const auto classes = static_cast<double>(classes_.count());
  for (std::size_t cls = 0; cls < classes_.count(); ++cls) {
    const std::size_t group = classes_.group_of(cls);
    const double work = classes_.work_of(cls);
    proxy.demand[group].add(evidence_time, usual_demand * work / classes);
    proxy.usual[group].add(evidence_time, usual_sum * work * classes_.request_share(cls, evidence_time));
  }
}

void SubsetAssignment::remove_proxy(ProxyId id) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  if (known->second.subset) subsets_[*known->second.subset].proxies -= 1;
  proxies_.erase(known);
}

void SubsetAssignment::add_demand(ProxyId id, std::size_t cls, double requests, Nanos evidence_time) {
  auto& proxy = proxies_.at(id);
  const std::size_t group = classes_.group_of(cls);
  proxy.demand[group].add(evidence_time, requests * classes_.work_of(cls));
  proxy.usual[group].add(evidence_time, requests * classes_.work_of(cls));
}

void SubsetAssignment::update_capacities(const ReplicaMap& replicas, const SlowStart& slow_start, Nanos now,
                                         double pressure) {
  if (subsets_.empty()) return;
  for (auto& subset : subsets_) subset.capacity = 0;
  for (const auto& [id, replica] : replicas) {
    if (!slow_start.may_serve(replica, now)) continue;
    const std::size_t subset = layout_.first_subset[replica.endpoint.zone] + replica.block;
    subsets_[subset].capacity += slow_start.weight_of(replica, now, pressure);
  }
}

ProxyDemand SubsetAssignment::update_demand(Nanos evidence_time) {
  const std::size_t groups = classes_.groups().size();
  ProxyDemand demand(groups, layout_.zones());
  Values squares(layout_.zones());
  for (auto& subset : subsets_) {
    subset.demand.assign(groups, 0.0);
    subset.usual_demand.assign(groups, 0.0);
  }
  for (auto& [id, proxy] : proxies_) {
    proxy.work = 0;
    for (std::size_t group = 0; group < groups; ++group) {
      const double work = proxy.demand[group].read(evidence_time);
      proxy.work += work;
      const double usual_work = proxy.usual_demand(group, evidence_time);
      demand.by_group[group][proxy.zone] += work;
      demand.usual += usual_work;
      if (!proxy.subset) continue;
      subsets_[*proxy.subset].demand[group] += work;
      subsets_[*proxy.subset].usual_demand[group] += usual_work;
    }
    squares[proxy.zone] += proxy.work * proxy.work;
    demand.by_zone[proxy.zone] += proxy.work;
  }
  for (auto& square : squares) square = std::sqrt(square * own_share());
  demand.unevenness = sum_of(squares) / std::max(kTiny, sum_of(demand.by_zone));
  return demand;
}

SubsetAssignment::Extremes SubsetAssignment::extremes(std::size_t zone) const {
  const auto first = subsets_.begin() + static_cast<std::ptrdiff_t>(layout_.first_subset[zone]);
  const auto last = first + static_cast<std::ptrdiff_t>(layout_.blocks[zone]);
  const auto [least, most] = std::minmax_element(
      first, last, [](const Subset& left, const Subset& right) { return left.load() < right.load(); });
  return {static_cast<std::size_t>(least - subsets_.begin()),
          static_cast<std::size_t>(most - subsets_.begin())};
}

std::optional<SubsetAssignment::Migration> SubsetAssignment::find_migration(
    std::size_t zone, const std::function<bool(ProxyId)>& may_migrate) const {
  const auto [least_loaded, most_loaded] = extremes(zone);
  const auto& source = subsets_[most_loaded];
  const double load_gap = 1 - subsets_[least_loaded].load() / std::max(kTiny, source.load());
  if (load_gap <= kMigrationBand) return std::nullopt;
  const double max_work = sum_of(source.demand) * load_gap / 2;
  std::optional<Migration> migration;
  double moved_work = 0;
  for (const auto& [id, proxy] : proxies_) {
    if (proxy.subset != most_loaded || proxy.work > max_work) continue;
    if (migration && proxy.work <= moved_work) continue;
    if (!may_migrate(id)) continue;
    migration = Migration{id, least_loaded};
    moved_work = proxy.work;
  }
  return migration;
}

void SubsetAssignment::assign(ProxyId id, std::size_t subset, Nanos evidence_time) {
  auto& proxy = proxies_.at(id);
  for (std::size_t group = 0; group < proxy.demand.size(); ++group) {
    const double work = proxy.demand[group].read(evidence_time);
    const double usual_work = proxy.usual_demand(group, evidence_time);
    if (proxy.subset) subsets_[*proxy.subset].demand[group] -= work;
    if (proxy.subset) subsets_[*proxy.subset].usual_demand[group] -= usual_work;
    subsets_[subset].demand[group] += work;
    subsets_[subset].usual_demand[group] += usual_work;
  }
  if (proxy.subset) subsets_[*proxy.subset].proxies -= 1;
  subsets_[subset].proxies += 1;
  proxy.subset = subset;
}

}  // namespace ospreypost::policy
