#include "policy/slow_start.h"

#include <algorithm>

#include "policy/log_events.h"

namespace ospreypost::policy {
namespace {

/// Congestion of a zone above which replicas that are warming up are kept out of service. Congestion is 0 at
/// one attempt per success, and 1 if the attempts per success equal the overload multiple.
constexpr double kHoldCongestion = 0.15;
/// Congestion of a zone up to which replicas that are warming up may serve again.
constexpr double kReleaseCongestion = 0.1;

constexpr double kMinInitialCapacity = 0.01;
constexpr Nanos kMinWarmUpDuration = std::chrono::milliseconds(1);

}  // namespace

SlowStart::SlowStart(const Settings& settings)
    : initial_capacity_(std::clamp(settings.initial_warm_up_capacity, kMinInitialCapacity, 1.0)),
      warm_up_duration_(std::max<Nanos>(settings.warm_up_duration, kMinWarmUpDuration)),
      overload_multiple_(settings.overload_multiple),
      overloads_while_warming_up_(settings.warm_up_duration > settings.overload_duration),
      holds_(std::max<std::size_t>(settings.zones, 1)) {}

bool SlowStart::is_warming_up(const Replica& replica, Nanos now) const {
  return replica.endpoint.started && now < *replica.endpoint.started + warm_up_duration_;
}

bool SlowStart::may_serve(const Replica& replica, Nanos now) const {
  return replica.is_ready() && !replica.breaker.is_open() && !replica.kept_out &&
         !(holds_[replica.endpoint.zone] && is_warming_up(replica, now));
}

double SlowStart::capacity_fraction(const Replica& replica, Nanos now) const {
  if (!is_warming_up(replica, now)) return 1;
  const double warm_fraction =
      std::max(0.0, to_seconds(now - *replica.endpoint.started) / to_seconds(warm_up_duration_));
  return initial_capacity_ + (1 - initial_capacity_) * warm_fraction;
}

double SlowStart::ramp_fraction(const Replica& replica, Nanos now) const {
  if (const auto anchored_at = replica.breaker.anchored_at()) {
    const double climb_seconds = to_seconds(now - *anchored_at);
    return kFloor * kAnchor + (1 - kFloor * kAnchor) * climb_seconds / to_seconds(kClimbDuration);
  }
  return replica.breaker.is_half_open() ? kFloor : 1;
}

double SlowStart::weight_fraction(const Replica& replica, Nanos now, double pressure) const {
  double fraction = ramp_fraction(replica, now);
  // With thin traffic it takes long to collect evidence, which would hold back a healthy new replica. The
  // fraction of a new replica therefore rises at least linearly over its warm-up, even without evidence.
  // This does not apply while the fleet is overloaded, if overload can make the replica fail during its
  // warm-up: proxies then send most of their attempts to the newest entry.
  if (replica.added && (pressure <= 1 || !overloads_while_warming_up_)) {
    const double seconds_since_added = to_seconds(now - *replica.added);
    fraction =
        std::max(fraction, kFloor + (1 - kFloor) * seconds_since_added / to_seconds(warm_up_duration_));
  }
  return std::min({1.0, fraction, capacity_fraction(replica, now)});
}

double SlowStart::weight_of(const Replica& replica, Nanos now, double pressure) const {
  return replica.corrected_weight() * weight_fraction(replica, now, pressure);
}

void SlowStart::update_holds(const Values& attempts_per_success, ActionSink& actions) {
  for (std::size_t zone = 0; zone < holds_.size(); ++zone) {
    // Each zone is judged alone, since a single zone may be congested where proxies use only their own zone.
    const double congestion = (attempts_per_success[zone] - 1) / (overload_multiple_ - 1);
    const bool hold = congestion > (holds_[zone] ? kReleaseCongestion : kHoldCongestion);
    if (hold != holds_[zone]) {
      actions.log(hold ? log_events::warm_up_held(zone) : log_events::warm_up_released(zone));
    }
    holds_[zone] = hold;
  }
}

}  // namespace ospreypost::policy
