/// Receives endpoint lists from the platform's discovery by a watch over HTTP/1.1.
/// A watch whose connection breaks is reopened.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "discovery/endpoint_list_update.h"
#include "net/socket.h"

namespace ospreypost::discovery {

/// Receives the updates of the endpoint list. Called from the watcher's threads, one call at a time.
class EndpointListHandler {
 public:
  virtual ~EndpointListHandler() = default;
  virtual void on_endpoint_list_update(const EndpointListUpdate& update) = 0;
  /// Called when the connection of a watch breaks, or a message cannot be used. The last list stays in force.
  virtual void on_discovery_error(const std::string& why) = 0;
};

/// Watches one discovery address until stop() is called. An update that is older than the known revision is
/// dropped, regardless of the address that sent the update. Thread-safe.
///
/// Lock order: `watches_mutex_` before the mutex of a watch; `update_mutex_` before the locks that the
/// handler takes. `update_mutex_` is never taken while another of these locks is held. `watches_mutex_` is
/// held while a thread is joined that may hold `update_mutex_`, so the handler must not call the watcher.
class DiscoveryWatcher {
 public:
  struct Limits {
    /// Maximum time to establish a connection, and again to send the request.
    net::Steady::duration connect = std::chrono::seconds(1);
    /// Maximum time between two complete lines, after which the connection counts as broken. Discovery sends
    /// an empty line every 2 s while nothing changes. The sum of this time, a backoff and a connection setup
    /// stays below the 6 s after which discovery counts a change as received.
    net::Steady::duration idle = std::chrono::seconds(3);
    /// Time for which the old address is still read after a move. Discovery counts the updates that the old
    /// address has written as received, and the new address may be behind the old one.
    net::Steady::duration draining = std::chrono::seconds(2);
    /// An address that sends only older lists for this long is not behind: its server has restarted, and its
    /// revisions have started anew. The next complete list from the address is accepted then.
    net::Steady::duration stale = std::chrono::seconds(60);
    /// Maximum length of a line. A longer line counts as an error of the connection.
    std::size_t max_line_bytes = std::size_t{8} << 20;
  };

  /// `revision` is the revision of the list that the caller already has. `handler` must outlive the watcher.
  /// Throws `net::Error` if no thread can be created.
  DiscoveryWatcher(const net::Address& address, std::uint64_t revision, EndpointListHandler& handler)
      : DiscoveryWatcher(address, revision, handler, Limits{}) {}
  DiscoveryWatcher(const net::Address& address, std::uint64_t revision, EndpointListHandler& handler,
                   const Limits& limits);
  ~DiscoveryWatcher();

  /// Watches another address at once. The old address is still read for the time `Limits::draining`.
  void move_to(const net::Address& address);
  /// Requests the complete list on a new connection.
  void refresh();
  /// Ends all watches and joins their threads.
  void stop();

 private:
  class AddressWatch;
  enum class StaleListPolicy { drop, accept_complete };

  bool apply(const EndpointListUpdate& update, StaleListPolicy policy);
  std::uint64_t revision() const;
  void report_error(const std::string& why);

  EndpointListHandler& handler_;
  const Limits limits_;

  // Held while the handler is called, so that the handler receives updates in the order of their revisions.
  mutable std::mutex update_mutex_;
  std::uint64_t revision_;  // Guarded by `update_mutex_`.

  // Guards `current_watch_` and `draining_watches_`. Not held during I/O or calls of the handler.
  std::mutex watches_mutex_;
  std::unique_ptr<AddressWatch> current_watch_;
  std::vector<std::unique_ptr<AddressWatch>> draining_watches_;  // Oldest first.
};

}  // namespace ospreypost::discovery
