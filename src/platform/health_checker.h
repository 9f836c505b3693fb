/// Health checks of replicas over HTTP, each from a thread of a small pool.
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

/// The number of replicas that are checked at once, which is that of the connections for it. One of eight
/// replicas that hang holds a thread for the whole timeout; with so many, the others of hundreds are still
/// checked within one iteration of the control loop.
inline constexpr std::size_t kMaxConcurrentHealthChecks = 16;

/// Runs the health checks that the controller requests. Thread-safe. Its lock is held for a few instructions,
/// and never while it calls anything outside.
class HealthChecker {
 public:
  /// Called from a thread of the pool with each outcome.
  using ResultCallback = std::function<void(const HealthCheckResult&)>;
  /// Called from a thread of the pool with what is wrong with a load report, which is then not used.
  using ErrorCallback = std::function<void(const std::string&)>;
  /// `load_columns`: of the load report in an answer, in the order of the settings. Throws `net::Error` if
  /// the threads cannot be had.
  HealthChecker(std::vector<std::string> load_columns, ResultCallback on_result, ErrorCallback on_error);
  /// Checks the replica once a thread is free. Does nothing if a check of it waits for that already.
  void request(ReplicaId replica, const net::Address& address);
  /// Ends the checks that run; no outcome is reported from then on.
  void cancel();
  /// Joins the threads.
  void stop() { threads_.stop(); }

 private:
  void check(ReplicaId replica, const net::Address& address);
  std::optional<std::vector<float>> parse_load(std::string_view body) const;

  const std::vector<std::string> load_columns_;
  const ResultCallback on_result_;
  const ErrorCallback on_error_;
  std::mutex mutex_;
  // Guarded by `mutex_`: the replicas whose checks wait for a thread.
  std::set<ReplicaId> waiting_;
  std::atomic<bool> cancelled_ = false;
  net::CancellationEvent cancellation_;
  net::ThreadPool threads_;
};

}  // namespace ospreypost::platform
