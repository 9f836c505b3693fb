/// Follows the platform's discovery: a watch over HTTP/1.1 that is opened anew whenever it breaks.
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

/// Receives what discovery sends. Called from the watcher's threads, one call at a time.
class EndpointListHandler {
 public:
  virtual ~EndpointListHandler() = default;
  virtual void on_endpoint_list_update(const EndpointListUpdate& update) = 0;
  /// The watch broke, or what came could not be used. The last list stays in force.
  virtual void on_discovery_error(const std::string& why) = 0;
};

/// Watches one address until it is stopped. The list only goes forward: an update that is older than the
/// known revision is dropped, whichever address sends it. Thread-safe.
///
/// Lock order: `watches_mutex_`, then a watch's own lock; `update_mutex_`, then whatever the handler takes.
/// `update_mutex_` is never taken while one of the others is held. `watches_mutex_` is held while a thread is
/// joined that may hold `update_mutex_`, so the handler must not call the watcher.
class DiscoveryWatcher {
 public:
  struct Timeouts {
    /// For a connection to be made, and again for the request to be sent.
    net::Steady::duration connect = std::chrono::seconds(1);
    /// Without a complete line for this long the watch counts as broken: discovery sends an empty line every
    /// 2 s while nothing changes. Together with a backoff and a connection it stays below the 6 s after which
    /// discovery counts a change as received.
    net::Steady::duration idle = std::chrono::seconds(3);
    /// After a move the old address is read for this long: what it has written counts as received, and the
    /// new address may be behind it.
    net::Steady::duration draining = std::chrono::seconds(2);
    /// An address that sends older lists for this long is not behind, but has begun anew: its next complete
    /// list is taken over.
    net::Steady::duration stale = std::chrono::seconds(60);
  };

  /// `revision` is that of the list that is known already. `handler` must outlive the watcher. Throws
  /// `net::Error` if no thread can be had.
  DiscoveryWatcher(const net::Address& address, std::uint64_t revision, EndpointListHandler& handler)
      : DiscoveryWatcher(address, revision, handler, Timeouts{}) {}
  DiscoveryWatcher(const net::Address& address, std::uint64_t revision, EndpointListHandler& handler,
                   const Timeouts& timeouts);
  ~DiscoveryWatcher();

  /// Watches another address at once; the old one is read on for a short while.
  void move_to(const net::Address& address);
  /// Requests the complete list anew.
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
  const Timeouts timeouts_;

  // Held while the handler is called, so that updates arrive in their order.
  mutable std::mutex update_mutex_;
  std::uint64_t revision_;  // guarded by `update_mutex_`

  // Guards the watches below; no I/O and no call of the handler while it is held.
  std::mutex watches_mutex_;
  std::unique_ptr<AddressWatch> current_watch_;
  std::vector<std::unique_ptr<AddressWatch>> draining_watches_;  // the oldest first
};

}  // namespace ospreypost::discovery
