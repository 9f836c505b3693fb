#include "control_plane/health_checker.h"

#include <cstddef>
#include <exception>
#include <utility>

#include "config/config.h"
#include "control_plane/status.h"
#include "http/http.h"
#include "net/socket.h"
#include "policy/observations.h"
#include "policy/types.h"

namespace ospreypost::control_plane {
namespace {

constexpr std::size_t kMaxConcurrentChecks = 4;
constexpr std::size_t kMaxWaitingChecks = 1000;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

}  // namespace

HealthChecker::HealthChecker(const config::Config& config, ResultHandler on_result)
    : config_(config),
      on_result_(std::move(on_result)),
      threads_("prober", kMaxConcurrentChecks, kMaxWaitingChecks) {}

void HealthChecker::request(ReplicaId replica, const net::Address& address) {
  threads_.take([this, replica, address] { on_result_(check(replica, address)); });
}

HealthCheckResult HealthChecker::check(ReplicaId replica, const net::Address& address) const {
  HealthCheckResult result;
  result.replica = replica;
  const auto started = net::Steady::now();
  try {
    http::Request request;
    request.target = config_.reports.probe_path;
    const auto response = http::fetch(address, request, started + config_.reports.probe_timeout);
    result.refused = response.status == kStatusUnavailable;
    result.answered = response.status == kStatusOk;
    if (result.answered) result.load = parse_load(response.body, config_.settings.load_columns);
  } catch (const std::exception&) {
    // That no answer came is a result like any other.
  }
  result.took = net::Steady::now() - started;
  return result;
}

}  // namespace ospreypost::control_plane
