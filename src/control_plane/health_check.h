/// One health check of a replica over HTTP.
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

/// Reads the load values of an answer's body; empty if the answer cannot be used.
using LoadParser = std::function<std::optional<std::vector<float>>(std::string_view body)>;

/// Carries out the check; that no answer comes is a result like any other. `cancellation` may be null; else
/// it ends the check when it is set.
HealthCheckResult run_health_check(const HealthCheckRequest& check, const LoadParser& parse_load,
                                   const net::CancellationEvent* cancellation);

}  // namespace ospreypost::control_plane
