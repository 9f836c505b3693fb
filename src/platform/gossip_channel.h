/// Gossip between control plane instances: carries the controllers' messages in UDP datagrams, which may
/// arrive late, out of order or not at all.
#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "net/threads.h"
#include "policy/controller.h"

namespace ospreypost::platform {

/// Sends gossip messages to peer instances, and receives gossip messages on a thread of its own.
class GossipChannel {
 public:
  /// Called from the receiving thread with each message from a known peer.
  using MessageCallback = std::function<void(PeerId, std::string_view)>;
  /// `peers`: peer addresses, indexed by `PeerId`. `all_peers`: address that delivers to every peer. Starts
  /// receiving on `listen`. Throws `net::Error` if the `listen` address cannot be bound.
  GossipChannel(const net::Address& listen, std::vector<net::Address> peers, net::Address all_peers,
                MessageCallback on_message);
  ~GossipChannel() { stop(); }
  /// Returns the bound address, with the port that the system chose if the `listen` address had port 0.
  net::Address address() const { return net::local_address(socket_); }
  /// Sends a message to one peer, or to all peers if `peer` is empty. Returns false without sending if the
  /// peer is unknown or the message is longer than 256 bytes, the platform's limit. Thread-safe.
  bool send_to_peer(std::optional<PeerId> peer, std::string_view message);
  /// Joins the receiving thread; the callback is not called afterwards.
  void stop();

 private:
  void receive_until_stopped();
  std::optional<PeerId> find_peer(const net::Address& sender) const;

  const std::vector<net::Address> peers_;
  const net::Address all_peers_;
  const MessageCallback on_message_;
  net::Socket socket_;
  std::atomic<bool> stopping_ = false;
  net::Thread receiver_;
};

}  // namespace ospreypost::platform
