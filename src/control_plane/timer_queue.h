/// A queue of the controller's timers, ordered by the time at which they are due.
#pragma once

#include <map>
#include <optional>

#include "policy/types.h"

namespace ospreypost::control_plane {

/// All times are of one monotonic clock.
/// Timers that are due at the same time keep the order in which they were added. Not thread-safe.
class TimerQueue {
 public:
  /// Adds a timer. An id that is added several times is also due several times.
  void add(Nanos due, TimerId timer) { timers_.emplace(due, timer); }
  /// Returns the time at which the first timer is due; empty without timers.
  std::optional<Nanos> next_due() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first;
  }
  /// Removes and returns the first timer that is due at `now` or earlier; empty if no timer is due.
  std::optional<TimerId> take_due(Nanos now) {
    if (timers_.empty() || timers_.begin()->first > now) return std::nullopt;
    const auto timer = timers_.begin()->second;
    timers_.erase(timers_.begin());
    return timer;
  }

 private:
  std::multimap<Nanos, TimerId> timers_;  // key: time at which the timer is due
};

}  // namespace ospreypost::control_plane
