/// Events on streams that can cross, each made to happen in the bad order by scripted peers on loopback.
/// docs/notes/crossings.md has a row for each.
#include "platform/stream_server.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "net/socket.h"
#include "platform/messages.h"
#include "policy/controller.h"
#include "program/platform_support.h"
#include "resp/resp.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using test::request_liveness;
using test::Words;

// Records each event, and holds the server's thread while a test arranges what that will find.
class PausingHandler : public StreamEventHandler {
 public:
  void on_proxy_joined(ProxyId proxy, ZoneId, double, bool) override {
    note("joined " + std::to_string(static_cast<int>(proxy)));
  }
  void on_proxy_left(ProxyId proxy) override { note("left " + std::to_string(static_cast<int>(proxy))); }
  void on_replica_load_report(const ReplicaLoadReport&) override { note("load report"); }
  void on_demand_report(ProxyId, const DemandReport&) override { note("demand report"); }
  void on_acknowledgement(ProxyId, std::uint64_t, Nanos) override { note("acknowledgement"); }
  std::vector<ProxyId> due_proxies() override {
    std::unique_lock lock(mutex_);
    ++iterations_;
    paused_ = true;
    changed_.notify_all();
    changed_.wait(lock, [this] { return !pause_requested_; });
    paused_ = false;
    return {};
  }
  std::string next_message(ProxyId) override { return {}; }
  void log_peer_error(const std::string&) override {}

  // Returns once the server's thread stands.
  void pause() {
    std::unique_lock lock(mutex_);
    pause_requested_ = true;
    paused_ = false;
    changed_.wait(lock, [this] { return paused_; });
  }
  void resume() {
    const std::lock_guard lock(mutex_);
    pause_requested_ = false;
    changed_.notify_all();
  }
  bool wait_for(const std::string& event) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, 10s,
                             [&] { return std::count(events_.begin(), events_.end(), event) > 0; });
  }
  Words events() {
    const std::lock_guard lock(mutex_);
    return events_;
  }
  std::size_t iterations() {
    const std::lock_guard lock(mutex_);
    return iterations_;
  }

 private:
  void note(const std::string& event) {
    const std::lock_guard lock(mutex_);
    events_.push_back(event);
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  // Guarded by `mutex_`.
  Words events_;
  std::size_t iterations_ = 0;
  bool pause_requested_ = false;
  bool paused_ = false;
};

struct StreamServerTest : testing::Test {
  void TearDown() override {
    handler.resume();
    server->stop();
  }
  std::unique_ptr<StreamServer> make_server(std::size_t max_connections) {
    MessageNames names;
    names.classes = {"read"};
    names.zones = {"east"};
    names.proxies = 400;
    return std::make_unique<StreamServer>(net::Address{"127.0.0.1", 0}, max_connections, names, handler);
  }
  void restart_server(std::size_t max_connections) {
    server->stop();
    server = make_server(max_connections);
  }
  // Connected, and known to the server.
  test::Peer accepted_peer() const {
    test::Peer peer(server->address());
    EXPECT_EQ(request_liveness(peer), Words{"alive"});
    return peer;
  }
  static void send_acknowledgement(test::Peer& peer) {
    peer.send({"ack", "id", "3", "seq", "905", "ms", "310.4"});
  }
  static void send_demand(test::Peer& peer) {
    peer.send({"demand", "id", "3", "lane", "read", "count", "19", "fail", "0", "over", "1000.0"});
  }

  PausingHandler handler;
  std::unique_ptr<StreamServer> server = make_server(40);
};

std::string hello_bytes(std::string_view id) {
  std::string bytes;
  resp::write_message(bytes, {"hello", "id", id, "site", "east", "rps", "20.5", "new", "1"});
  return bytes;
}

TEST_F(StreamServerTest, ClosesTheOlderConnectionWhoseHelloArrivesAfterTheNewerJoined) {
  auto older = accepted_peer();
  auto newer = accepted_peer();
  newer.send_hello("3");
  ASSERT_TRUE(handler.wait_for("joined 3"));
  older.send_hello("3");
  EXPECT_TRUE(older.receive().empty()) << "it is closed";
  EXPECT_EQ(request_liveness(newer), Words{"alive"});
  EXPECT_EQ(handler.events(), Words{"joined 3"});
}

TEST_F(StreamServerTest, IgnoresTheEndOfAnOlderStreamAfterTheNewerJoined) {
  auto older = accepted_peer();
  older.send_hello("3");
  ASSERT_TRUE(handler.wait_for("joined 3"));
  auto newer = accepted_peer();
  handler.pause();
  newer.send_hello("3");
  send_demand(older);
  older.close();
  handler.resume();
  send_acknowledgement(newer);
  ASSERT_TRUE(handler.wait_for("acknowledgement"));
  EXPECT_EQ(request_liveness(newer), Words{"alive"});
  const auto events = handler.events();
  EXPECT_EQ(std::count(events.begin(), events.end(), "left 3"), 0) << "the proxy has not left";
}

TEST_F(StreamServerTest, DropsASecondHelloWithAnotherId) {
  auto peer = accepted_peer();
  peer.send_hello("3");
  peer.send_hello("4");
  send_acknowledgement(peer);
  ASSERT_TRUE(handler.wait_for("acknowledgement"));
  EXPECT_EQ(handler.events(), (Words{"joined 3", "acknowledgement"}));
  peer.close();
  EXPECT_TRUE(handler.wait_for("left 3"));
}

TEST_F(StreamServerTest, DispatchesCompleteMessagesBeforeAReset) {
  auto peer = accepted_peer();
  peer.send_hello("3");
  ASSERT_TRUE(handler.wait_for("joined 3"));
  handler.pause();
  send_acknowledgement(peer);
  send_demand(peer);
  peer.reset();
  handler.resume();
  ASSERT_TRUE(handler.wait_for("left 3"));
  EXPECT_EQ(handler.events(), (Words{"joined 3", "acknowledgement", "demand report", "left 3"}));
}

// Sends each byte on its own, until the server closes the connection.
void send_single_bytes(test::Peer& peer, std::string_view bytes) {
  try {
    for (std::size_t n = 0; n < bytes.size(); ++n) peer.send_raw(bytes.substr(n, 1));
  } catch (const net::Error&) {
    return;
  }
}

TEST_F(StreamServerTest, JoinsNoMessageAcrossTwoConnections) {
  const auto hello = hello_bytes("3");
  const auto half = hello.size() / 2;
  {
    auto first = accepted_peer();
    for (const char byte : hello.substr(0, half)) first.send_raw({&byte, 1});
  }
  auto second = accepted_peer();
  send_single_bytes(second, std::string_view(hello).substr(half));
  while (!second.receive().empty()) {
  }
  auto third = accepted_peer();
  for (const char byte : hello) third.send_raw({&byte, 1});
  ASSERT_TRUE(handler.wait_for("joined 3"));
  EXPECT_EQ(handler.events(), Words{"joined 3"});
}

TEST_F(StreamServerTest, ClosesNoConnectionForANewOneWhoseHelloWaitsToBeRead) {
  restart_server(2);
  auto first = accepted_peer();
  auto second = accepted_peer();
  handler.pause();
  // The new connection is seen before the bytes, in one iteration.
  test::Peer third(server->address());
  first.send_hello("1");
  second.send_hello("2");
  handler.resume();
  EXPECT_TRUE(handler.wait_for("joined 1"));
  EXPECT_TRUE(handler.wait_for("joined 2"));
  EXPECT_TRUE(third.receive().empty()) << "whoever joined is not closed for it";
}

TEST_F(StreamServerTest, ReadsAHelloThatWaitsWhenTheTimeToJoinEnds) {
  constexpr int kPeers = 300;  // more than one wait of the poller tells of
  restart_server(kPeers + 10);
  std::deque<test::Peer> peers;
  for (int n = 0; n < kPeers; ++n) peers.emplace_back(server->address());
  // Connections are accepted in their order, so all are known once the last one is.
  ASSERT_EQ(request_liveness(peers.back()), Words{"alive"});
  handler.pause();
  for (int n = 0; n < kPeers; ++n) peers[static_cast<std::size_t>(n)].send_hello(std::to_string(n));
  std::this_thread::sleep_for(1600ms);  // past the time to join
  handler.resume();
  for (int n = 0; n < kPeers; ++n) EXPECT_TRUE(handler.wait_for("joined " + std::to_string(n)));
}

// The limit of the process's descriptors, which is as before once this is destroyed.
class DescriptorLimit {
 public:
  DescriptorLimit() : known_(::getrlimit(RLIMIT_NOFILE, &before_) == 0) {}
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;
  ~DescriptorLimit() {
    if (known_) ::setrlimit(RLIMIT_NOFILE, &before_);
  }
  bool is_known() const { return known_; }
  bool lower_to(rlim_t descriptors) const {
    const rlimit lowered{std::min(descriptors, before_.rlim_max), before_.rlim_max};
    return ::setrlimit(RLIMIT_NOFILE, &lowered) == 0;
  }

 private:
  rlimit before_{};
  const bool known_;
};

std::vector<net::Socket> take_all_descriptors() {
  std::vector<net::Socket> taken;
  int descriptor = ::fcntl(0, F_DUPFD_CLOEXEC, 0);
  while (descriptor >= 0) {
    taken.emplace_back(descriptor);
    descriptor = ::fcntl(0, F_DUPFD_CLOEXEC, 0);
  }
  return taken;
}

void connect_socket(const net::Socket& socket, const net::Address& address) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(::connect(socket.get(), reinterpret_cast<sockaddr*>(&target), sizeof(target)), 0);
}

void send_hello_on(const net::Socket& socket, std::string_view id) {
  net::write_fully(socket, hello_bytes(id), net::Steady::now() + 10s);
}

TEST_F(StreamServerTest, ServesWhoeverJoinedWhileDescriptorsAreExhausted) {
  const DescriptorLimit limit;
  ASSERT_TRUE(limit.is_known());
  ASSERT_TRUE(limit.lower_to(512));
  auto unidentified = accepted_peer();
  auto joined = accepted_peer();
  joined.send_hello("1");
  ASSERT_TRUE(handler.wait_for("joined 1"));
  std::array<net::Socket, 2> newcomers;
  for (auto& newcomer : newcomers) newcomer = net::Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  handler.pause();
  auto descriptors = take_all_descriptors();
  for (const auto& newcomer : newcomers) ASSERT_NO_FATAL_FAILURE(connect_socket(newcomer, server->address()));
  send_hello_on(newcomers[0], "2");
  const auto iterations_before = handler.iterations();
  handler.resume();
  // The unidentified one is closed for the first newcomer; for the second there is none. Whoever joined is
  // served meanwhile, and the server doesn't iterate without a wait.
  EXPECT_TRUE(unidentified.receive().empty());
  ASSERT_TRUE(handler.wait_for("joined 2"));
  for (int n = 0; n < 5; ++n) {
    EXPECT_EQ(request_liveness(joined), Words{"alive"});
    std::this_thread::sleep_for(50ms);
  }
  EXPECT_LT(handler.iterations() - iterations_before, 200U);
  descriptors.clear();
  send_hello_on(newcomers[1], "3");
  EXPECT_TRUE(handler.wait_for("joined 3")) << "and the second is accepted in the end";
}

}  // namespace
}  // namespace ospreypost::platform
