/// The controller's timers by the time at which they are due.
#pragma once

#include <map>
#include <optional>

#include "policy/types.h"

namespace ospreypost::control_plane {

/// Times are those of one monotonic clock. Timers that are due at the same time keep the order in which they
/// were added. Not thread-safe.
class TimerQueue {
 public:
  /// One id may be added several times, and is then due as often.
  void add(Nanos due, TimerId timer) { timers_.emplace(due, timer); }
  /// When the first timer is due; empty if there is none.
  std::optional<Nanos> next_due() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first;
  }
  /// Removes the first timer that is due at `now` or earlier, and returns it; empty if none is.
  std::optional<TimerId> take_due(Nanos now) {
    if (timers_.empty() || timers_.begin()->first > now) return std::nullopt;
    const auto timer = timers_.begin()->second;
    timers_.erase(timers_.begin());
    return timer;
  }

 private:
  std::multimap<Nanos, TimerId> timers_;  // by the time at which they are due
};

}  // namespace ospreypost::control_plane
