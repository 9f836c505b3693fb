// When the governor wants to be called: by time on a monotonic clock, in the order armed where times are
// equal.
#pragma once

#include <map>
#include <optional>

#include "policy/controller.h"

namespace ospreypost::control_plane {

class TimerQueue {
 public:
  void start_timer(Nanos at, TimerId timer) { due_.emplace(at, timer); }
  std::optional<Nanos> next() const {
    return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
  }
  // The first that is due by then, if any; it is taken out.
  std::optional<TimerId> take(Nanos now) {
    if (due_.empty() || due_.begin()->first > now) return std::nullopt;
    const auto timer = due_.begin()->second;
    due_.erase(due_.begin());
    return timer;
  }

 private:
  std::multimap<Nanos, TimerId> due_;
};

}  // namespace ospreypost::control_plane
