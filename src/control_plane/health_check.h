/// A single health check of a replica over HTTP.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/cancellation_event.h"
#include "net/socket.h"
#include "policy/observations.h"
#include "policy/types.h"

namespace ospreypost::control_plane {

struct HealthCheckRequest {
  ReplicaId replica{};
  net::Address address;
  std::string path;
  net::Steady::duration timeout{};
};

/// Parses the load values in a response body; returns empty if the body cannot be used.
using LoadParser = std::function<std::optional<std::vector<float>>(std::string_view body)>;

/// Runs a health check. A missing or unusable response is reported in the result instead of thrown.
/// If `cancellation` is not null, setting `cancellation` aborts the check.
HealthCheckResult run_health_check(const HealthCheckRequest& check, const LoadParser& parse_load,
                                   const net::CancellationEvent* cancellation);

}  // namespace ospreypost::control_plane
