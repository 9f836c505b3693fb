#include "simulation/modelled_replica.h"

#include <algorithm>
#include <boost/random/gamma_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

namespace ospreypost::simulation {
namespace {

constexpr Nanos kImmediateAnswerDelay = std::chrono::milliseconds(1);  // of an answer without service time
// Maximum queue length per core; further attempts are refused. A record does not show this limit.
constexpr double kMaxQueuePerCore = 16;

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

void ModelledReplica::start(Nanos start_time, bool cold) {
  stop();
  running_ = true;
  cold_ = cold;
  start_time_ = start_time;
}

void ModelledReplica::stop() {
  running_ = false;
  ++incarnation_;
  busy_ = 0;
  for (auto& attempt : std::exchange(queue_, {})) end(*attempt, Outcome::unknown);
}

const Spell* ModelledReplica::current_spell() const {
  const auto after = std::upper_bound(model_.spells.begin(), model_.spells.end(), clock_.now(),
                                      [](Nanos time, const Spell& spell) { return time < spell.from; });
  if (after == model_.spells.begin()) return nullptr;
  const auto& spell = *std::prev(after);
  return clock_.now() < spell.to ? &spell : nullptr;
}

void ModelledReplica::handle_attempt(double work, Nanos deadline, std::function<void()> on_effect,
                                     std::function<void(Outcome)> on_end) {
  const auto attempt =
      std::make_shared<Attempt>(Attempt{work, deadline, std::move(on_effect), std::move(on_end), false});
  if (!running_) {
    clock_.schedule(clock_.now() + kImmediateAnswerDelay, [attempt] { end(*attempt, Outcome::refused); });
    return;
  }
  // The proxy gives up on the attempt at its deadline.
  clock_.schedule(deadline, [attempt] { end(*attempt, Outcome::unknown); });
  boost::random::uniform_real_distribution<double> share(0, 1);
  const auto* fault = current_spell();
  if (fault && share(random_) < fault->failure_ratio) {
    const bool did_not_run = share(random_) < fault->not_run_ratio;
    if (!did_not_run && share(random_) < fault->hang_ratio) return;
    if (!did_not_run) attempt->on_effect();
    clock_.schedule(clock_.now() + kImmediateAnswerDelay, [attempt, did_not_run] {
      end(*attempt, did_not_run ? Outcome::refused : Outcome::failed);
    });
    return;
  }
  if (busy_ + 1 <= std::max(1.0, model_.cores)) {
    serve(attempt);
  } else if (queued() < kMaxQueuePerCore * model_.cores) {
    queue_.push_back(attempt);
  } else {
    clock_.schedule(clock_.now() + kImmediateAnswerDelay, [attempt] { end(*attempt, Outcome::refused); });
  }
}

void ModelledReplica::serve(const std::shared_ptr<Attempt>& attempt) {
  busy_ += 1;
  attempt->on_effect();
  double warm_up_factor = 1;
  if (cold_ && fleet_.warm_up_duration > Nanos{}) {
    const double age =
        std::clamp(seconds(clock_.now() - start_time_) / seconds(fleet_.warm_up_duration), 0.0, 1.0);
    warm_up_factor = fleet_.initial_warm_up_capacity + (1 - fleet_.initial_warm_up_capacity) * age;
  }
  const auto* fault = current_spell();
  double service_seconds = attempt->work * model_.slowness / warm_up_factor * (fault ? fault->slowdown : 1);
  if (fleet_.variation > 0.01) {
    const double shape = 1 / (fleet_.variation * fleet_.variation);
    service_seconds *= boost::random::gamma_distribution<double>(shape, 1 / shape)(random_);
  }
  clock_.schedule(clock_.now() + Nanos(std::llround(service_seconds * 1e9)),
                  [this, attempt, incarnation = incarnation_] {
                    if (incarnation != incarnation_) return;
                    busy_ -= 1;
                    end(*attempt, Outcome::done);
                    serve_next();
                  });
}

void ModelledReplica::serve_next() {
  while (!queue_.empty() && busy_ + 1 <= std::max(1.0, model_.cores)) {
    const auto attempt = std::move(queue_.front());
    queue_.pop_front();
    if (!attempt->ended) serve(attempt);
  }
}

}  // namespace ospreypost::simulation
