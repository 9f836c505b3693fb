// Limits the number of connections per client address of a server, and shuts all connections down when the
// server stops.
#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "net/socket.h"

namespace ospreypost::net {

class ConnectionLimiter {
 public:
  explicit ConnectionLimiter(std::size_t max_per_host) : max_per_host_(max_per_host) {}

  // Counts a new connection of the client address `host`. Returns false, and does not count the connection,
  // if the address already has `max_per_host` connections, so that one client cannot occupy all connections.
  bool admit(const std::string& host) {
    const std::lock_guard lock(mutex_);
    auto& count = connections_by_host_[host];
    if (count >= max_per_host_) return false;
    ++count;
    return true;
  }
  // Removes a connection that admit() counted from the count of its client address.
  void release(const std::string& host) {
    const std::lock_guard lock(mutex_);
    if (--connections_by_host_[host] == 0) connections_by_host_.erase(host);
  }

  // Registers the descriptor of a connection that is about to be served. close() shuts the descriptor down,
  // so that a thread waiting on the connection returns at once. Returns false if close() was already called;
  // the connection must not be served then.
  bool enter(int descriptor) {
    const std::lock_guard lock(mutex_);
    if (closed_) return false;
    open_descriptors_.insert(descriptor);
    return true;
  }
  // Unregisters a descriptor. Must be called before the descriptor is closed.
  void leave(int descriptor) {
    const std::lock_guard lock(mutex_);
    open_descriptors_.erase(descriptor);
  }
  // Shuts down all registered descriptors; enter() returns false from now on.
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    for (const int descriptor : open_descriptors_) shut_down(descriptor);
  }

 private:
  const std::size_t max_per_host_;
  std::mutex mutex_;
  bool closed_ = false;
  std::map<std::string, std::size_t> connections_by_host_;
  std::set<int> open_descriptors_;
};

}  // namespace ospreypost::net
