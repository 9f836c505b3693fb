// What governors say to each other: the module's own words in datagrams, late, out of order or not at all.
#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "net/threads.h"
#include "policy/controller.h"

namespace ospreypost::platform {

class GossipChannel {
 public:
  using Heard = std::function<void(PeerId, std::string_view)>;
  // `peers`: the address of each by its number; `all` reaches every one. `heard` is called from a thread of
  // its own. Throws net::Error if the address cannot be had.
  GossipChannel(const net::Address& listen, std::vector<net::Address> peers, const net::Address& all,
                Heard heard);
  ~GossipChannel() { stop(); }
  net::Address address() const { return net::local_address(socket_); }
  // No peer: every one. What is longer than a datagram may be is not sent, and false.
  bool send_to_peer(std::optional<PeerId> peer, std::string_view message);
  void stop();

 private:
  void listen();

  const std::vector<net::Address> peers_;
  const net::Address all_;
  const Heard heard_;
  net::Socket socket_;
  std::atomic<bool> stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::platform
