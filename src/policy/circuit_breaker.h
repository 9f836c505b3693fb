/// The circuit breaker of one replica: closed, open for a doubling cooldown, half-open until proven.
#pragma once

#include <optional>

#include "policy/types.h"

namespace ospreypost::policy {

// The source's constants; docs/design.md says why each differs from its default.

/// First ejection; each repeat doubles it.
inline constexpr Nanos kCooldown = std::chrono::seconds(2);
inline constexpr Nanos kMaxCooldown = std::chrono::seconds(20);
/// A half-open breaker closes after so long, if the evidence is sound.
inline constexpr Nanos kConfirmWindow = std::chrono::seconds(4);
/// The linear climb from the anchor to the full weight.
inline constexpr Nanos kClimbDuration = 2 * kConfirmWindow;
/// Successes since the return that make the evidence sound.
inline constexpr double kMinSoundSuccesses = 4;

/// Moved by `OutlierDetector`, which judges the evidence; holds the state machine and its times.
class CircuitBreaker {
 public:
  enum class State { closed, open, half_open };

  bool is_open() const { return state_ == State::open; }
  bool is_half_open() const { return state_ == State::half_open; }
  bool is_closed() const { return state_ == State::closed; }

  /// Opens for the cooldown, which it returns. It doubles if the replica fails half-open or soon after it
  /// closed: then it has not recovered.
  Nanos trip(Nanos now);
  void half_open(Nanos now);
  /// For a half-open breaker: starts the climb with the first sound evidence, and closes at the end of a
  /// confirm window if the evidence is sound. True if it closed.
  bool confirm(Nanos now, double successes);

  bool cooldown_is_over(Nanos now) const { return now >= reopens_at_; }
  /// The end of the cooldown of an open breaker.
  Nanos reopens_at() const { return reopens_at_; }
  /// When the climb from the anchor began; absent while there was no sound evidence.
  std::optional<Nanos> anchored_at() const { return anchored_at_; }

 private:
  State state_ = State::closed;
  Nanos cooldown_ = kCooldown;  // of the last trip
  Nanos reopens_at_{};
  Nanos window_ends_at_{};
  Nanos proven_until_{};  // a trip before then is a repeat, whatever the state
  std::optional<Nanos> anchored_at_;
};

}  // namespace ospreypost::policy
