#include "net/connection_limiter.h"

#include <algorithm>

#include "net/socket.h"

namespace ospreypost::net {

bool ConnectionLimiter::admit(int descriptor, const std::string& host) {
  const std::lock_guard lock(mutex_);
  if (closed_) return false;
  if (open_connections(host) >= limits_.max_per_host && !shut_down_longest_waiting(host)) return false;
  if (open_connections({}) >= limits_.max_connections && !shut_down_longest_waiting({})) return false;
  connections_[descriptor] = Connection{host, ++last_wait_};
  return true;
}

void ConnectionLimiter::release(int descriptor) {
  const std::lock_guard lock(mutex_);
  connections_.erase(descriptor);
}

void ConnectionLimiter::set_busy(int descriptor, bool busy) {
  const std::lock_guard lock(mutex_);
  auto& connection = connections_.at(descriptor);
  connection.is_busy = busy;
  connection.waiting_since = ++last_wait_;
}

void ConnectionLimiter::close() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  for (const auto& [descriptor, connection] : connections_) shut_down(descriptor);
}

/// Returns the number of connections that were not shut down: of one client address, or of all if `host` is
/// empty.
std::size_t ConnectionLimiter::open_connections(const std::optional<std::string>& host) const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [&](const auto& entry) {
        return !entry.second.was_shut_down && (!host || entry.second.host == *host);
      }));
}

bool ConnectionLimiter::shut_down_longest_waiting(const std::optional<std::string>& host) {
  auto longest = connections_.end();
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    const auto& connection = each->second;
    if (connection.is_busy || connection.was_shut_down || (host && connection.host != *host)) continue;
    if (longest == connections_.end() || connection.waiting_since < longest->second.waiting_since)
      longest = each;
  }
  if (longest == connections_.end()) return false;
  shut_down(longest->first);
  longest->second.was_shut_down = true;
  return true;
}

}  // namespace ospreypost::net
