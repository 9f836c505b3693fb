#include "policy/warm_up_limiter.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace ospreypost::policy {
namespace {

/// Half-life of the weight of replicas that left the list.
constexpr Nanos kListedWeightHalfLife = std::chrono::seconds(60);
/// Maximum load of a replica that is warming up, as a fraction of the load at which it fails, if its usual
/// load were its full capacity.
constexpr double kMaxOverloadFraction = 0.8;
/// Load relative to the usual load that an admitted fraction lets through. More would only fill queues.
constexpr double kAdmittedRelativeLoad = 1.5;
/// Minimum fraction of a replica's capacity that is left for tables with other replicas.
constexpr double kMinRemainingFraction = 0.1;
/// Half-life of the outcomes from which the served fraction of the usual demand follows.
constexpr Nanos kOutcomeHalfLife = std::chrono::seconds(20);
/// Minimum served fraction. Attempts may also fail for other reasons than a lack of capacity.
constexpr double kMinServedFraction = 0.25;

/// A replica that is warming up, and the load that the tables bring it.
struct WarmingReplica {
  double max_load_of_limited = 0;  // maximum load by tables in which all replicas are warming up
  double max_load = 0;             // maximum load by all tables
  double load_of_limited = 0;      // load by tables in which all replicas are warming up
  double load_of_mixed = 0;        // load by tables with other replicas
};

/// One table with replicas that are warming up.
struct WarmingTable {
  std::size_t subset = 0;
  std::size_t group = 0;
  double demand = 0;
  double total_weight = 0;  // weight of the replicas that proxies can pick
  double warm_weight = 0;   // weight of those that are not warming up
};

/// The replicas that are warming up, and the tables that contain them.
class WarmingLoads {
 public:
  /// Loads and demands, in the unit of demands.
  struct Limits {
    double max_load_of_limited = 0;     // by tables in which all replicas are warming up, for a capacity of 1
    double max_load = 0;                // by all tables, for a capacity of 1
    double demand_of_unused_table = 0;  // assumed demand of a table without proxies
    bool returns_together = false;      // ejected replicas that are warming up return in one publication
  };

  WarmingLoads(TableSet& tables, const PlanningView& view, const Limits& limits)
      : tables_(tables),
        view_(view),
        demand_of_unused_table_(limits.demand_of_unused_table),
        returns_together_(limits.returns_together) {
    for (const auto& [id, replica] : view_.replicas) {
      if (!view_.slow_start.is_warming_up(replica, view_.now)) continue;
      const double capacity =
          replica.corrected_weight() * view_.slow_start.capacity_fraction(replica, view_.now);
      replicas_[id].max_load_of_limited = limits.max_load_of_limited * capacity;
      replicas_[id].max_load = limits.max_load * capacity;
    }
    if (replicas_.empty()) return;
    for (std::size_t subset = 0; subset < tables_.subsets(); ++subset) {
      for (std::size_t group = 0; group < tables_.groups(); ++group) add_table(subset, group);
    }
  }

  /// Limits the tables in which all replicas are warming up by an admitted fraction.
  void set_admitted_fractions() {
    for (const auto& table : limited_) {
      const double fraction = admissible_fraction(table);
      tables_.set_admitted_fraction(table.subset, table.group, fraction);
    }
    for (auto& [id, replica] : replicas_) replica.load_of_limited = 0;
    for (const auto& table : limited_) {
      add_load(table, &WarmingReplica::load_of_limited, tables_.admitted_fraction(table.subset, table.group));
    }
  }

  /// Returns the warming replicas of those tables in which all replicas are warming up and would be
  /// overloaded.
  std::vector<ReplicaId> overloaded() const {
    std::vector<ReplicaId> found;
    for (const auto& table : limited_) {
      if (admissible_fraction(table) >= 1) continue;
      for (const auto& [id, weight] : entries_of(table)) {
        if (replicas_.contains(id)) found.push_back(id);
      }
    }
    return found;
  }

  /// Reduces the weights of the replicas that are warming up in tables with other replicas.
  void reduce_weights() {
    for (const auto& table : mixed_) reduce_weights(table);
  }

 private:
  void reduce_weights(const WarmingTable& table) {
    std::map<ReplicaId, double> shares;
    double picked_share = 0;  // of the warming replicas that can be picked now
    bool any_excess = false;
    for (const auto& [id, weight] : entries_of(table)) {
      const auto warming = replicas_.find(id);
      if (warming == replicas_.end()) continue;
      const double factor = excess(warming->second);
      any_excess = any_excess || factor > 1;
      shares[id] = share_of(table, id, weight) / factor;
      if (can_be_picked(id)) picked_share += shares[id];
    }
    if (!any_excess) return;
    // The other replicas keep their weights and get the rest of the requests.
    const double picked_weight = table.warm_weight / (1 - picked_share);
    auto& entries = tables_.at(table.subset, table.group);
    for (const auto& [id, share] : shares) {
      entries[id] = can_be_picked(id) ? share * picked_weight : share * picked_weight / (1 - share);
    }
  }

  const TableEntries& entries_of(const WarmingTable& table) const {
    return tables_.at(table.subset, table.group);
  }

  void add_table(std::size_t subset, std::size_t group) {
    WarmingTable table{subset, group, demand_of(subset, group), 0, 0};
    bool has_warming = false;
    for (const auto& [id, weight] : tables_.at(subset, group)) {
      const bool is_warming = replicas_.contains(id);
      has_warming = has_warming || is_warming;
      if (!can_be_picked(id)) continue;
      table.total_weight += weight;
      if (!is_warming) table.warm_weight += weight;
    }
    if (!has_warming) return;
    const bool is_mixed = table.warm_weight > 0;
    add_load(table, is_mixed ? &WarmingReplica::load_of_mixed : &WarmingReplica::load_of_limited, 1);
    (is_mixed ? mixed_ : limited_).push_back(table);
  }

  /// Returns the demand of a table's proxies. A table that no proxy uses yet gets an even part of all demand.
  double demand_of(std::size_t subset, std::size_t group) const {
    const auto& proxies = view_.subsets.subsets()[subset];
    if (proxies.proxies <= 0) return demand_of_unused_table_;
    // Reports may be missing, which does not mean that there is no demand.
    return std::max(proxies.demand[group], proxies.usual_demand[group]);
  }

  void add_load(const WarmingTable& table, double WarmingReplica::*load, double fraction) {
    for (const auto& [id, weight] : entries_of(table)) {
      const auto warming = replicas_.find(id);
      if (warming == replicas_.end()) continue;
      warming->second.*load += fraction * table.demand * share_of(table, id, weight);
    }
  }

  /// Returns whether proxies can pick a replica of their tables now. A replica whose ejection has not been
  /// ended yet may have to wait for the others of its table.
  bool can_be_picked(ReplicaId id) const {
    return !view_.replicas.at(id).ejected || (returns_together_ && replicas_.contains(id));
  }

  /// Returns the fraction of a table's requests that a replica gets beside those that can be picked now.
  double share_of(const WarmingTable& table, ReplicaId id, double weight) const {
    return weight / (table.total_weight + (can_be_picked(id) ? 0 : weight));
  }

  /// Returns the fraction of a table's demand that overloads none of its replicas.
  double admissible_fraction(const WarmingTable& table) const {
    double fraction = 1;
    for (const auto& [id, weight] : entries_of(table)) {
      const auto warming = replicas_.find(id);
      if (warming == replicas_.end()) continue;
      const double load = warming->second.load_of_limited;
      const double max_load = warming->second.max_load_of_limited;
      if (load > max_load) fraction = std::min(fraction, max_load / load);
    }
    return fraction;
  }

  /// Returns by which factor the load by tables with other replicas is too large; 1 if it is not.
  static double excess(const WarmingReplica& replica) {
    const double remaining =
        std::max(replica.max_load - replica.load_of_limited, kMinRemainingFraction * replica.max_load);
    return replica.load_of_mixed > remaining ? replica.load_of_mixed / remaining : 1;
  }

  TableSet& tables_;
  const PlanningView& view_;
  const double demand_of_unused_table_;
  const bool returns_together_;
  std::map<ReplicaId, WarmingReplica> replicas_;
  std::vector<WarmingTable> limited_;  // tables in which all replicas are warming up
  std::vector<WarmingTable> mixed_;    // tables with other replicas
};

}  // namespace

WarmUpLimiter::WarmUpLimiter(const Settings& settings)
    : admits_by_share_(settings.admission == AdmissionMode::share),
      proxies_join_by_zone_(settings.proxies_by_zone && settings.governors > 1),
      max_relative_load_(kMaxOverloadFraction * settings.overload_multiple),
      admitted_relative_load_(std::min(max_relative_load_, kAdmittedRelativeLoad)),
      attempts_(kOutcomeHalfLife),
      successes_(kOutcomeHalfLife) {}

void WarmUpLimiter::record_listed_weight(const ReplicaMap& replicas, Nanos now) {
  double weight = 0;
  for (const auto& [id, replica] : replicas) {
    if (replica.is_ready()) weight += replica.corrected_weight();
  }
  const double half_lives = to_seconds(now - recorded_at_) / to_seconds(kListedWeightHalfLife);
  listed_weight_ = std::max(weight, listed_weight_ * std::exp2(-half_lives));
  recorded_at_ = now;
}

void WarmUpLimiter::record_outcomes(const ReplicaLoadReport& report, Nanos now) {
  attempts_.add(now, report.attempts);
  successes_.add(now, report.attempts - std::min(report.failed, report.attempts));
}

/// Returns the fraction of attempts that succeeded. Attempts beyond the capacity of the replicas fail.
double WarmUpLimiter::served_fraction(Nanos now) const {
  return std::max(kMinServedFraction, (successes_.read(now) + kTiny) / (attempts_.read(now) + kTiny));
}

void WarmUpLimiter::update_usual_load(const ProxyDemand& demand, const SubsetAssignment& subsets,
                                      double admitted_work, Nanos now) {
  const double share = proxies_join_by_zone_ ? std::max(kMinOwnShare, subsets.own_share()) : 1;
  // Before any proxy has joined, only ratios of loads matter.
  usual_demand_ = demand.usual > 0 ? demand.usual / share : 1;
  usual_load_ = usual_demand_ / std::max(kTiny, listed_weight_);
  served_load_ = usual_load_ * admitted_work * served_fraction(now);
}

double WarmUpLimiter::max_load() const {
  return (admits_by_share_ ? admitted_relative_load_ : max_relative_load_) * served_load_;
}

void WarmUpLimiter::release(ReplicaMap& replicas) {
  for (auto& [id, replica] : replicas) replica.kept_out = false;
}

bool WarmUpLimiter::limit(TableSet& tables, const PlanningView& view, ReplicaMap& replicas) const {
  const double even_demand = usual_demand_ / static_cast<double>(tables.subsets());
  WarmingLoads loads(tables, view,
                     {max_load(), max_relative_load_ * usual_load_, even_demand, !admits_by_share_});
  if (admits_by_share_) {
    loads.set_admitted_fractions();
  } else {
    const auto overloaded = loads.overloaded();
    for (const auto id : overloaded) replicas.at(id).kept_out = true;
    if (!overloaded.empty()) return true;
  }
  loads.reduce_weights();
  return false;
}

}  // namespace ospreypost::policy
