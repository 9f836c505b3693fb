/// Health checks of replicas over HTTP.
#pragma once

#include <functional>

#include "config/config.h"
#include "net/socket.h"
#include "net/threads.h"
#include "policy/observations.h"
#include "policy/types.h"

namespace ospreypost::control_plane {

/// Runs the health checks that the controller requests, a few at a time. Thread-safe.
class HealthChecker {
 public:
  /// Called from the threads of the checker.
  using ResultHandler = std::function<void(const HealthCheckResult&)>;

  /// `config` must outlive it. Throws `net::Error` if not all threads can be had.
  HealthChecker(const config::Config& config, ResultHandler on_result);
  /// Checks a replica soon. Dropped if too many checks wait.
  void request(ReplicaId replica, const net::Address& address);
  /// Drops what waits, and returns once the checks under way are over.
  void stop() { threads_.stop(); }

 private:
  HealthCheckResult check(ReplicaId replica, const net::Address& address) const;

  const config::Config& config_;
  const ResultHandler on_result_;
  net::ThreadPool threads_;
};

}  // namespace ospreypost::control_plane
