// A clock of simulated time with a queue of actions. Actions run in the order of their times; actions of the
// same time run in the order in which they were scheduled.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::simulation {

class EventQueue {
 public:
  Nanos now() const { return now_; }
  // Runs `action` at `time`, or at the present time if `time` has passed.
  void schedule(Nanos time, std::function<void()> action) {
    events_.push({std::max(time, now_), scheduled_++, std::move(action)});
  }
  // Runs the actions that are due by `end`. Actions may schedule further actions without limit, so the queue
  // need not become empty.
  void run_until(Nanos end) {
    while (!events_.empty() && events_.top().time <= end) {
      auto next = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = next.time;
      next.action();
    }
  }

 private:
  struct Event {
    Nanos time{};
    std::uint64_t sequence_number = 0;
    std::function<void()> action;
    // Reversed, as std::priority_queue returns its largest element first.
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence_number > other.sequence_number;
    }
  };
  std::priority_queue<Event> events_;
  std::uint64_t scheduled_ = 0;
  Nanos now_{};
};

}  // namespace ospreypost::simulation
