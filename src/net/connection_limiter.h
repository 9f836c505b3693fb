/// Limits the number of connections of a server and of each client address, and shuts all connections down
/// when the server stops.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace ospreypost::net {

/// At a limit, a new connection replaces the one that has waited longest for its client. Clients that are
/// slow or silent thus cannot keep others out, however many there are. Thread-safe.
class ConnectionLimiter {
 public:
  struct Limits {
    std::size_t max_connections = 0;
    std::size_t max_per_host = 0;  ///< maximum number of connections of one client address
  };
  explicit ConnectionLimiter(const Limits& limits) : limits_(limits) {}

  /// Registers a connection of the client address `host`, which counts as waiting for its client. At a limit,
  /// first shuts down the connection that has waited longest: one of the same address at the limit of that
  /// address. Returns false, and registers nothing, if no connection waits or close() was called.
  bool admit(int descriptor, const std::string& host);
  /// Unregisters a connection. Must be called before its descriptor is closed.
  void release(int descriptor);
  /// Sets whether the server works on a request of the connection, instead of waiting for the client.
  void set_busy(int descriptor, bool busy);
  /// Shuts down all registered connections; admit() returns false from now on.
  void close();

 private:
  struct Connection {
    std::string host;
    std::uint64_t waiting_since = 0;  // position in the order in which connections began to wait
    bool is_busy = false;
    bool was_shut_down = false;
  };
  std::size_t open_connections(const std::optional<std::string>& host) const;
  bool shut_down_longest_waiting(const std::optional<std::string>& host);

  const Limits limits_;
  std::mutex mutex_;
  // The following members are guarded by `mutex_`.
  bool closed_ = false;
  std::uint64_t last_wait_ = 0;
  std::map<int, Connection> connections_;  // by descriptor
};

/// Registers a connection as busy during the lifetime of this object.
class BusyConnection {
 public:
  BusyConnection(ConnectionLimiter& limiter, int descriptor) : limiter_(limiter), descriptor_(descriptor) {
    limiter_.set_busy(descriptor_, true);
  }
  ~BusyConnection() { limiter_.set_busy(descriptor_, false); }
  BusyConnection(const BusyConnection&) = delete;
  BusyConnection& operator=(const BusyConnection&) = delete;

 private:
  ConnectionLimiter& limiter_;
  const int descriptor_;
};

}  // namespace ospreypost::net
