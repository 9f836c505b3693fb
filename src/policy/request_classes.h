/// The request classes as the decision module uses them: the work of a request, the classes that share
/// routing tables, and the demand for each class.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/evidence.h"
#include "policy/numeric.h"
#include "policy/replica.h"
#include "policy/settings.h"

namespace ospreypost::policy {

/// Request classes that may be routed to the same replicas. They share one routing table in each subset.
struct RoutingGroup {
  ClassMask classes = 0;
  bool same_zone_only = false;
  std::vector<ZoneId> allowed_zones;          ///< empty: all zones
  std::vector<HardwareKindId> allowed_kinds;  ///< empty: all hardware kinds

  /// Returns whether proxies of a zone may send requests of these classes to the replica.
  bool may_use(std::size_t proxy_zone, const Replica& replica) const;
  /// Returns how many of `zones` zones a proxy may send requests of these classes to.
  std::size_t zone_choices(std::size_t zones) const;
};

/// The request classes of the settings, with the recent demand for each class.
class RequestClasses {
 public:
  explicit RequestClasses(const Settings& settings);

  std::size_t count() const { return work_.size(); }
  const std::vector<RoutingGroup>& groups() const { return groups_; }
  std::size_t group_of(std::size_t cls) const { return group_of_[cls]; }
  /// Returns the estimated work of one request of the class, in seconds. No report measures work, so the
  /// latency objective is used instead: classes with longer processing have longer objectives.
  double work_of(std::size_t cls) const { return work_[cls]; }
  const Values& priority_by_work() const { return priority_by_work_; }

  void add_demand(std::size_t cls, double requests, Nanos evidence_time);
  double demand_of(std::size_t cls, Nanos evidence_time) const { return demand_[cls].read(evidence_time); }
  /// Returns the class's fraction of all recent requests; an even fraction before any are known.
  double request_share(std::size_t cls, Nanos evidence_time) const;
  /// Returns the mean work of one request over the recent demand, in seconds.
  double mean_work(Nanos evidence_time) const;

 private:
  std::size_t find_or_add_group(const ClassSettings& cls);

  Values work_;
  Values priority_by_work_;
  std::vector<std::size_t> group_of_;
  std::vector<RoutingGroup> groups_;
  std::vector<DecayingSum> demand_;
};

}  // namespace ospreypost::policy
