// One replica of a played day: cores, a queue, a cold start and its spells of trouble. Pure.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <utility>

#include "simulation/event_queue.h"
#include "simulation/fleet.h"

namespace ospreypost::simulation {

enum class Outcome { done, failed, refused, unknown };  // refused: it never ran; unknown: it may have

class ModelledReplica {
 public:
  ModelledReplica(const ReplicaModel& model, const Fleet& fleet, EventQueue& clock, std::mt19937& chance)
      : model_(model), fleet_(fleet), clock_(clock), chance_(chance) {}

  // Its process begins, warm or cold; it dies, and all that it has in hand ends without an answer.
  void start(Nanos at, bool cold);
  void die();
  bool alive() const { return alive_; }
  Nanos begun() const { return begun_; }
  // An operation of so many seconds of work. `begins` is called when it takes effect, `ends` once, when the
  // proxy knows or `until` is over.
  void take(double work, Nanos until, std::function<void()> begins, std::function<void(Outcome)> ends);
  double util() const { return std::min(1.0, busy_ / model_.cores); }
  double in_hand() const { return busy_ + static_cast<double>(waiting_.size()); }
  double queued() const { return static_cast<double>(waiting_.size()); }

 private:
  struct Held {
    double work = 0;
    Nanos until{};
    std::function<void()> begins;
    std::function<void(Outcome)> ends;
    bool ended = false;
  };
  const Spell* spell() const;
  void begin(const std::shared_ptr<Held>& held);
  void serve_next();
  static void end(Held& held, Outcome outcome) {
    if (std::exchange(held.ended, true)) return;
    held.ends(outcome);
  }

  const ReplicaModel& model_;
  const Fleet& fleet_;
  EventQueue& clock_;
  std::mt19937& chance_;
  bool alive_ = false, cold_ = false;
  Nanos begun_{};
  std::uint64_t life_ = 0;
  double busy_ = 0;
  std::deque<std::shared_ptr<Held>> waiting_;
};

}  // namespace ospreypost::simulation
