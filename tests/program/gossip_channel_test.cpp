/// Tests of gossip on loopback: which senders are accepted, and the maximum message length.
#include "platform/gossip_channel.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "net/socket.h"
#include "policy/controller.h"
#include "program/platform_support.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using test::Words;

void ignore_message(PeerId, std::string_view) {}

TEST(GossipChannelTest, AcceptsMessagesOnlyFromPeersAndLimitsTheLength) {
  const net::Address any{"127.0.0.1", 0};
  const auto first_peer = net::bind_udp(any);
  std::mutex mutex;
  std::condition_variable changed;
  Words received;  // guarded by `mutex`
  const auto receive = [&](PeerId peer, std::string_view message) {
    const std::lock_guard lock(mutex);
    received.push_back(std::to_string(static_cast<int>(peer)) + std::string(message));
    changed.notify_all();
  };
  const GossipChannel second_peer(any, {}, any, ignore_message);
  const GossipChannel receiver(any, {net::local_address(first_peer), second_peer.address()}, any, receive);
  GossipChannel outsider(any, {receiver.address()}, receiver.address(), ignore_message);
  EXPECT_FALSE(outsider.send_to_peer(PeerId{0}, std::string(257, 'x')));
  EXPECT_FALSE(outsider.send_to_peer(PeerId{1}, "x")) << "no peer has that number";
  EXPECT_TRUE(outsider.send_to_peer(std::nullopt, "an outsider's"));
  const std::string_view message = "a peer's";
  net::send_to(first_peer, {reinterpret_cast<const std::uint8_t*>(message.data()), message.size()},
               receiver.address());
  std::unique_lock lock(mutex);
  EXPECT_TRUE(changed.wait_for(lock, 10s, [&] { return !received.empty(); }));
  EXPECT_EQ(received, Words{"0a peer's"});
}

}  // namespace
}  // namespace ospreypost::platform
