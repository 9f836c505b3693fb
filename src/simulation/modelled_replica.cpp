#include "simulation/modelled_replica.h"

#include <algorithm>
#include <boost/random/gamma_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

namespace ospreypost::simulation {
namespace {

constexpr Nanos kAtOnce = std::chrono::milliseconds(1);  // an answer that costs no work
constexpr double kQueuePerCore = 16;  // beyond that, operations are refused: nothing in a record tells it

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

void ModelledReplica::start(Nanos at, bool cold) {
  die();
  alive_ = true;
  cold_ = cold;
  begun_ = at;
}

void ModelledReplica::die() {
  alive_ = false;
  ++life_;
  busy_ = 0;
  for (auto& held : std::exchange(waiting_, {})) end(*held, Outcome::unknown);
}

const Spell* ModelledReplica::spell() const {
  const auto after = std::upper_bound(model_.spells.begin(), model_.spells.end(), clock_.now(),
                                      [](Nanos at, const Spell& spell) { return at < spell.from; });
  if (after == model_.spells.begin()) return nullptr;
  const auto& spell = *std::prev(after);
  return clock_.now() < spell.to ? &spell : nullptr;
}

void ModelledReplica::take(double work, Nanos until, std::function<void()> begins,
                           std::function<void(Outcome)> ends) {
  const auto held = std::make_shared<Held>(Held{work, until, std::move(begins), std::move(ends), false});
  if (!alive_) {
    clock_.at(clock_.now() + kAtOnce, [held] { end(*held, Outcome::refused); });
    return;
  }
  // Whoever waits has stopped waiting by then.
  clock_.at(until, [held] { end(*held, Outcome::unknown); });
  boost::random::uniform_real_distribution<double> share(0, 1);
  const auto* trouble = spell();
  if (trouble && share(chance_) < trouble->failure_ratio) {
    const bool never_ran = share(chance_) < trouble->not_run_ratio;
    if (!never_ran && share(chance_) < trouble->hang_ratio) return;
    if (!never_ran) held->begins();
    clock_.at(clock_.now() + kAtOnce,
              [held, never_ran] { end(*held, never_ran ? Outcome::refused : Outcome::failed); });
    return;
  }
  if (busy_ + 1 <= std::max(1.0, model_.cores)) {
    begin(held);
  } else if (queued() < kQueuePerCore * model_.cores) {
    waiting_.push_back(held);
  } else {
    clock_.at(clock_.now() + kAtOnce, [held] { end(*held, Outcome::refused); });
  }
}

void ModelledReplica::begin(const std::shared_ptr<Held>& held) {
  busy_ += 1;
  held->begins();
  double warmth = 1;
  if (cold_ && fleet_.warm_up_duration > Nanos{}) {
    const double age =
        std::clamp(seconds(clock_.now() - begun_) / seconds(fleet_.warm_up_duration), 0.0, 1.0);
    warmth = fleet_.initial_warm_up_capacity + (1 - fleet_.initial_warm_up_capacity) * age;
  }
  const auto* trouble = spell();
  double takes = held->work * model_.slowness / warmth * (trouble ? trouble->slowdown : 1);
  if (fleet_.variation > 0.01) {
    const double shape = 1 / (fleet_.variation * fleet_.variation);
    takes *= boost::random::gamma_distribution<double>(shape, 1 / shape)(chance_);
  }
  clock_.at(clock_.now() + Nanos(std::llround(takes * 1e9)), [this, held, life = life_] {
    if (life != life_) return;
    busy_ -= 1;
    end(*held, Outcome::done);
    serve_next();
  });
}

void ModelledReplica::serve_next() {
  while (!waiting_.empty() && busy_ + 1 <= std::max(1.0, model_.cores)) {
    const auto held = std::move(waiting_.front());
    waiting_.pop_front();
    if (!held->ended) begin(held);
  }
}

}  // namespace ospreypost::simulation
