/// Tests of a control plane instance on loopback with scripted peers and a scripted discovery server.
#include "platform/platform_server.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "platform/platform_config.h"
#include "program/platform_support.h"
#include "resp/resp.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using test::endpoint_entry;
using test::endpoint_list;
using test::FakeDiscovery;
using test::receive_weights;
using test::request_liveness;
using test::Words;

std::shared_ptr<spdlog::logger> silent_logger() { return std::make_shared<spdlog::logger>("test"); }

struct PlatformServerTest : testing::Test {
  void move_discovery_to(const FakeDiscovery& other) {
    auto changed = config;
    changed.discovery = net::Address::parse(other.address());
    server.reload(changed);
  }
  // Joins as proxy 3, and returns the weights that the proxy receives. The cached list has three replicas.
  static test::Weights join(test::Peer& peer) {
    peer.send_hello("3");
    return receive_weights(peer);
  }

  FakeDiscovery discovery;
  PlatformConfig config = parse_platform_config(test::platform_config(discovery.address()), "test");
  PlatformServer server{config, silent_logger()};
  net::Address address = server.address();
};

TEST_F(PlatformServerTest, AnswersLivenessRequestsAndSendsAJoiningProxyItsTables) {
  test::Peer peer(address);
  EXPECT_EQ(request_liveness(peer), Words{"alive"});
  peer.send_hello("3");
  const auto push = peer.receive();
  ASSERT_GE(push.size(), 5U);
  EXPECT_EQ((Words{push[0], push[1], push[2], push[3]}), (Words{"push", "full", "1", "endpoints"}));
  EXPECT_EQ(std::count(push[4].begin(), push[4].end(), ':'), 3);
}

std::string encoded(const std::vector<std::string_view>& words) {
  std::string bytes;
  resp::write_message(bytes, words);
  return bytes;
}

TEST_F(PlatformServerTest, RejectsMessagesNotAllowedOnUnidentifiedConnections) {
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("*1\r\n$999999999\r\n"), std::string("*99\r\n"),
        std::string("\r\n"), encoded({"dance"}), encoded({"push", "full", "1"}),
        encoded({"hello", "id", "99", "site", "east", "rps", "1", "new", "1"}),
        encoded({"ack", "id", "3", "seq", "3", "ms", "3"})}) {
    test::Peer peer(address);
    peer.send_raw(bytes);
    const auto answer = peer.receive();
    EXPECT_TRUE(answer.empty() || answer.front() == "error") << bytes;
  }
}

TEST_F(PlatformServerTest, AcceptsAProxyDuringAFloodOfUnidentifiedConnections) {
  // The flood has more connections than may be open, so the server closes the oldest. Half of the connections
  // send nothing, the others an incomplete message.
  std::deque<test::Peer> flood;
  for (int n = 0; n < 90; ++n) {
    flood.emplace_back(address);
    if (n % 2 == 0) flood.back().send_raw("*2\r\n$5\r\nhel");
  }
  test::Peer proxy(address);
  proxy.send_hello("1");
  EXPECT_EQ(receive_weights(proxy).size(), 3U);
  // The server closes every connection of the flood within the identification timeout.
  for (auto& peer : flood) {
    const auto answer = peer.receive();
    EXPECT_TRUE(answer.empty() || answer.front() == "error");
  }
  EXPECT_EQ(request_liveness(proxy), Words{"alive"}) << "the proxy that joined is not disconnected";
}

TEST_F(PlatformServerTest, ReplacesTheFirstStreamOfAProxyByItsSecond) {
  discovery.next_watch();
  test::Peer first(address);
  EXPECT_EQ(join(first).size(), 3U);
  test::Peer second(address);
  EXPECT_EQ(join(second).size(), 3U);
  for (auto words = first.receive(); !words.empty(); words = first.receive())
    EXPECT_EQ(words.front(), "push");
  discovery.send_line(endpoint_list(42, false, endpoint_entry("s-2", "DRAINING")));
  EXPECT_EQ(receive_weights(second)["s-2"], "0");
}

TEST_F(PlatformServerTest, DropsInvalidMessagesFromIdentifiedPeers) {
  test::Peer proxy(address);
  EXPECT_EQ(join(proxy).size(), 3U);
  proxy.send(
      {"outcomes", "site", "east", "target", "s-9", "count", "1", "fail", "0", "mean", "nan", "over", "0"});
  proxy.send({"ack", "id", "3"});
  proxy.send({"dance"});
  EXPECT_EQ(request_liveness(proxy), Words{"alive"});
  test::Peer collector(address);
  collector.send({"agent", "site", "west"});
  collector.send({"outcomes", "site", "moon"});
  EXPECT_EQ(request_liveness(collector), Words{"alive"});
}

TEST_F(PlatformServerTest, ClosesTheStreamAfterBytesThatAreNoMessage) {
  test::Peer proxy(address);
  EXPECT_EQ(join(proxy).size(), 3U);
  proxy.send_raw("?\r\n");
  EXPECT_TRUE(proxy.receive().empty());
  test::Peer reconnected(address);
  EXPECT_EQ(join(reconnected).size(), 3U);
}

TEST_F(PlatformServerTest, FollowsDiscoveryToTheReloadedAddress) {
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1&after=41");
  test::Peer proxy(address);
  EXPECT_EQ(join(proxy).size(), 3U);
  discovery.send_line("");
  discovery.send_line(endpoint_list(43, false, endpoint_entry("s-1", "DRAINING")));
  EXPECT_EQ(receive_weights(proxy)["s-1"], "0");
  FakeDiscovery other;
  move_discovery_to(other);
  EXPECT_EQ(other.next_watch(), "/registry/instances?watch=1&after=43");
  other.send_line(endpoint_list(44, false, endpoint_entry("s-2", "DELETED")));
  EXPECT_EQ(receive_weights(proxy)["s-2"], "0");
  discovery.wait_until_disconnected();
}

TEST_F(PlatformServerTest, StartsANewWatchAfterAListThatCannotBeRead) {
  discovery.next_watch();
  test::Peer proxy(address);
  EXPECT_EQ(join(proxy).size(), 3U);
  discovery.send_line(endpoint_list(48, true, endpoint_entry("s-1") + "," + endpoint_entry("s-2")));
  EXPECT_EQ(receive_weights(proxy)["s-3"], "0") << "a replica that is not in a complete list is gone";
  discovery.send_line("no list");
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1&after=48");
}

// --- Updates of the endpoint list, with one proxy that has joined

struct PlatformServerListTest : PlatformServerTest {
  void SetUp() override {
    discovery.next_watch();
    ASSERT_EQ(join(proxy).size(), 3U);
  }
  static bool has_weight(const test::Weights& weights, const std::string& replica) {
    return weights.contains(replica) && weights.at(replica) != "0";
  }

  test::Peer proxy{address};
};

TEST_F(PlatformServerListTest, IgnoresAnOlderCompleteList) {
  discovery.send_line(
      endpoint_list(43, false, endpoint_entry("s-1", "DRAINING") + "," + endpoint_entry("s-2", "DELETED")));
  EXPECT_EQ(receive_weights(proxy)["s-1"], "0");
  FakeDiscovery outdated;
  move_discovery_to(outdated);
  outdated.next_watch();
  outdated.send_line(endpoint_list(
      42, true, endpoint_entry("s-1") + "," + endpoint_entry("s-2") + "," + endpoint_entry("s-3")));
  outdated.send_line(endpoint_list(43, false, endpoint_entry("s-1")));
  // Revision 44 is applied, and no entry of the older lists was applied with it.
  outdated.send_line(endpoint_list(44, false, endpoint_entry("s-4")));
  test::Weights weights;
  while (!weights.contains("s-4")) {
    weights = receive_weights(proxy);
    ASSERT_FALSE(weights.empty()) << "the server ended the stream";
    EXPECT_FALSE(has_weight(weights, "s-1"));
    EXPECT_FALSE(has_weight(weights, "s-2"));
  }
}

TEST_F(PlatformServerListTest, AppliesADrainFromTheOldAddressDuringAMove) {
  FakeDiscovery outdated;
  move_discovery_to(outdated);
  outdated.next_watch();
  // The new discovery server answers without a newer list; the connection to the old server is still open.
  outdated.send_line("");
  discovery.send_line(endpoint_list(42, false, endpoint_entry("s-2", "DRAINING")));
  EXPECT_EQ(receive_weights(proxy)["s-2"], "0");
  discovery.wait_until_disconnected();
}

TEST_F(PlatformServerListTest, KeepsTheStateOfAReplicaWhoseEntryCannotBeRead) {
  discovery.send_line(endpoint_list(42, true, endpoint_entry("s-1") + "," + endpoint_entry("s-2", "SPOILT")));
  const auto weights = receive_weights(proxy);
  EXPECT_TRUE(weights.contains("s-3") && weights.at("s-3") == "0")
      << "the replica is not in the list, so it is gone";
  EXPECT_FALSE(weights.contains("s-2")) << "the entry is unreadable, so the replica's state is kept";
}

std::string unix_milliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

TEST_F(PlatformServerListTest, WarmsUpAReplicaThatReturnsUnderItsNameWithANewStart) {
  discovery.send_line(endpoint_list(42, false, endpoint_entry("s-2", "DELETED")));
  EXPECT_EQ(receive_weights(proxy)["s-2"], "0");
  discovery.send_line(
      endpoint_list(43, false, endpoint_entry("s-2", "SERVING", "127.0.0.1:10", unix_milliseconds())));
  test::Weights weights;
  while (!weights.contains("s-2")) {
    weights = receive_weights(proxy);
    ASSERT_FALSE(weights.empty()) << "the server ended the stream";
  }
  EXPECT_LT(std::stod(weights["s-2"]), 0.9) << "warming up";
}

// --- Health checks

std::string replaced(std::string text, const std::string& from, const std::string& replacement) {
  return text.replace(text.find(from), from.size(), replacement);
}

// More replicas hang than are checked concurrently, and more checks are queued than one iteration of the
// control loop requests. The replica that is listed last must be checked nevertheless.
TEST(PlatformServerHealthCheckTest, ChecksEveryReplicaWhileManyHang) {
  const auto hanging =
      net::listen_tcp({"127.0.0.1", 0}, 4096);  // connections succeed, requests get no answer
  const auto healthy = net::listen_tcp({"127.0.0.1", 0}, 64);
  std::string entries;
  for (int n = 0; n < 120; ++n) {
    const auto name = "hanging-" + std::to_string(n);
    entries += endpoint_entry(name, "SERVING", net::local_address(hanging).text()) + ",";
  }
  entries += endpoint_entry("healthy", "SERVING", net::local_address(healthy).text());
  auto text = replaced(test::platform_config(), R"("via":"piggyback")", R"("via":"pull")");
  const std::string list_begin = R"("members":[)";
  const auto entries_begin = text.find(list_begin) + list_begin.size();
  text.replace(entries_begin, text.find(']', entries_begin) - entries_begin, entries);
  const PlatformServer server(parse_platform_config(text, "test"), silent_logger());
  for (int checks = 0; checks < 2; ++checks) {
    const auto connection = net::accept(healthy, net::Steady::now() + 15s);
    ASSERT_TRUE(connection) << "earlier health checks: " << checks;
  }
}

}  // namespace
}  // namespace ospreypost::platform
