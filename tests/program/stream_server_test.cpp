/// Tests of race conditions between events on streams. Scripted peers on loopback produce the critical order
/// of events in each test. docs/notes/crossings.md has a row for each race condition.
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

// Records each event. `pause` blocks the server's thread, so that a test can prepare several events which the
// thread handles in one iteration after `resume`.
class PausingHandler : public StreamEventHandler {
 public:
  void on_proxy_joined(ProxyId proxy, ZoneId, double, bool) override {
    record("joined " + std::to_string(static_cast<int>(proxy)));
  }
  void on_proxy_left(ProxyId proxy) override { record("left " + std::to_string(static_cast<int>(proxy))); }
  void on_replica_load_report(const ReplicaLoadReport&) override { record("load report"); }
  void on_demand_report(ProxyId, const DemandReport&) override { record("demand report"); }
  void on_acknowledgement(ProxyId, std::uint64_t, Nanos) override { record("acknowledgement"); }
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

  // Returns once the server's thread is blocked.
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
  void record(const std::string& event) {
    const std::lock_guard lock(mutex_);
    events_.push_back(event);
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  // The members below are guarded by `mutex_`.
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
  std::unique_ptr<StreamServer> make_server(std::size_t max_connections,
                                            std::size_t max_message_bytes = 65536) {
    MessageNames names;
    names.classes = {"read"};
    names.zones = {"east"};
    names.proxies = 400;
    return std::make_unique<StreamServer>(
        net::Address{"127.0.0.1", 0},
        StreamServer::Limits{max_connections, collector_silence, max_message_bytes}, names, handler);
  }
  void restart_server(std::size_t max_connections) {
    server->stop();
    server = make_server(max_connections);
  }
  // Returns a connected peer whose connection the server has accepted.
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

  net::Steady::duration collector_silence = 1h;
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
  EXPECT_TRUE(older.receive().empty()) << "the older connection is closed";
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

// Sends each byte in a separate write, and stops if the server closes the connection.
void send_single_bytes(test::Peer& peer, std::string_view bytes) {
  try {
    for (std::size_t n = 0; n < bytes.size(); ++n) peer.send_raw(bytes.substr(n, 1));
  } catch (const net::Error&) {
    return;
  }
}

TEST_F(StreamServerTest, NeverAssemblesAMessageFromTwoConnections) {
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

TEST_F(StreamServerTest, KeepsConnectionsWithAnUnreadHelloWhenANewOneIsAccepted) {
  restart_server(2);
  auto first = accepted_peer();
  auto second = accepted_peer();
  handler.pause();
  // The server accepts the new connection before it reads the two hellos, all in one iteration.
  test::Peer third(server->address());
  first.send_hello("1");
  second.send_hello("2");
  handler.resume();
  EXPECT_TRUE(handler.wait_for("joined 1"));
  EXPECT_TRUE(handler.wait_for("joined 2"));
  EXPECT_TRUE(third.receive().empty()) << "no connection that joined is closed in favour of the new one";
}

TEST_F(StreamServerTest, ReadsAPendingHelloWhenTheIdentificationTimeoutExpires) {
  constexpr int kPeers = 300;  // more connections than one wait of the poller returns
  restart_server(kPeers + 10);
  std::deque<test::Peer> peers;
  for (int n = 0; n < kPeers; ++n) peers.emplace_back(server->address());
  // Connections are accepted in order, so all are accepted once the server answers on the last connection.
  ASSERT_EQ(request_liveness(peers.back()), Words{"alive"});
  handler.pause();
  for (int n = 0; n < kPeers; ++n) peers[static_cast<std::size_t>(n)].send_hello(std::to_string(n));
  std::this_thread::sleep_for(1600ms);  // longer than the identification timeout of 1.5 s
  handler.resume();
  for (int n = 0; n < kPeers; ++n) EXPECT_TRUE(handler.wait_for("joined " + std::to_string(n)));
}

test::Peer collector_at(const net::Address& address) {
  test::Peer peer(address);
  peer.send({"agent", "site", "east"});
  EXPECT_EQ(request_liveness(peer), Words{"alive"});
  return peer;
}

// Guards against connections of collectors whose machines vanished, which take all places in the end (review
// case 3).
TEST_F(StreamServerTest, ClosesTheLongestSilentCollectorForANewConnection) {
  collector_silence = 0s;
  restart_server(3);
  auto proxy = accepted_peer();
  proxy.send_hello("3");
  ASSERT_TRUE(handler.wait_for("joined 3"));
  auto silent = collector_at(server->address());
  auto reporting = collector_at(server->address());
  test::Peer newcomer(server->address());
  EXPECT_EQ(request_liveness(newcomer), Words{"alive"});
  EXPECT_TRUE(silent.receive().empty());
  EXPECT_EQ(request_liveness(reporting), Words{"alive"});
  EXPECT_EQ(request_liveness(proxy), Words{"alive"}) << "proxies may be silent";
}

TEST_F(StreamServerTest, KeepsCollectorsThatReportedLately) {
  restart_server(1);
  auto collector = collector_at(server->address());
  test::Peer newcomer(server->address());
  EXPECT_TRUE(newcomer.receive().empty());
  EXPECT_EQ(request_liveness(collector), Words{"alive"});
}

/// Sends `bytes` until the server closes the connection or `most` bytes were sent. Returns whether it was
/// closed.
bool send_until_closed(test::Peer& peer, const std::string& bytes, std::size_t most) {
  try {
    for (std::size_t sent = 0; sent < most; sent += bytes.size()) peer.send_raw(bytes);
  } catch (const net::Error&) {
    return true;
  }
  return false;
}

std::string liveness_requests(std::size_t count) {
  std::string bytes;
  for (std::size_t n = 0; n < count; ++n) resp::write_message(bytes, {"probe"});
  return bytes;
}

// Guards against peers that make the server keep their unread answers in memory.
TEST_F(StreamServerTest, ClosesAConnectionWhoseAnswersAreNotRead) {
  auto peer = accepted_peer();
  peer.send_hello("3");
  ASSERT_TRUE(handler.wait_for("joined 3"));
  // The buffers of both sockets take some megabytes of answers.
  EXPECT_TRUE(send_until_closed(peer, liveness_requests(1000), std::size_t{64} << 20));
  EXPECT_TRUE(handler.wait_for("left 3"));
}

TEST_F(StreamServerTest, AnswersManyLivenessRequestsThatArriveTogether) {
  constexpr std::size_t kRequests = 5000;
  auto peer = accepted_peer();
  peer.send_raw(liveness_requests(kRequests));
  for (std::size_t n = 0; n < kRequests; ++n) ASSERT_EQ(peer.receive(), Words{"alive"});
}

// Guards against peers that stop half way through large messages.
TEST_F(StreamServerTest, ClosesAConnectionWithAMessageAboveTheLimit) {
  server->stop();
  server = make_server(40, 8192);
  auto allowed = accepted_peer();
  allowed.send_hello("3");
  allowed.send({"dance", std::string(8000, 'x')});
  EXPECT_EQ(request_liveness(allowed), Words{"alive"});
  auto rejected = accepted_peer();
  rejected.send_hello("4");
  rejected.send_raw("*2\r\n$5\r\ndance\r\n$8192\r\n");
  EXPECT_TRUE(rejected.receive().empty());
}

// Guards against a connection whose messages are all handled before others have their turn.
TEST_F(StreamServerTest, ReadsAShareOfALongBacklogInEachIteration) {
  auto busy = accepted_peer();
  busy.send_hello("3");
  ASSERT_TRUE(handler.wait_for("joined 3"));
  auto other = accepted_peer();
  std::string reports;
  for (int n = 0; n < 1000; ++n) {
    resp::write_message(reports,
                        {"demand", "id", "3", "lane", "read", "count", "19", "fail", "0", "over", "1000.0"});
  }
  handler.pause();
  busy.send_raw(reports);
  other.send_hello("4");
  handler.resume();
  ASSERT_TRUE(handler.wait_for("joined 4"));
  const auto events = handler.events();
  const auto joined = std::find(events.begin(), events.end(), "joined 4");
  EXPECT_LT(std::count(events.begin(), joined, "demand report"), 80) << "4 KiB of messages in an iteration";
}

// Guards against a proxy that joins again and again on its stream, which costs a set of tables each time.
TEST_F(StreamServerTest, DropsASecondHelloWithTheSameId) {
  auto peer = accepted_peer();
  for (int n = 0; n < 3; ++n) peer.send_hello("3");
  send_acknowledgement(peer);
  ASSERT_TRUE(handler.wait_for("acknowledgement"));
  EXPECT_EQ(handler.events(), (Words{"joined 3", "acknowledgement"}));
}

// Changes the limit of the process's file descriptors; the destructor restores the previous limit.
class DescriptorLimit {
 public:
  DescriptorLimit() : has_previous_(::getrlimit(RLIMIT_NOFILE, &previous_) == 0) {}
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;
  ~DescriptorLimit() {
    if (has_previous_) ::setrlimit(RLIMIT_NOFILE, &previous_);
  }
  bool was_read() const { return has_previous_; }
  bool lower_to(rlim_t descriptors) const {
    const rlimit lowered{std::min(descriptors, previous_.rlim_max), previous_.rlim_max};
    return ::setrlimit(RLIMIT_NOFILE, &lowered) == 0;
  }

 private:
  rlimit previous_{};
  const bool has_previous_;
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

TEST_F(StreamServerTest, ServesJoinedProxiesWhileDescriptorsAreExhausted) {
  const DescriptorLimit limit;
  ASSERT_TRUE(limit.was_read());
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
  // The server closes the unidentified connection to accept the first newcomer; it has none to close for the
  // second. Meanwhile the server must answer the proxy that joined, and must not loop without waiting.
  EXPECT_TRUE(unidentified.receive().empty());
  ASSERT_TRUE(handler.wait_for("joined 2"));
  for (int n = 0; n < 5; ++n) {
    EXPECT_EQ(request_liveness(joined), Words{"alive"});
    std::this_thread::sleep_for(50ms);
  }
  EXPECT_LT(handler.iterations() - iterations_before, 200U);
  descriptors.clear();
  send_hello_on(newcomers[1], "3");
  EXPECT_TRUE(handler.wait_for("joined 3")) << "the second newcomer is accepted once descriptors are free";
}

}  // namespace
}  // namespace ospreypost::platform
