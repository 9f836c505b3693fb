#include "control_plane/health_check.h"

#include <exception>
#include <utility>

#include "http/http.h"

namespace ospreypost::control_plane {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;
// Maximum size of a load report, which has a few names and numbers.
constexpr std::size_t kMaxLoadReportBytes = std::size_t{16} << 10;

}  // namespace

HealthCheckResult run_health_check(const HealthCheckRequest& check, const LoadParser& parse_load,
                                   const net::CancellationEvent* cancellation) {
  HealthCheckResult result;
  result.replica = check.replica;
  const auto started = net::Steady::now();
  try {
    http::Request request;
    request.target = check.path;
    const auto response =
        http::fetch(check.address, request, kMaxLoadReportBytes, started + check.timeout, cancellation);
    result.refused = response.status == kStatusUnavailable;
    if (response.status == kStatusOk) {
      auto load = parse_load(response.body);
      result.answered = load.has_value();
      if (load) result.load = std::move(*load);
    }
  } catch (const std::exception&) {
    // Any error on the way means that the replica gave no response; the result already shows that.
  }
  result.took = net::Steady::now() - started;
  return result;
}

}  // namespace ospreypost::control_plane
