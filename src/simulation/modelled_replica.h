// One replica of a simulated run: its cores, its queue, its warm-up after a cold start and its fault spells.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <utility>

#include "simulation/event_queue.h"
#include "simulation/fleet.h"

namespace ospreypost::simulation {

// Outcome of an attempt. refused: the attempt did not run; unknown: the attempt may have run.
enum class Outcome { done, failed, refused, unknown };

class ModelledReplica {
 public:
  ModelledReplica(const ReplicaModel& model, const Fleet& fleet, EventQueue& clock, std::mt19937& random)
      : model_(model), fleet_(fleet), clock_(clock), random_(random) {}

  // Starts the replica's process, warm or cold, as of the time `start_time`.
  void start(Nanos start_time, bool cold);
  // Ends the replica's process. All attempts in its queue or in service end without an answer.
  void stop();
  bool running() const { return running_; }
  Nanos start_time() const { return start_time_; }
  // Handles an attempt that needs `work` seconds of service time. `on_effect` is called when the attempt
  // takes effect, `on_end` once, when the proxy receives the answer or at `deadline`.
  void handle_attempt(double work, Nanos deadline, std::function<void()> on_effect,
                      std::function<void(Outcome)> on_end);
  double util() const { return std::min(1.0, busy_ / model_.cores); }
  double in_flight() const { return busy_ + static_cast<double>(queue_.size()); }
  double queued() const { return static_cast<double>(queue_.size()); }

 private:
  struct Attempt {
    double work = 0;
    Nanos deadline{};
    std::function<void()> on_effect;
    std::function<void(Outcome)> on_end;
    bool ended = false;
  };
  // The fault spell of the present time; null if there is none.
  const Spell* current_spell() const;
  void serve(const std::shared_ptr<Attempt>& attempt);
  void serve_next();
  static void end(Attempt& attempt, Outcome outcome) {
    if (std::exchange(attempt.ended, true)) return;
    attempt.on_end(outcome);
  }

  const ReplicaModel& model_;
  const Fleet& fleet_;
  EventQueue& clock_;
  std::mt19937& random_;
  bool running_ = false, cold_ = false;
  Nanos start_time_{};
  std::uint64_t incarnation_ = 0;  // counts starts and stops
  double busy_ = 0;                // number of attempts in service
  std::deque<std::shared_ptr<Attempt>> queue_;
};

}  // namespace ospreypost::simulation
