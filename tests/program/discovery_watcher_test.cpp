/// The watch of discovery: the reading of lists, and events that can cross, each made to happen in the bad
/// order by a scripted server on loopback. docs/notes/crossings.md has a row for each.
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

constexpr auto kNever = 1h;  // longer than any test lives
constexpr std::uint64_t kRevision = 5;
constexpr const char* kWatchAfterRevision = "/registry/instances?watch=1&after=5";

// An address whose connections never come up: its queue is full, and it accepts none.
class FullListener {
 public:
  FullListener() : listener_(net::listen_tcp({"127.0.0.1", 0}, 0)) {
    try {
      for (int n = 0; n < 2; ++n) waiting_.push_back(net::connect(address(), net::Steady::now() + 200ms));
    } catch (const net::Error&) {
      return;  // it is full
    }
  }
  net::Address address() const { return net::local_address(listener_); }
  void wait_until_dialled() const {
    while (pending_connections().empty()) std::this_thread::yield();
  }
  // Accepts the connections that fill the queue.
  std::vector<net::Socket> open() {
    std::vector<net::Socket> accepted;
    waiting_.clear();
    while (auto connection = net::accept(listener_, net::Steady::now()))
      accepted.push_back(std::move(connection->first));
    return accepted;
  }
  net::Socket next() const {
    auto accepted = net::accept(listener_, net::Steady::now() + 20s);
    return accepted ? std::move(accepted->first) : net::Socket();
  }

 private:
  // The lines in the system's table of connections to here that were requested and got no answer.
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
  std::vector<net::Socket> waiting_;
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
  std::vector<std::uint64_t> revisions_;  // guarded by `mutex_`
};

DiscoveryWatcher::Timeouts timeouts(net::Steady::duration connect, net::Steady::duration idle) {
  DiscoveryWatcher::Timeouts made;
  made.connect = connect;
  made.idle = idle;
  return made;
}

struct DiscoveryWatcherTest : testing::Test {
  RecordingHandler handler;
};

// --- A connection that is not up yet

TEST_F(DiscoveryWatcherTest, StopsWhileItConnects) {
  const FullListener full;
  DiscoveryWatcher watcher(full.address(), kRevision, handler, timeouts(kNever, kNever));
  full.wait_until_dialled();
  watcher.stop();
}

TEST_F(DiscoveryWatcherTest, MovesWhileItConnects) {
  const FullListener full;
  DiscoveryWatcher watcher(full.address(), kRevision, handler, timeouts(kNever, kNever));
  full.wait_until_dialled();
  FakeDiscovery other;
  watcher.move_to(net::Address::parse(other.address()));
  EXPECT_EQ(other.next_watch(), kWatchAfterRevision);
}

// The first bytes of the request that gets through first, up to the end of its line at least.
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

TEST_F(DiscoveryWatcherTest, RequestsTheCompleteListThoughARefreshCameWhileItConnects) {
  FullListener full;
  DiscoveryWatcher watcher(full.address(), kRevision, handler, timeouts(kNever, kNever));
  full.wait_until_dialled();
  watcher.refresh();
  const auto accepted = full.open();
  const auto request = receive_request(full);
  EXPECT_TRUE(request.starts_with("GET /registry/instances?watch=1 HTTP")) << request;
}

TEST_F(DiscoveryWatcherTest, MovesAgainWhileTheFirstMoveConnects) {
  const FullListener first;
  const FullListener second;
  DiscoveryWatcher watcher(first.address(), kRevision, handler, timeouts(kNever, kNever));
  first.wait_until_dialled();
  watcher.move_to(second.address());
  second.wait_until_dialled();
  FakeDiscovery third;
  watcher.move_to(net::Address::parse(third.address()));
  EXPECT_EQ(third.next_watch(), kWatchAfterRevision);
  watcher.stop();
}

// --- Bytes that come, and no line

TEST_F(DiscoveryWatcherTest, DialsAgainAfterHalfALineAndSilence) {
  FakeDiscovery discovery;
  const DiscoveryWatcher watcher(net::Address::parse(discovery.address()), kRevision, handler,
                                 timeouts(10s, 100ms));
  discovery.next_watch();
  discovery.write("40\r\n{\"revision\":6,");
  EXPECT_EQ(discovery.next_watch(), kWatchAfterRevision);
}

// Sends a byte whenever the last one is on its way, so that none is ever waited for. Whether the other side
// ended the watch within 8 KiB.
bool is_left_during_trickle(FakeDiscovery& discovery, const std::string& head) {
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
    EXPECT_TRUE(is_left_during_trickle(discovery, head)) << "before the line or the header ended";
  }
}

TEST_F(DiscoveryWatcherTest, DialsAgainAfterSilence) {
  FakeDiscovery discovery;
  const DiscoveryWatcher watcher(net::Address::parse(discovery.address()), kRevision, handler, {1s, 50ms});
  EXPECT_EQ(discovery.next_watch(), kWatchAfterRevision);
  EXPECT_EQ(discovery.next_watch(), kWatchAfterRevision) << "nothing came on the first";
}

// --- Lists

TEST_F(DiscoveryWatcherTest, StartsOverWithAServerThatStaysBehind) {
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
  EXPECT_EQ(handler.revisions(), std::vector<std::uint64_t>{8}) << "and not before";
}

TEST(EndpointListUpdateTest, RejectsWhatIsNoList) {
  for (const std::string text : {"", "[]", "{", R"({"revision":-1,"complete":true,"members":[]})",
                                 R"({"revision":1,"members":[]})", R"({"revision":1,"complete":true})"})
    EXPECT_THROW(parse_endpoint_list_update(text), net::Error) << text;
}

TEST(EndpointListUpdateTest, ParsesTheEntriesAroundThoseThatCannotBeRead) {
  const auto list = parse_endpoint_list_update(
      endpoint_list(1, true,
                    endpoint_entry("a") + R"(,{"id":7},)" + endpoint_entry("b", "DANCING") + "," +
                        endpoint_entry("a") + "," + endpoint_entry("c", "SERVING", "nowhere")));
  EXPECT_EQ(list.entries.size(), 1U);
  EXPECT_EQ(list.rejected, 4U);
}

}  // namespace
}  // namespace ospreypost::discovery
