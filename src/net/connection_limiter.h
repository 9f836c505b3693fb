// The connections that a server has open: how many of each address, and which to break when it ends.
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
  explicit ConnectionLimiter(std::size_t most_of_one) : most_of_one_(most_of_one) {}

  // False if the address has as many as one may have: no single one may hold them all.
  bool admit(const std::string& host) {
    const std::lock_guard held(lock_);
    auto& count = of_host_[host];
    if (count >= most_of_one_) return false;
    ++count;
    return true;
  }
  void release(const std::string& host) {
    const std::lock_guard held(lock_);
    if (--of_host_[host] == 0) of_host_.erase(host);
  }

  // Known while it is served, so that whoever waits on it returns at once when the server ends. False, and
  // not to be served, if it has ended.
  bool enter(int descriptor) {
    const std::lock_guard held(lock_);
    if (closed_) return false;
    open_.insert(descriptor);
    return true;
  }
  // Before the descriptor is closed.
  void leave(int descriptor) {
    const std::lock_guard held(lock_);
    open_.erase(descriptor);
  }
  void close() {
    const std::lock_guard held(lock_);
    closed_ = true;
    for (const int descriptor : open_) shut_down(descriptor);
  }

 private:
  const std::size_t most_of_one_;
  std::mutex lock_;
  bool closed_ = false;
  std::map<std::string, std::size_t> of_host_;
  std::set<int> open_;
};

}  // namespace ospreypost::net
