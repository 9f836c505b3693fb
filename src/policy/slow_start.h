/// The fraction of its weight that a replica is given while it recovers or warms up, and whether one that
/// warms up is kept out of a congested zone.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/action_sink.h"
#include "policy/numeric.h"
#include "policy/replica.h"
#include "policy/settings.h"

namespace ospreypost::policy {

/// Fraction of the listed weight on return from an ejection.
inline constexpr double kFloor = 0.2;
/// The one doubling, with the first sound evidence.
inline constexpr double kAnchor = 2.0;

class SlowStart {
 public:
  explicit SlowStart(const Settings& settings);

  /// Started so lately that it has not its full capacity yet, whatever its breaker says.
  bool is_warming_up(const Replica& replica, Nanos now) const;
  /// Ready, not ejected as an outlier, and not kept out while it warms up in a congested zone.
  bool may_serve(const Replica& replica, Nanos now) const;

  /// The fraction of its weight for a replica, from 0 to 1: the recovery ramp, and while it warms up never
  /// more than the capacity it is sure to have by now, warming no slower than evenly. `pressure` is that of
  /// the fleet; above 1 is overload.
  double weight_fraction(const Replica& replica, Nanos now, double pressure) const;
  /// The weight that goes with it: listed, corrected by reported load.
  double weight_of(const Replica& replica, Nanos now, double pressure) const;

  /// Keeps replicas that warm up out of congested zones, by attempts that it takes for one success in each
  /// zone. Guards against congestion: proxies avoid what failed them and come down on the newest entry, so no
  /// weight is small enough. Logs each change.
  void update_holds(const Values& attempts_per_success, ActionSink& actions);
  /// Lets all of them in again, where a class has no other replica.
  void release_all();

 private:
  double ramp_fraction(const Replica& replica, Nanos now) const;

  const double initial_capacity_;
  const Nanos warm_up_duration_;
  const double overload_multiple_;
  const bool overloads_while_warming_up_;  // it can be overloaded for long enough to fail before it is warm
  std::vector<bool> holds_;                // by zone
};

}  // namespace ospreypost::policy
