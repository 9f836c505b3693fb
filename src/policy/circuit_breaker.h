/// The circuit breaker of one replica. A breaker is closed in normal operation. A trip opens the breaker for
/// a cooldown, which doubles with each repeated trip. The breaker is then half-open until the replica has
/// proven itself by enough successes.
#pragma once

#include <optional>

#include "policy/types.h"

namespace ospreypost::policy {

// docs/design.md explains why each of these constants differs from its usual default.

/// Cooldown after a first trip; each repeated trip doubles it.
inline constexpr Nanos kCooldown = std::chrono::seconds(2);
inline constexpr Nanos kMaxCooldown = std::chrono::seconds(20);
/// A half-open breaker closes at the end of a window of this length if the evidence is sound by then.
inline constexpr Nanos kConfirmWindow = std::chrono::seconds(4);
/// Duration of the linear climb from the anchor to the full weight.
inline constexpr Nanos kClimbDuration = 2 * kConfirmWindow;
/// Minimum number of successes since a replica's return for its evidence to be sound.
inline constexpr double kMinSoundSuccesses = 4;

/// The state machine of the breaker, with its times.
/// `OutlierDetector` judges the evidence and triggers the state changes.
class CircuitBreaker {
 public:
  enum class State { closed, open, half_open };

  bool is_open() const { return state_ == State::open; }
  bool is_half_open() const { return state_ == State::half_open; }
  bool is_closed() const { return state_ == State::closed; }

  /// Opens the breaker and returns the cooldown.
  /// A trip of a half-open or recently closed breaker doubles the cooldown: the replica has not recovered.
  Nanos trip(Nanos now);
  void half_open(Nanos now);
  /// Checks the evidence of a half-open breaker. The first sound evidence starts the climb. At the end of a
  /// confirm window the breaker closes if the evidence is sound; else another window begins.
  /// `successes` counts the successful attempts since the breaker became half-open.
  /// Returns true if the breaker closed.
  bool confirm(Nanos now, double successes);

  bool cooldown_is_over(Nanos now) const { return now >= cooldown_ends_at_; }
  /// Returns when the cooldown of the last trip ends.
  Nanos cooldown_ends_at() const { return cooldown_ends_at_; }
  /// Returns when the climb from the anchor began.
  /// Empty if there has been no sound evidence since the breaker last became half-open.
  std::optional<Nanos> anchored_at() const { return anchored_at_; }

 private:
  State state_ = State::closed;
  Nanos cooldown_ = kCooldown;  // cooldown of the last trip
  Nanos cooldown_ends_at_{};
  Nanos window_ends_at_{};
  Nanos repeat_window_ends_at_{};  // a trip before this time is a repeat, even if the breaker has closed
  std::optional<Nanos> anchored_at_;
};

}  // namespace ospreypost::policy
