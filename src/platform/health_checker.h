/// Runs the HTTP health checks of replicas on a small thread pool.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/cancellation_event.h"
#include "net/socket.h"
#include "net/threads.h"
#include "policy/controller.h"

namespace ospreypost::platform {

/// Maximum number of concurrent health checks; each uses one thread and one connection. A replica that hangs
/// occupies its thread for the whole timeout. If one in eight of several hundred replicas hangs, 16 threads
/// still check all the others within one iteration of the control loop.
inline constexpr std::size_t kMaxConcurrentHealthChecks = 16;

/// Runs the health checks that the controller requests. Thread-safe. The checker's lock is held for a few
/// instructions only, and never during a callback.
class HealthChecker {
 public:
  /// Called from a thread of the pool with the result of each health check.
  using ResultCallback = std::function<void(const HealthCheckResult&)>;
  /// Called from a thread of the pool with an error message for each malformed load report.
  using ErrorCallback = std::function<void(const std::string&)>;
  /// `load_columns`: column names of the load report that a replica's answer may contain, in the order of the
  /// settings. Throws `net::Error` if the threads cannot be created.
  HealthChecker(std::vector<std::string> load_columns, ResultCallback on_result, ErrorCallback on_error);
  /// Queues a health check of the replica. Does nothing if a check of the same replica is already queued.
  void request(ReplicaId replica, const net::Address& address);
  /// Aborts the running checks. No results are reported afterwards.
  void cancel();
  /// Joins the threads of the pool.
  void stop() { threads_.stop(); }

 private:
  void check(ReplicaId replica, const net::Address& address);
  std::optional<std::vector<float>> parse_load(std::string_view body) const;

  const std::vector<std::string> load_columns_;
  const ResultCallback on_result_;
  const ErrorCallback on_error_;
  std::mutex mutex_;
  // Replicas whose checks are queued and not yet started. Guarded by `mutex_`.
  std::set<ReplicaId> waiting_;
  std::atomic<bool> cancelled_ = false;
  net::CancellationEvent cancellation_;
  net::ThreadPool threads_;
};

}  // namespace ospreypost::platform
