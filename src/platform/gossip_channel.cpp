#include "platform/gossip_channel.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "net/socket.h"
#include "net/threads.h"
#include "policy/controller.h"

namespace ospreypost::platform {
namespace {

// The platform terminates an instance that sends a longer gossip message.
constexpr std::size_t kMaxMessageBytes = 256;
constexpr std::size_t kReceiverStackBytes = std::size_t{64} * 1024;
constexpr auto kStopCheckInterval = std::chrono::milliseconds(200);

}  // namespace

GossipChannel::GossipChannel(const net::Address& listen, std::vector<net::Address> peers,
                             net::Address all_peers, MessageCallback on_message)
    : peers_(std::move(peers)),
      all_peers_(std::move(all_peers)),
      on_message_(std::move(on_message)),
      socket_(net::bind_udp(listen)),
      receiver_(
          "peers", [this] { receive_until_stopped(); }, kReceiverStackBytes) {}

void GossipChannel::stop() {
  stopping_ = true;
  receiver_.join();
}

bool GossipChannel::send_to_peer(std::optional<PeerId> peer, std::string_view message) {
  const auto index = peer ? static_cast<std::size_t>(*peer) : 0;
  if (message.size() > kMaxMessageBytes || (peer && index >= peers_.size())) return false;
  net::send_to(socket_, {reinterpret_cast<const std::uint8_t*>(message.data()), message.size()},
               peer ? peers_[index] : all_peers_);
  return true;
}

void GossipChannel::receive_until_stopped() {
  // The buffer is one byte larger than the longest permitted message. A datagram larger than the buffer is
  // truncated, and could not be distinguished from one of the permitted length without the extra byte.
  std::array<std::uint8_t, kMaxMessageBytes + 1> buffer{};
  while (!stopping_) {
    const auto datagram = net::receive_from(socket_, buffer, net::Steady::now() + kStopCheckInterval);
    if (!datagram) continue;
    const auto& [size, sender] = *datagram;
    if (size > kMaxMessageBytes) continue;
    if (const auto peer = find_peer(sender))
      on_message_(*peer, {reinterpret_cast<const char*>(buffer.data()), size});
  }
}

std::optional<PeerId> GossipChannel::find_peer(const net::Address& sender) const {
  const auto found = std::find(peers_.begin(), peers_.end(), sender);
  if (found == peers_.end()) return std::nullopt;
  return PeerId{static_cast<std::uint16_t>(found - peers_.begin())};
}

}  // namespace ospreypost::platform
