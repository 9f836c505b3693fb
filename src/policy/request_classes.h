/// The request classes as the module works with them: what a request costs, which share tables, and how many
/// come.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/evidence.h"
#include "policy/numeric.h"
#include "policy/replica.h"
#include "policy/settings.h"

namespace ospreypost::policy {

/// Classes that may go to the same replicas share a table in each subset.
struct RoutingGroup {
  ClassMask classes = 0;
  bool same_zone_only = false;
  std::vector<ZoneId> allowed_zones;          ///< empty: all
  std::vector<HardwareKindId> allowed_kinds;  ///< empty: all

  /// Whether proxies of a zone may send requests of these classes to the replica.
  bool may_use(std::size_t proxy_zone, const Replica& replica) const;
  /// Zones that a proxy may choose from, of `zones` in all.
  std::size_t zone_choices(std::size_t zones) const;
};

/// The classes of the settings, and the demand for each.
class RequestClasses {
 public:
  explicit RequestClasses(const Settings& settings);

  std::size_t count() const { return work_.size(); }
  const std::vector<RoutingGroup>& groups() const { return groups_; }
  std::size_t group_of(std::size_t cls) const { return group_of_[cls]; }
  /// The work of one request, in seconds: no report tells it, but a class that takes longer is given more
  /// time.
  double work_of(std::size_t cls) const { return work_[cls]; }
  const Values& priority_by_work() const { return priority_by_work_; }

  void add_demand(std::size_t cls, double requests, Nanos evidence_time);
  double demand_of(std::size_t cls, Nanos evidence_time) const { return demand_[cls].read(evidence_time); }
  /// The mean work of the requests that come, in seconds.
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
