/// The state that serving threads read without taking the lock of `ControllerDriver`.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "delivery/endpoint_directory.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::control_plane {

/// Holds the newest routing snapshot, endpoint directory and list of unroutable replicas.
/// Thread-safe: its lock is held for a few instructions, and no other lock is taken while it is held. The
/// setters are called with the lock of `ControllerDriver` held, so that a thread which holds that lock sees
/// no change between two reads.
class PublishedState {
 public:
  std::shared_ptr<const routing_state::RoutingSnapshot> snapshot() const;
  /// Returns the version of the newest routing snapshot.
  routing_state::SnapshotVersion version() const;
  std::shared_ptr<const delivery::EndpointDirectory> directory() const;
  /// Names of the replicas that no proxy may send requests to because they are ejected, draining or gone.
  std::vector<std::string> unroutable_replicas() const;

  void set_snapshot(std::shared_ptr<const routing_state::RoutingSnapshot> snapshot);
  void set_directory(std::shared_ptr<const delivery::EndpointDirectory> directory);
  void set_unroutable_replicas(std::vector<std::string> names);

 private:
  mutable std::mutex mutex_;
  // The following members are guarded by `mutex_`. The pointers are never null.
  std::shared_ptr<const routing_state::RoutingSnapshot> snapshot_ =
      std::make_shared<routing_state::RoutingSnapshot>();
  std::shared_ptr<const delivery::EndpointDirectory> directory_ =
      std::make_shared<delivery::EndpointDirectory>();
  std::vector<std::string> unroutable_replicas_;
};

}  // namespace ospreypost::control_plane
