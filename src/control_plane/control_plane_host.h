/// What the control plane needs from the program around it.
#pragma once

#include <string_view>

#include "net/socket.h"
#include "policy/types.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::control_plane {

/// Called with locks of the control plane held: it may take note and wake others, but must not wait or call
/// the control plane.
class ControlPlaneHost {
 public:
  virtual ~ControlPlaneHost() = default;
  /// The result goes to `ControlPlane::on_health_check_result`.
  virtual void request_health_check(ReplicaId replica, const net::Address& address) = 0;
  virtual void refresh_endpoint_list() = 0;
  /// `version` is that of the snapshot that is in force.
  virtual void log(std::string_view line, routing_state::SnapshotVersion version) = 0;
};

}  // namespace ospreypost::control_plane
