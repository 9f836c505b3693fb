// Simulated time: what is to happen, in the order of its times, and in the order given where they are equal.
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
  // Not before now.
  void at(Nanos at, std::function<void()> act) { due_.push({std::max(at, now_), given_++, std::move(act)}); }
  // What is due by then; timers arm each other for ever.
  void run_until(Nanos end) {
    while (!due_.empty() && due_.top().at <= end) {
      auto next = std::move(const_cast<Due&>(due_.top()));
      due_.pop();
      now_ = next.at;
      next.act();
    }
  }

 private:
  struct Due {
    Nanos at{};
    std::uint64_t given = 0;
    std::function<void()> act;
    bool operator<(const Due& other) const { return at != other.at ? at > other.at : given > other.given; }
  };
  std::priority_queue<Due> due_;
  std::uint64_t given_ = 0;
  Nanos now_{};
};

}  // namespace ospreypost::simulation
