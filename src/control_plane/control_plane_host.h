/// Interface through which the control plane calls the program that contains it.
#pragma once

#include <string_view>

#include "net/socket.h"
#include "policy/types.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::control_plane {

/// The functions are called with locks of the control plane held: an implementation may queue work and notify
/// other threads, but must not block or call the control plane.
class ControlPlaneHost {
 public:
  virtual ~ControlPlaneHost() = default;
  /// Starts a health check. The implementation passes its result to `ControlPlane::on_health_check_result`.
  virtual void request_health_check(ReplicaId replica, const net::Address& address) = 0;
  virtual void refresh_endpoint_list() = 0;
  /// Logs a line. `version` is the version of the routing snapshot that is published at that time.
  virtual void log(std::string_view line, routing_state::SnapshotVersion version) = 0;
};

}  // namespace ospreypost::control_plane
