/// Helpers for log lines: replacing replica ids by names, and limiting how many errors caused by peers are
/// logged.
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

/// Returns `line` with the first number after "replica=" replaced by the name of that replica, because the
/// controller identifies replicas by number only. Where `name_of` returns an empty name, the number is kept.
std::string with_replica_name(std::string_view line,
                              const std::function<std::string_view(ReplicaId)>& name_of);

/// Logs errors that peers cause.
/// Peers may cause thousands of errors, so at most one line is logged per interval. Thread-safe.
class RateLimitedLogger {
 public:
  RateLimitedLogger(std::shared_ptr<spdlog::logger> log, Nanos interval)
      : log_(std::move(log)), interval_(interval) {}
  /// Counts an error. Logs a warning with `what` and the number of errors since the last line, unless the
  /// last line was logged less than the interval ago.
  void add(const std::string& what);

 private:
  const std::shared_ptr<spdlog::logger> log_;
  const Nanos interval_;

  std::mutex mutex_;
  // The following members are guarded by `mutex_`.
  std::optional<Nanos> last_logged_at_;
  std::size_t count_since_last_line_ = 0;
};

}  // namespace ospreypost::control_plane
