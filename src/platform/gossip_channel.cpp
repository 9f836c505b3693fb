#include "platform/gossip_channel.h"

#include <algorithm>
#include <array>

namespace ospreypost::platform {
namespace {

constexpr std::size_t kMostBytes = 256;  // a longer one voids the platform's run
constexpr std::size_t kStack = 64 * 1024;
constexpr auto kLook = std::chrono::milliseconds(200);  // for the end of service, between waits

}  // namespace

GossipChannel::GossipChannel(const net::Address& listen, std::vector<net::Address> peers,
                             const net::Address& all, Heard heard)
    : peers_(std::move(peers)), all_(all), heard_(std::move(heard)), socket_(net::bind_udp(listen)) {
  thread_ = net::Thread(
      "peers", [this] { this->listen(); }, kStack);
}

void GossipChannel::stop() {
  stopping_ = true;
  thread_.join();
}

bool GossipChannel::send_to_peer(std::optional<PeerId> peer, std::string_view message) {
  const auto number = peer ? static_cast<std::size_t>(*peer) : 0;
  if (message.size() > kMostBytes || (peer && number >= peers_.size())) return false;
  net::send_to(socket_, {reinterpret_cast<const std::uint8_t*>(message.data()), message.size()},
               peer ? peers_[number] : all_);
  return true;
}

void GossipChannel::listen() {
  // One byte more than may come, so that what was cut is seen to be.
  std::array<std::uint8_t, kMostBytes + 1> bytes;
  while (!stopping_) {
    const auto got = net::receive_from(socket_, bytes, net::Steady::now() + kLook);
    if (!got || got->first > kMostBytes) continue;
    const auto from = std::find(peers_.begin(), peers_.end(), got->second);
    // Whoever is no peer says nothing here.
    if (from == peers_.end()) continue;
    heard_(PeerId{static_cast<std::uint16_t>(from - peers_.begin())},
           {reinterpret_cast<const char*>(bytes.data()), got->first});
  }
}

}  // namespace ospreypost::platform
