#include "control_plane/health_checker.h"

#include <cstddef>
#include <string_view>
#include <utility>

#include "config/config.h"
#include "control_plane/health_check.h"
#include "control_plane/status.h"
#include "net/socket.h"
#include "policy/observations.h"
#include "policy/types.h"

namespace ospreypost::control_plane {
namespace {

constexpr std::size_t kMaxConcurrentChecks = 4;
constexpr std::size_t kMaxQueuedChecks = 1000;

}  // namespace

HealthChecker::HealthChecker(const config::Config& config, ResultHandler on_result)
    : config_(config),
      on_result_(std::move(on_result)),
      threads_("health-check", kMaxConcurrentChecks, kMaxQueuedChecks) {}

void HealthChecker::request(ReplicaId replica, const net::Address& address) {
  threads_.take([this, replica, address] { on_result_(check(replica, address)); });
}

HealthCheckResult HealthChecker::check(ReplicaId replica, const net::Address& address) const {
  const auto parse = [this](std::string_view body) {
    return parse_load(body, config_.settings.load_columns);
  };
  const HealthCheckRequest request{replica, address, config_.reports.probe_path,
                                   config_.reports.probe_timeout};
  return run_health_check(request, parse, nullptr);
}

}  // namespace ospreypost::control_plane
