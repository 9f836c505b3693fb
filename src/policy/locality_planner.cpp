#include "policy/locality_planner.h"

#include <algorithm>

namespace ospreypost::policy {
namespace {

// A zone may run so far above the mean load before demand spills into others.
constexpr double kLocalSlack = 0.15;
/// Proxies that pick the less busy of two even out their own zone.
constexpr double kLocalSlackOfPickers = 0.6;
/// A zone's demand may be off by so much of its proxies' unevenness.
constexpr double kDemandErrorFactor = 1.6;
constexpr double kMinDemandError = 0.01;
/// A thinner flow into a zone costs connections for nothing; of the demand.
constexpr double kMinSpill = 0.03;
/// Of a zone's usable weight, that counts as spare when there is none.
constexpr double kMinSpareFraction = 0.05;
/// Below this share of all proxies, what the others bring is no longer extrapolated from.
constexpr double kMinOwnShare = 0.1;
constexpr double kMinFlow = 1e-12;

/// The weights that a group may use, by zone and block.
using UsableWeights = std::vector<Values>;

class Plan {
 public:
  Plan(const PlanningView& view, bool by_zone, bool avoid_the_busy)
      : view_(view),
        avoid_the_busy_(avoid_the_busy),
        zones_(view.subsets.layout().zones()),
        weight_(zones_),
        used_(zones_),
        tables_(view.subsets.subsets().size(), view.groups.size()) {
    for (const auto& [id, replica] : view_.replicas) {
      if (may_serve(replica)) weight_[replica.endpoint.zone] += weight_of(replica);
    }
    const double own_demand = sum_of(view_.demand.by_zone);
    demand_ = by_zone ? own_demand / std::max(kMinOwnShare, view_.subsets.own_share()) : own_demand;
    mean_load_ = demand_ / std::max(kTiny, sum_of(weight_));
    reserve_for_others(own_demand);
    home_fraction_ = home_fraction();
  }

  void add_group(std::size_t group) {
    const auto usable = usable_by(view_.groups[group]);
    const Values kept = keep_in_zone(group, usable);
    const Values spare = spare_weights(usable);
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      const Values flows = flows_from(zone, group, usable, kept[zone], spare);
      fill_tables(zone, group, usable, flows);
    }
  }

  TableSet take_tables() { return std::move(tables_); }

 private:
  bool may_serve(const Replica& replica) const { return view_.slow_start.may_serve(replica, view_.now); }
  double weight_of(const Replica& replica) const {
    return view_.slow_start.weight_of(replica, view_.now, view_.fleet.pressure);
  }

  /// Proxies dealt by chance bring each instance a like part; where they join by zone, those of the others
  /// are taken to fill the zones evenly.
  void reserve_for_others(double own_demand) {
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      used_[zone] = std::max(kTiny, weight_[zone] * mean_load_ - view_.demand.by_zone[zone]);
    }
    const double unseen = (demand_ - own_demand) / sum_of(used_);
    for (auto& used : used_) used *= unseen;
  }

  /// The part of its demand that a zone keeps if it has the capacity.
  double home_fraction() const {
    const double error = std::clamp(kDemandErrorFactor * view_.demand.unevenness, kMinDemandError, 1.0);
    if (view_.fleet.utilization <= 0) return 1;
    return std::clamp((kTargetUtilization / view_.fleet.utilization - 1) / error, 1 - error, 1.0);
  }

  UsableWeights usable_by(const RoutingGroup& group) const {
    UsableWeights usable;
    for (const auto blocks : view_.subsets.layout().blocks) usable.emplace_back(blocks);
    for (const auto& [id, replica] : view_.replicas) {
      const std::size_t zone = replica.endpoint.zone;
      if (!may_serve(replica) || !group.may_use(zone, replica)) continue;
      usable[zone][replica.block] += weight_of(replica);
    }
    return usable;
  }

  Values keep_in_zone(std::size_t group, const UsableWeights& usable) {
    const double local_slack = avoid_the_busy_ ? kLocalSlackOfPickers : kLocalSlack;
    Values kept(zones_);
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      const double capacity = weight_[zone] * (1 + local_slack) * mean_load_ - used_[zone];
      if (sum_of(usable[zone]) > 0) {
        const double home_demand = home_fraction_ * view_.demand.by_group[group][zone];
        // Before anything is known of the demand, all keep to their own zone.
        kept[zone] = demand_ > 0 ? std::min(home_demand, std::max(0.0, capacity)) : kTiny;
      }
      used_[zone] += kept[zone];
    }
    return kept;
  }

  Values spare_weights(const UsableWeights& usable) const {
    Values spare(zones_);
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      // Proxies that avoid the busy even out their own zone; spilling only carries their congestion into
      // another's.
      const double failure_ratio = 1 - 1 / view_.fleet.attempts_per_success[zone];
      const bool is_closed = avoid_the_busy_ && failure_ratio > kOverloadFailureRatio;
      const double usable_weight = sum_of(usable[zone]);
      const double free = is_closed ? 0 : usable_weight * mean_load_ - used_[zone];
      spare[zone] = std::max(kMinSpareFraction * usable_weight, free);
    }
    return spare;
  }

  /// How much of a zone's demand goes to each zone.
  Values flows_from(std::size_t source, std::size_t group, const UsableWeights& usable, double kept,
                    const Values& spare) {
    Values flows = spare;
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      if (view_.groups[group].same_zone_only && zone != source) flows[zone] = 0;
    }
    const double demand = std::max(kTiny, view_.demand.by_group[group][source]);
    const double surplus = demand - kept;
    const double total_spare = sum_of(flows);
    const bool keeps_to_spare = avoid_the_busy_ && sum_of(usable[source]) > 0;
    const double moved = keeps_to_spare ? std::min(surplus, total_spare) : surplus;
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      flows[zone] *= moved / std::max(kMinFlow, total_spare);
      used_[zone] += flows[zone];
      if (zone == source) flows[zone] += demand - moved;
      if (flows[zone] < kMinSpill * demand) flows[zone] = 0;
    }
    return flows;
  }

  void fill_tables(std::size_t source, std::size_t group, const UsableWeights& usable, const Values& flows) {
    const auto& layout = view_.subsets.layout();
    const double all_flows = sum_of(flows);
    const double all_weight = sum_of(weight_);
    for (std::size_t block = 0; block < layout.blocks[source]; ++block) {
      auto& table = tables_.at(layout.first_subset[source] + block, group);
      for (std::size_t zone = 0; zone < zones_; ++zone) {
        if (flows[zone] > 0) {
          const double table_weight = flows[zone] / all_flows * all_weight;
          fill(view_.groups[group], zone, block, table_weight, usable[zone], table);
        }
      }
    }
  }

  /// A subset's entries in one zone: its block there. When most of a block is ejected or draining, the next
  /// ones join it until half of a usual one can serve.
  void fill(const RoutingGroup& group, std::size_t zone, std::size_t first_block, double table_weight,
            const Values& usable, TableEntries& table) const {
    const std::size_t blocks = usable.size();
    const double enough = sum_of(usable) / static_cast<double>(blocks) / 2;
    std::vector<bool> joined(blocks);
    double joined_weight = 0;
    for (std::size_t block = first_block; joined_weight < enough; ++block) {
      joined[block % blocks] = true;
      joined_weight += usable[block % blocks];
    }
    for (const auto& [id, replica] : view_.replicas) {
      if (replica.endpoint.zone != zone || !joined[replica.block] || !may_serve(replica)) continue;
      if (group.may_use(zone, replica)) table[id] = weight_of(replica) * table_weight / joined_weight;
    }
  }

  const PlanningView& view_;
  const bool avoid_the_busy_;
  const std::size_t zones_;
  Values weight_;         // of the replicas that serve, by zone
  Values used_;           // of that, in units of demand, by zone
  double demand_ = 0;     // of all instances where proxies join by zone, else our own
  double mean_load_ = 0;  // demand by weight
  double home_fraction_ = 1;
  TableSet tables_;
};

}  // namespace

LocalityPlanner::LocalityPlanner(const Settings& settings)
    : proxies_join_by_zone_(settings.proxies_by_zone && settings.governors > 1),
      proxies_avoid_the_busy_(settings.picking == PickingPolicy::two) {}

TableSet LocalityPlanner::plan(const PlanningView& view) const {
  Plan plan(view, proxies_join_by_zone_, proxies_avoid_the_busy_);
  const std::size_t zones = view.subsets.layout().zones();
  for (std::size_t choices = 1; choices <= zones; ++choices) {
    for (std::size_t group = 0; group < view.groups.size(); ++group) {
      if (view.groups[group].zone_choices(zones) == choices) plan.add_group(group);
    }
  }
  return plan.take_tables();
}

}  // namespace ospreypost::policy
