/// Slow start: reduces the weight of replicas that recover or warm up. Also keeps replicas that are warming
/// up out of service while their zone is congested. `WarmUpLimiter` limits their load where all replicas of a
/// table are warming up.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/action_sink.h"
#include "policy/numeric.h"
#include "policy/replica.h"
#include "policy/settings.h"

namespace ospreypost::policy {

/// Fraction of its weight that a replica gets when its breaker becomes half-open.
inline constexpr double kFloor = 0.2;
/// Factor by which a replica's fraction rises above the floor, once, at the first sound evidence.
inline constexpr double kAnchor = 2.0;

class SlowStart {
 public:
  explicit SlowStart(const Settings& settings);

  /// Returns whether the replica started so recently that it may not have its full capacity yet.
  /// The result does not depend on the state of the breaker.
  bool is_warming_up(const Replica& replica, Nanos now) const;
  /// Returns whether the replica is ready, is not ejected as an outlier, and is not kept out of service
  /// because it is warming up.
  bool may_serve(const Replica& replica, Nanos now) const;

  /// Returns the fraction of its full capacity that the replica is certain to have by now. Capacity rises at
  /// least linearly during warm-up.
  double capacity_fraction(const Replica& replica, Nanos now) const;
  /// Returns the fraction of its weight that a replica gets, from 0 to 1.
  /// The fraction follows the recovery ramp, and is never larger than capacity_fraction().
  /// `pressure` is the pressure of the fleet; a value above 1 means overload.
  double weight_fraction(const Replica& replica, Nanos now, double pressure) const;
  /// Returns the replica's weight: the listed weight, corrected by reported load, times weight_fraction().
  double weight_of(const Replica& replica, Nanos now, double pressure) const;

  /// Keeps replicas that are warming up out of service in congested zones, and logs each change.
  /// A zone is congested if a success takes too many attempts in that zone.
  /// Proxies in a congested zone avoid replicas whose attempts failed and pick the new replicas instead, so
  /// that no weight of a new replica is small enough to keep it from being overloaded.
  void update_holds(const Values& attempts_per_success, ActionSink& actions);
  /// Lets replicas that are warming up serve in a zone. Called if a routing group has no other replica.
  void release(std::size_t zone) { holds_[zone] = false; }

 private:
  double ramp_fraction(const Replica& replica, Nanos now) const;

  const double initial_capacity_;
  const Nanos warm_up_duration_;
  const double overload_multiple_;
  const bool overloads_while_warming_up_;  // overload can make a replica fail before it is warm
  std::vector<bool> holds_;                // by zone: whether replicas that are warming up are kept out
};

}  // namespace ospreypost::policy
