/// Gossip between control plane instances: the controllers' own messages in datagrams, which may come late,
/// out of order or not at all.
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

/// Sends to the peers, and receives from them on a thread of its own.
class GossipChannel {
 public:
  /// Called from the channel's thread with each message of a peer.
  using MessageCallback = std::function<void(PeerId, std::string_view)>;
  /// `peers`: the address of each by its number; `all_peers` reaches every one. Throws `net::Error` if the
  /// address cannot be had. Receives from then on.
  GossipChannel(const net::Address& listen, std::vector<net::Address> peers, net::Address all_peers,
                MessageCallback on_message);
  ~GossipChannel() { stop(); }
  /// Where peers send to, with the port that the system chose if none was given.
  net::Address address() const { return net::local_address(socket_); }
  /// Sends to one peer, or to every one where none is named. False, and nothing is sent, if the peer is
  /// unknown or the message is longer than the platform permits. From any thread.
  bool send_to_peer(std::optional<PeerId> peer, std::string_view message);
  /// Joins the thread; nothing is received afterwards.
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
