#include "policy/locality_planner.h"

#include <algorithm>
#include <limits>

namespace ospreypost::policy {
namespace {

/// Fraction by which a zone's load may exceed the mean load before demand spills into other zones.
constexpr double kLocalSlack = 0.15;
/// Fraction by which a zone's load may exceed the mean load where proxies pick the less busy of two replicas.
/// The value is larger than kLocalSlack because such proxies balance the load within their zone themselves.
constexpr double kLocalSlackWithTwoChoices = 0.6;
/// Expected relative error of a zone's measured demand, as a multiple of its proxies' unevenness.
constexpr double kDemandErrorFactor = 1.6;
constexpr double kMinDemandError = 0.01;
/// Minimum fraction of a zone's demand that is routed to another zone.
/// A smaller flow would cost connections without relieving the zone.
constexpr double kMinSpill = 0.03;
/// Minimum fraction of a zone's usable weight that counts as spare, even if the zone has no spare capacity.
constexpr double kMinSpareFraction = 0.05;
constexpr double kMinFlow = 1e-12;
constexpr double kUnlimited = std::numeric_limits<double>::infinity();

/// The total weight of the replicas that a routing group may use, by zone and block.
using UsableWeights = std::vector<Values>;

class Plan {
 public:
  Plan(const PlanningView& view, bool proxies_join_by_zone, bool pick_less_busy)
      : view_(view),
        pick_less_busy_(pick_less_busy),
        zones_(view.subsets.layout().zones()),
        serving_weight_(zones_),
        used_capacity_(zones_),
        tables_(view.subsets.subsets().size(), view.groups.size()) {
    for (const auto& [id, replica] : view_.replicas) {
      if (may_serve(replica)) serving_weight_[replica.endpoint.zone] += weight_of(replica);
    }
    const double own_demand = sum_of(view_.demand.by_zone);
    total_demand_ =
        proxies_join_by_zone ? own_demand / std::max(kMinOwnShare, view_.subsets.own_share()) : own_demand;
    mean_load_ = total_demand_ / std::max(kTiny, sum_of(serving_weight_));
    reserve_for_other_instances(own_demand);
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

  /// Reserves capacity for the demand of other instances' proxies.
  /// If proxies join an instance of their own zone, the demand of other instances is estimated and spread
  /// over the zones so that all zones reach the same load. If proxies join instances at random, every
  /// instance sees a similar part of the demand of each zone, and nothing is reserved.
  void reserve_for_other_instances(double own_demand) {
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      used_capacity_[zone] = std::max(kTiny, serving_weight_[zone] * mean_load_ - view_.demand.by_zone[zone]);
    }
    const double unseen_demand_ratio = (total_demand_ - own_demand) / sum_of(used_capacity_);
    for (auto& used : used_capacity_) used *= unseen_demand_ratio;
  }

  /// Returns the fraction of its demand that a zone keeps if it has the capacity.
  /// The fraction is smaller the nearer the utilization is to its target and the larger the demand error is.
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

  /// Returns the maximum load of each zone's replicas that a routing group may use if all of them are warming
  /// up; infinity for zones with other replicas.
  Values max_warming_loads(const RoutingGroup& group) const {
    Values max_loads(zones_);
    for (const auto& [id, replica] : view_.replicas) {
      const std::size_t zone = replica.endpoint.zone;
      if (!may_serve(replica) || !group.may_use(zone, replica)) continue;
      if (view_.slow_start.is_warming_up(replica, view_.now)) {
        const double capacity =
            replica.corrected_weight() * view_.slow_start.capacity_fraction(replica, view_.now);
        max_loads[zone] += view_.max_warming_load * capacity;
      } else {
        max_loads[zone] = kUnlimited;
      }
    }
    return max_loads;
  }

  Values keep_in_zone(std::size_t group, const UsableWeights& usable) {
    const double local_slack = pick_less_busy_ ? kLocalSlackWithTwoChoices : kLocalSlack;
    const Values max_loads = max_warming_loads(view_.groups[group]);
    Values kept(zones_);
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      const double max_load =
          std::min(serving_weight_[zone] * (1 + local_slack) * mean_load_, max_loads[zone]);
      const double capacity = max_load - used_capacity_[zone];
      if (sum_of(usable[zone]) > 0) {
        const double home_demand = home_fraction_ * view_.demand.by_group[group][zone];
        // Before the first demand is known, all proxies use their own zone.
        kept[zone] = total_demand_ > 0 ? std::min(home_demand, std::max(0.0, capacity)) : kTiny;
      }
      used_capacity_[zone] += kept[zone];
    }
    return kept;
  }

  Values spare_weights(const UsableWeights& usable) const {
    Values spare(zones_);
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      // Where proxies pick the less busy of two replicas, each zone balances its load itself. Spilling into a
      // congested zone would then only add to its congestion.
      const double failure_ratio = 1 - 1 / view_.fleet.attempts_per_success[zone];
      const bool is_congested = pick_less_busy_ && failure_ratio > kOverloadFailureRatio;
      const double usable_weight = sum_of(usable[zone]);
      const double free_capacity = is_congested ? 0 : usable_weight * mean_load_ - used_capacity_[zone];
      spare[zone] = std::max(kMinSpareFraction * usable_weight, free_capacity);
    }
    return spare;
  }

  /// Returns how much of the source zone's demand is routed to each zone.
  Values flows_from(std::size_t source, std::size_t group, const UsableWeights& usable, double kept,
                    const Values& spare) {
    Values flows = spare;
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      if (view_.groups[group].same_zone_only && zone != source) flows[zone] = 0;
    }
    const double demand = std::max(kTiny, view_.demand.by_group[group][source]);
    const double surplus = demand - kept;
    const double total_spare = sum_of(flows);
    const bool spills_only_to_spare = pick_less_busy_ && sum_of(usable[source]) > 0;
    const double spilled = spills_only_to_spare ? std::min(surplus, total_spare) : surplus;
    for (std::size_t zone = 0; zone < zones_; ++zone) {
      flows[zone] *= spilled / std::max(kMinFlow, total_spare);
      used_capacity_[zone] += flows[zone];
      if (zone == source) flows[zone] += demand - spilled;
      if (flows[zone] < kMinSpill * demand) flows[zone] = 0;
    }
    return flows;
  }

  void fill_tables(std::size_t source, std::size_t group, const UsableWeights& usable, const Values& flows) {
    const auto& layout = view_.subsets.layout();
    const double total_flow = sum_of(flows);
    const double total_weight = sum_of(serving_weight_);
    for (std::size_t block = 0; block < layout.blocks[source]; ++block) {
      auto& table = tables_.at(layout.first_subset[source] + block, group);
      for (std::size_t zone = 0; zone < zones_; ++zone) {
        if (flows[zone] > 0) {
          const double table_weight = flows[zone] / total_flow * total_weight;
          fill(view_.groups[group], zone, block, table_weight, usable[zone], table);
        }
      }
    }
  }

  /// Adds the entries of a subset in one zone: the replicas of the zone's block `first_block`.
  /// If most of that block is ejected or draining, the zone's following blocks are added until replicas with
  /// half the weight of an average block can serve.
  void fill(const RoutingGroup& group, std::size_t zone, std::size_t first_block, double table_weight,
            const Values& usable, TableEntries& table) const {
    const std::size_t blocks = usable.size();
    const double min_weight = sum_of(usable) / static_cast<double>(blocks) / 2;
    std::vector<bool> joined(blocks);
    double joined_weight = 0;
    for (std::size_t block = first_block; joined_weight < min_weight; ++block) {
      joined[block % blocks] = true;
      joined_weight += usable[block % blocks];
    }
    for (const auto& [id, replica] : view_.replicas) {
      if (replica.endpoint.zone != zone || !joined[replica.block] || !may_serve(replica)) continue;
      if (group.may_use(zone, replica)) table[id] = weight_of(replica) * table_weight / joined_weight;
    }
  }

  const PlanningView& view_;
  const bool pick_less_busy_;
  const std::size_t zones_;
  Values serving_weight_;    // weight of the serving replicas, by zone
  Values used_capacity_;     // planned demand, including the demand reserved for other instances, by zone
  double total_demand_ = 0;  // estimate for all instances if proxies join by zone, else of this instance
  double mean_load_ = 0;     // total demand per serving weight
  double home_fraction_ = 1;
  TableSet tables_;
};

}  // namespace

LocalityPlanner::LocalityPlanner(const Settings& settings)
    : proxies_join_by_zone_(settings.proxies_by_zone && settings.governors > 1),
      proxies_pick_less_busy_(settings.picking == PickingPolicy::two) {}

TableSet LocalityPlanner::plan(const PlanningView& view) const {
  Plan plan(view, proxies_join_by_zone_, proxies_pick_less_busy_);
  const std::size_t zones = view.subsets.layout().zones();
  for (std::size_t choices = 1; choices <= zones; ++choices) {
    for (std::size_t group = 0; group < view.groups.size(); ++group) {
      if (view.groups[group].zone_choices(zones) == choices) plan.add_group(group);
    }
  }
  return plan.take_tables();
}

}  // namespace ospreypost::policy
