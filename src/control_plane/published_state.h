/// What serving threads read without the lock of the controller.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "delivery/endpoint_directory.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::control_plane {

/// The newest snapshot, endpoint directory and list of unroutable replicas. Thread-safe; its lock is held for
/// a few instructions, and no other is taken under it. Written with the lock of `ControllerDriver` held, so
/// that whoever holds that lock sees no change between two reads.
class PublishedState {
 public:
  std::shared_ptr<const routing_state::RoutingSnapshot> snapshot() const;
  /// The version of that snapshot.
  routing_state::SnapshotVersion version() const;
  std::shared_ptr<const delivery::EndpointDirectory> directory() const;
  /// The names of the replicas that no proxy may send to: those that are ejected, draining or gone.
  std::vector<std::string> unroutable_replicas() const;

  void set_snapshot(std::shared_ptr<const routing_state::RoutingSnapshot> snapshot);
  void set_directory(std::shared_ptr<const delivery::EndpointDirectory> directory);
  void set_unroutable_replicas(std::vector<std::string> names);

 private:
  mutable std::mutex mutex_;
  // Guarded by `mutex_`; never null.
  std::shared_ptr<const routing_state::RoutingSnapshot> snapshot_ =
      std::make_shared<routing_state::RoutingSnapshot>();
  std::shared_ptr<const delivery::EndpointDirectory> directory_ =
      std::make_shared<delivery::EndpointDirectory>();
  std::vector<std::string> unroutable_replicas_;
};

}  // namespace ospreypost::control_plane
