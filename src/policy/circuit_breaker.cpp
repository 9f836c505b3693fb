#include "policy/circuit_breaker.h"

#include <algorithm>

namespace ospreypost::policy {

Nanos CircuitBreaker::trip(Nanos now) {
  const bool repeated = is_half_open() || now < repeat_window_ends_at_;
  cooldown_ = repeated ? std::min(2 * cooldown_, kMaxCooldown) : kCooldown;
  state_ = State::open;
  cooldown_ends_at_ = now + cooldown_;
  return cooldown_;
}

void CircuitBreaker::half_open(Nanos now) {
  state_ = State::half_open;
  window_ends_at_ = now + kConfirmWindow;
  anchored_at_.reset();
}

bool CircuitBreaker::confirm(Nanos now, double successes) {
  const bool sound = successes >= kMinSoundSuccesses;
  if (sound && !anchored_at_) anchored_at_ = now;
  if (now < window_ends_at_) return false;
  window_ends_at_ = now + kConfirmWindow;
  if (!sound) return false;
  state_ = State::closed;
  repeat_window_ends_at_ = now + kClimbDuration + kConfirmWindow;
  return true;
}

}  // namespace ospreypost::policy
