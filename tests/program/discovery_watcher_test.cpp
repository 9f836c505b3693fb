/// Tests of the discovery watcher: the parser of endpoint lists, and events that can race.
/// A scripted server on loopback makes each pair of racing events happen in the unfavourable order.
/// docs/notes/crossings.md has a row for each race.
#include "discovery/discovery_watcher.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "net/socket.h"
#include "program/platform_support.h"

namespace ospreypost::discovery {
namespace {

using namespace std::chrono_literals;
using test::endpoint_entry;
using test::endpoint_list;
using test::FakeDiscovery;
using test::Words;

constexpr auto kNever = 1h;  // Longer than any test runs.
constexpr std::uint64_t kRevision = 5;
constexpr const char* kWatchAfterRevision = "/registry/instances?watch=1&after=5";

// A listener whose connections are never established: its accept queue is full, and it accepts no connection
// before open() is called.
class FullListener {
 public:
  FullListener() : listener_(net::listen_tcp({"127.0.0.1", 0}, 0)) {
    try {
      for (int index = 0; index < 2; ++index)
        queued_.push_back(net::connect(address(), net::Steady::now() + 200ms));
    } catch (const net::Error&) {
      return;  // The accept queue is full.
    }
  }
  net::Address address() const { return net::local_address(listener_); }
  // Waits until a client has tried to connect.
  void wait_for_connection_attempt() const {
    while (pending_connections().empty()) std::this_thread::yield();
  }
  // Accepts the connections in the queue, so that further connections can be established.
  std::vector<net::Socket> open() {
    std::vector<net::Socket> accepted;
    queued_.clear();
    while (auto connection = net::accept(listener_, net::Steady::now()))
      accepted.push_back(std::move(connection->first));
    return accepted;
  }
  // Accepts the next connection. Returns an empty socket if none arrives within 20 s.
  net::Socket next() const {
    auto accepted = net::accept(listener_, net::Steady::now() + 20s);
    return accepted ? std::move(accepted->first) : net::Socket();
  }

 private:
  // Returns the lines of the system's TCP table for connections to this listener that a client has requested
  // and that are not established yet.
  Words pending_connections() const {
    constexpr const char* kSynSent = "02";
    std::array<char, 8> port{};
    std::snprintf(port.data(), port.size(), ":%04X", address().port);
    std::ifstream table("/proc/net/tcp");
    Words pending;
    for (std::string line; std::getline(table, line);) {
      std::istringstream words(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      words >> number >> local >> remote >> state;
      if (remote.ends_with(port.data()) && state == kSynSent) pending.push_back(line);
    }
    return pending;
  }

  net::Socket listener_;
  std::vector<net::Socket> queued_;
};

class RecordingHandler : public EndpointListHandler {
 public:
  void on_endpoint_list_update(const EndpointListUpdate& list) override {
    const std::lock_guard lock(mutex_);
    revisions_.push_back(list.revision);
    changed_.notify_all();
  }
  void on_discovery_error(const std::string&) override {}
  bool wait_for(std::uint64_t revision) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, 10s, [&] { return !revisions_.empty() && revisions_.back() == revision; });
  }
  std::vector<std::uint64_t> revisions() {
    const std::lock_guard lock(mutex_);
    return revisions_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::uint64_t> revisions_;  // Guarded by `mutex_`.
};

DiscoveryWatcher::Limits timeouts(net::Steady::duration connect, net::Steady::duration idle) {
  DiscoveryWatcher::Limits result;
  result.connect = connect;
  result.idle = idle;
  return result;
}

struct DiscoveryWatcherTest : testing::Test {
  RecordingHandler handler;
};

// --- Events while a connection is being established

TEST_F(DiscoveryWatcherTest, StopsWhileItConnects) {
  const FullListener full;
  DiscoveryWatcher watcher(full.address(), kRevision, handler, timeouts(kNever, kNever));
  full.wait_for_connection_attempt();
  watcher.stop();
}

TEST_F(DiscoveryWatcherTest, MovesWhileItConnects) {
  const FullListener full;
  DiscoveryWatcher watcher(full.address(), kRevision, handler, timeouts(kNever, kNever));
  full.wait_for_connection_attempt();
  FakeDiscovery other;
  watcher.move_to(net::Address::parse(other.address()));
  EXPECT_EQ(other.next_watch(), kWatchAfterRevision);
}

// Returns the first request that a client sends to the listener, at least up to the end of its first line.
std::string receive_request(const FullListener& listener) {
  std::string request;
  auto socket = listener.next();
  while (socket && request.find("\r\n") == std::string::npos) {
    std::array<char, 512> buffer{};
    const auto size = net::read_some(socket, buffer, net::Steady::now() + 10s);
    if (size == 0) socket = listener.next();
    request.append(buffer.data(), size);
  }
  return request;
}

TEST_F(DiscoveryWatcherTest, RequestsTheCompleteListAfterARefreshWhileItConnects) {
  FullListener full;
  DiscoveryWatcher watcher(full.address(), kRevision, handler, timeouts(kNever, kNever));
  full.wait_for_connection_attempt();
  watcher.refresh();
  const auto accepted = full.open();
  const auto request = receive_request(full);
  EXPECT_TRUE(request.starts_with("GET /registry/instances?watch=1 HTTP")) << request;
}

TEST_F(DiscoveryWatcherTest, MovesAgainWhileTheFirstMoveConnects) {
  const FullListener first;
  const FullListener second;
  DiscoveryWatcher watcher(first.address(), kRevision, handler, timeouts(kNever, kNever));
  first.wait_for_connection_attempt();
  watcher.move_to(second.address());
  second.wait_for_connection_attempt();
  FakeDiscovery third;
  watcher.move_to(net::Address::parse(third.address()));
  EXPECT_EQ(third.next_watch(), kWatchAfterRevision);
  watcher.stop();
}

// --- Bytes that do not complete a line

TEST_F(DiscoveryWatcherTest, ReconnectsAfterHalfALineAndSilence) {
  FakeDiscovery discovery;
  const DiscoveryWatcher watcher(net::Address::parse(discovery.address()), kRevision, handler,
                                 timeouts(10s, 100ms));
  discovery.next_watch();
  discovery.write("40\r\n{\"revision\":6,");
  EXPECT_EQ(discovery.next_watch(), kWatchAfterRevision);
}

// Sends `head` and then up to 8000 single bytes, one per millisecond, so that the reader never waits long for
// a byte. Returns whether the watcher closed the connection before all bytes were sent.
bool closes_connection_during_trickle(FakeDiscovery& discovery, const std::string& head) {
  try {
    discovery.write(head);
    for (std::size_t written = 0; written < 8000; ++written) {
      discovery.write("x");
      std::this_thread::sleep_for(1ms);
    }
  } catch (const net::Error&) {
    return true;
  }
  return false;
}

TEST_F(DiscoveryWatcherTest, TreatsATrickleOfBytesAsSilence) {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n", "HTTP/1.1 200 OK\r\nX-Pad: "}) {
    FakeDiscovery discovery;
    const DiscoveryWatcher watcher(net::Address::parse(discovery.address()), kRevision, handler,
                                   timeouts(10s, 200ms));
    discovery.next_request();
    EXPECT_TRUE(closes_connection_during_trickle(discovery, head)) << "before the line or the header ended";
  }
}

TEST_F(DiscoveryWatcherTest, ReconnectsAfterSilence) {
  FakeDiscovery discovery;
  const DiscoveryWatcher watcher(net::Address::parse(discovery.address()), kRevision, handler, {1s, 50ms});
  EXPECT_EQ(discovery.next_watch(), kWatchAfterRevision);
  EXPECT_EQ(discovery.next_watch(), kWatchAfterRevision) << "no line arrived on the first watch";
}

// --- Endpoint lists

TEST_F(DiscoveryWatcherTest, AcceptsAnOlderCompleteListFromAServerThatStaysBehind) {
  FakeDiscovery discovery;
  auto short_timeouts = timeouts(10s, 10s);
  short_timeouts.stale = 50ms;
  const DiscoveryWatcher watcher(net::Address::parse(discovery.address()), 41, handler, short_timeouts);
  discovery.next_watch();
  discovery.send_line(endpoint_list(7, true, endpoint_entry("a")));
  std::this_thread::sleep_for(60ms);
  discovery.send_line("");
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1");
  discovery.send_line(endpoint_list(8, true, endpoint_entry("a")));
  EXPECT_TRUE(handler.wait_for(8));
  EXPECT_EQ(handler.revisions(), std::vector<std::uint64_t>{8})
      << "the list of revision 7 must not be accepted";
}

// Guards against a line that takes more memory than the process has.
TEST_F(DiscoveryWatcherTest, DropsTheConnectionAtALineAboveTheLimit) {
  FakeDiscovery discovery;
  auto limits = timeouts(10s, 10s);
  const auto accepted = endpoint_list(42, true, endpoint_entry("a"));
  limits.max_line_bytes = accepted.size() + 1;
  const DiscoveryWatcher watcher(net::Address::parse(discovery.address()), 41, handler, limits);
  discovery.next_watch();
  discovery.send_line(accepted);
  EXPECT_TRUE(handler.wait_for(42));
  discovery.send_line(endpoint_list(43, true, endpoint_entry("a") + "," + endpoint_entry("b")));
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1&after=42");
  EXPECT_EQ(handler.revisions(), std::vector<std::uint64_t>{42});
}

TEST(EndpointListUpdateTest, RejectsTextThatIsNotAList) {
  for (const std::string text : {"", "[]", "{", R"({"revision":-1,"complete":true,"members":[]})",
                                 R"({"revision":1,"members":[]})", R"({"revision":1,"complete":true})"})
    EXPECT_THROW(parse_endpoint_list_update(text), net::Error) << text;
}

TEST(EndpointListUpdateTest, ParsesTheValidEntriesAroundInvalidEntries) {
  const auto list = parse_endpoint_list_update(
      endpoint_list(1, true,
                    endpoint_entry("a") + R"(,{"id":7},)" + endpoint_entry("b", "DANCING") + "," +
                        endpoint_entry("a") + "," + endpoint_entry("c", "SERVING", "nowhere")));
  EXPECT_EQ(list.entries.size(), 1U);
  EXPECT_EQ(list.rejected, 4U);
}

}  // namespace
}  // namespace ospreypost::discovery
