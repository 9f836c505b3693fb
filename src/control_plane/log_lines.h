/// How lines are prepared for the log: names in place of numbers, and a limit on how many errors of others
/// are logged.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "policy/types.h"

namespace spdlog {
class logger;
}

namespace ospreypost::control_plane {

/// The controller's line, which knows replicas by number only, with the name in place of the first number
/// after "replica=". Where `name_of` returns an empty name, the number stays.
std::string with_replica_name(std::string_view line,
                              const std::function<std::string_view(ReplicaId)>& name_of);

/// Logs errors that others cause, which may come by the thousand, in at most one line for each interval.
/// Thread-safe.
class RateLimitedLogger {
 public:
  RateLimitedLogger(std::shared_ptr<spdlog::logger> log, Nanos interval)
      : log_(std::move(log)), interval_(interval) {}
  /// Counts an error. Logs a warning with the count and this error, unless the interval since the last line
  /// is not over yet.
  void add(const std::string& what);

 private:
  const std::shared_ptr<spdlog::logger> log_;
  const Nanos interval_;

  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::optional<Nanos> last_logged_at_;
  std::size_t count_since_last_line_ = 0;
};

}  // namespace ospreypost::control_plane
