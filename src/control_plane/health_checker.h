/// Runs health checks of replicas over HTTP on a thread pool.
#pragma once

#include <functional>

#include "config/config.h"
#include "net/socket.h"
#include "net/threads.h"
#include "policy/observations.h"
#include "policy/types.h"

namespace ospreypost::control_plane {

/// Runs the health checks that the controller requests, a limited number at a time. Thread-safe.
class HealthChecker {
 public:
  /// Receives the result of each check; called from the threads of the health checker.
  using ResultHandler = std::function<void(const HealthCheckResult&)>;

  /// `config` must outlive the health checker. Throws `net::Error` if a thread cannot be started.
  HealthChecker(const config::Config& config, ResultHandler on_result);
  /// Queues a health check of `replica`. The request is dropped if too many checks are queued.
  void request(ReplicaId replica, const net::Address& address);
  /// Drops the queued checks and returns once the running checks have finished.
  void stop() { threads_.stop(); }

 private:
  HealthCheckResult check(ReplicaId replica, const net::Address& address) const;

  const config::Config& config_;
  const ResultHandler on_result_;
  net::ThreadPool threads_;
};

}  // namespace ospreypost::control_plane
