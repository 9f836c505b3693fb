/// Limits the load that all tables together bring to replicas that are warming up.
///
/// The weights of a table only divide its requests. If all replicas of a table are warming up, their small
/// weights therefore do not keep them from getting all requests of the table. The limiter compares the demand
/// of the tables with the usual load of the fleet instead, which all replicas are known to carry.
#pragma once

#include <cstddef>

#include "policy/evidence.h"
#include "policy/locality_planner.h"
#include "policy/observations.h"
#include "policy/replica.h"
#include "policy/settings.h"
#include "policy/table_set.h"

namespace ospreypost::policy {

class WarmUpLimiter {
 public:
  explicit WarmUpLimiter(const Settings& settings);

  /// Records the weight of the listed replicas, from which the usual load of a replica follows.
  /// A replica that left the list counts for some time, since its load returns with it.
  void record_listed_weight(const ReplicaMap& replicas, Nanos now);
  /// Records outcomes of attempts at a replica that is not warming up.
  void record_outcomes(const ReplicaLoadReport& report, Nanos now);

  /// Sets the usual load of a replica of weight 1 by the proxies of this instance, in the unit of demands:
  /// their demand over a longer time, divided by the listed weight.
  void update_usual_load(const ProxyDemand& demand, const SubsetAssignment& subsets, double admitted_work,
                         Nanos now);
  /// Returns the maximum load that replicas which are all warming up may get for each unit of their present
  /// capacity.
  double max_load() const;
  /// Lets all replicas serve that limit() kept out of service.
  static void release(ReplicaMap& replicas);
  /// Limits the load of the replicas that are warming up. In a table with other replicas, their weights are
  /// reduced. A table without others gets an admitted fraction. Where proxies apply no admitted fraction, its
  /// replicas are kept out of service instead: then `tables` must be planned and limited again.
  /// Returns whether any replica was newly kept out.
  bool limit(TableSet& tables, const PlanningView& view, ReplicaMap& replicas) const;

 private:
  double served_fraction(Nanos now) const;

  const bool admits_by_share_;           // proxies apply an admitted fraction
  const bool proxies_join_by_zone_;      // proxies join an instance of their own zone, and there are several
  const double max_relative_load_;       // maximum load of a replica, relative to its usual load
  const double admitted_relative_load_;  // the same in a table whose load is limited by an admitted fraction
  double listed_weight_ = 0;
  Nanos recorded_at_{};
  DecayingSum attempts_;   // recent attempts at replicas that are not warming up
  DecayingSum successes_;  // the successful ones of these attempts
  double usual_demand_ = 1;
  double usual_load_ = 1;
  double served_load_ = 1;  // the part of the usual load that was admitted and that warm replicas could serve
};

}  // namespace ospreypost::policy
