#include "control_plane/published_state.h"

#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "delivery/endpoint_directory.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::control_plane {

std::shared_ptr<const routing_state::RoutingSnapshot> PublishedState::snapshot() const {
  const std::lock_guard lock(mutex_);
  return snapshot_;
}

routing_state::SnapshotVersion PublishedState::version() const {
  const std::lock_guard lock(mutex_);
  return snapshot_->version;
}

std::shared_ptr<const delivery::EndpointDirectory> PublishedState::directory() const {
  const std::lock_guard lock(mutex_);
  return directory_;
}

std::vector<std::string> PublishedState::unroutable_replicas() const {
  const std::lock_guard lock(mutex_);
  return unroutable_replicas_;
}

// The setters swap the old value into their parameter: the old value may be large, and is freed after the
// lock is released.

void PublishedState::set_snapshot(std::shared_ptr<const routing_state::RoutingSnapshot> snapshot) {
  const std::lock_guard lock(mutex_);
  snapshot_.swap(snapshot);
}

void PublishedState::set_directory(std::shared_ptr<const delivery::EndpointDirectory> directory) {
  const std::lock_guard lock(mutex_);
  directory_.swap(directory);
}

void PublishedState::set_unroutable_replicas(std::vector<std::string> names) {
  const std::lock_guard lock(mutex_);
  unroutable_replicas_.swap(names);
}

}  // namespace ospreypost::control_plane
