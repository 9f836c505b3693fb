// The platform's door on loopback, with scripted peers: strangers, second streams, spoilt reports, discovery.
#include "platform/platform_server.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <condition_variable>
#include <deque>
#include <mutex>

#include "http/http.h"
#include "program/platform_support.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using Words = std::vector<std::string>;

using test::Discovery;
using test::lines_of;

struct Platform : testing::Test {
  Discovery discovery;
  PlatformConfig environment = parse_platform_config(test::platform_config(discovery.address()), "test");
  PlatformServer service{environment, std::make_shared<spdlog::logger>("test")};
  net::Address at = service.address();
};

TEST_F(Platform, GivesASignOfLifeAndAJoiningProxyItsTable) {
  test::Peer peer(at);
  peer.say({"probe"});
  EXPECT_EQ(peer.hear(), Words{"alive"});
  peer.hello("3");
  const auto push = peer.hear();
  ASSERT_GE(push.size(), 5u);
  EXPECT_EQ((Words{push[0], push[1], push[2], push[3]}), (Words{"push", "full", "1", "endpoints"}));
  EXPECT_EQ(std::count(push[4].begin(), push[4].end(), ':'), 3);
}

TEST_F(Platform, StrangersAreRefusedAndProxiesStillGetIn) {
  for (const std::string_view bytes :
       {"GET / HTTP/1.1\r\n\r\n", "*1\r\n$999999999\r\n", "*99\r\n", "\r\n", "*1\r\n$5\r\ndance\r\n",
        "*3\r\n$4\r\npush\r\n$4\r\nfull\r\n$1\r\n1\r\n",
        "*9\r\n$5\r\nhello\r\n$2\r\nid\r\n$2\r\n99\r\n$4\r\nsite\r\n$4\r\neast\r\n$3\r\nrps\r\n$1\r\n1\r\n$"
        "3\r\nnew\r\n$1\r\n1\r\n",
        "*7\r\n$3\r\nack\r\n$2\r\nid\r\n$1\r\n3\r\n$3\r\nseq\r\n$1\r\n3\r\n$2\r\nms\r\n$1\r\n3\r\n"}) {
    test::Peer stranger(at);
    stranger.say_raw(bytes);
    const auto answer = stranger.hear();
    EXPECT_TRUE(answer.empty() || answer.front() == "error") << bytes;
  }
  // More silent ones and halves of messages than there is room for: the oldest give way.
  std::deque<test::Peer> silent;
  for (int n = 0; n < 90; ++n) {
    silent.emplace_back(at);
    if (n % 2 == 0) silent.back().say_raw("*2\r\n$5\r\nhel");
  }
  test::Peer proxy(at);
  proxy.hello("1");
  EXPECT_EQ(lines_of(proxy).size(), 3u);
  // And none is held for long.
  for (auto& one : silent) {
    const auto answer = one.hear();
    EXPECT_TRUE(answer.empty() || answer.front() == "error");
  }
  proxy.say({"probe"});
  EXPECT_EQ(proxy.hear(), Words{"alive"}) << "whoever joined stays";
}

TEST_F(Platform, ASecondStreamReplacesTheFirstWhoseEndSaysNothing) {
  discovery.next_watch();
  test::Peer first(at);
  first.hello("3");
  EXPECT_EQ(lines_of(first).size(), 3u);
  test::Peer second(at);
  second.hello("3");
  EXPECT_EQ(lines_of(second).size(), 3u);
  for (Words words; !(words = first.hear()).empty();) EXPECT_EQ(words.front(), "push");
  discovery.say(test::roster(42, false, test::member("s-2", "DRAINING")));
  EXPECT_EQ(lines_of(second)["s-2"], "0");
}

TEST_F(Platform, SpoiltReportsCostNothingButThemselvesAndGarbageItsStream) {
  test::Peer proxy(at);
  proxy.hello("3");
  EXPECT_EQ(lines_of(proxy).size(), 3u);
  proxy.say(
      {"outcomes", "site", "east", "target", "s-9", "count", "1", "fail", "0", "mean", "nan", "over", "0"});
  proxy.say({"ack", "id", "3"});
  proxy.say({"dance"});
  proxy.say({"probe"});
  EXPECT_EQ(proxy.hear(), Words{"alive"});
  test::Peer collector(at);
  collector.say({"agent", "site", "west"});
  collector.say({"outcomes", "site", "moon"});
  collector.say({"probe"});
  EXPECT_EQ(collector.hear(), Words{"alive"});
  proxy.say_raw("?\r\n");
  EXPECT_TRUE(proxy.hear().empty());
  test::Peer again(at);
  again.hello("3");
  EXPECT_EQ(lines_of(again).size(), 3u);
}

TEST_F(Platform, DiscoveryIsFollowedWhereTheNewConfigurationNamesIt) {
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1&after=41");
  test::Peer proxy(at);
  proxy.hello("3");
  EXPECT_EQ(lines_of(proxy).size(), 3u);
  discovery.say("");
  discovery.say(test::roster(43, false, test::member("s-1", "DRAINING")));
  EXPECT_EQ(lines_of(proxy)["s-1"], "0");
  Discovery other;
  auto renewed = environment;
  renewed.discovery = net::Address::parse(other.address());
  service.reload(renewed);
  EXPECT_EQ(other.next_watch(), "/registry/instances?watch=1&after=43");
  other.say(test::roster(44, false, test::member("s-2", "DELETED")));
  EXPECT_EQ(lines_of(proxy)["s-2"], "0");
  discovery.wait_until_left();
}

TEST_F(Platform, AListThatCannotBeReadIsAskedForAnew) {
  discovery.next_watch();
  test::Peer proxy(at);
  proxy.hello("3");
  EXPECT_EQ(lines_of(proxy).size(), 3u);
  discovery.say(test::roster(48, true, test::member("s-1") + "," + test::member("s-2")));
  EXPECT_EQ(lines_of(proxy)["s-3"], "0") << "whom a whole list leaves out is gone";
  discovery.say("no list");
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1&after=48");
}

TEST(GossipChannel, HearPeersOnlyAndTellNoMoreThanADatagramHolds) {
  const net::Address any{"127.0.0.1", 0};
  const auto nobody = net::bind_udp(any);
  std::mutex lock;
  std::condition_variable changed;
  Words heard;
  const auto note = [&](PeerId peer, std::string_view message) {
    const std::lock_guard held(lock);
    heard.push_back(std::to_string(static_cast<int>(peer)) + std::string(message));
    changed.notify_all();
  };
  GossipChannel first(any, {}, any, [](PeerId, std::string_view) {});
  GossipChannel second(any, {net::local_address(nobody), first.address()}, any, note);
  GossipChannel teller(any, {second.address()}, second.address(), [](PeerId, std::string_view) {});
  EXPECT_FALSE(teller.send_to_peer(PeerId{0}, std::string(257, 'x')));
  EXPECT_FALSE(teller.send_to_peer(PeerId{1}, "x")) << "nobody has that number";
  EXPECT_TRUE(teller.send_to_peer(std::nullopt, "a stranger's"));
  const std::string_view words = "a peer's";
  net::send_to(nobody, {reinterpret_cast<const std::uint8_t*>(words.data()), words.size()}, second.address());
  std::unique_lock held(lock);
  EXPECT_TRUE(changed.wait_for(held, 10s, [&] { return !heard.empty(); }));
  EXPECT_EQ(heard, Words{"0a peer's"});
}

TEST(DiscoveryWatcher, ASilentOneIsDialledAgain) {
  struct Sink : discovery::EndpointListHandler {
    void on_endpoint_list_update(const discovery::EndpointListUpdate&) override {}
    void on_discovery_silent(const std::string&) override {}
  } sink;
  Discovery discovery;
  discovery::DiscoveryWatcher registry(net::Address::parse(discovery.address()), 5, sink, {1s, 50ms});
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1&after=5");
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1&after=5") << "nothing came on the first";
}

}  // namespace
}  // namespace ospreypost::platform
