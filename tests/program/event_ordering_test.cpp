// Pairs of events that can cross at the platform's door, each made to happen in the bad order by a scripted
// peer on loopback that holds one side until the other was seen. docs/notes/crossings.md has a row for each.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <array>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <mutex>

#include "platform/platform_server.h"
#include "program/platform_support.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using test::Discovery;
using test::lines_of;
using Words = std::vector<std::string>;

constexpr auto kLong = 1h;  // longer than any test lives

// An address whose connections never come up: its queue is full, and it takes none.
class FullListener {
 public:
  FullListener() : listener_(net::listen_tcp({"127.0.0.1", 0}, 0)) {
    for (int n = 0; n < 2; ++n) {
      try {
        waiting_.push_back(net::connect(address(), net::Steady::now() + 200ms));
      } catch (const net::Error&) {
        return;  // full
      }
    }
  }
  net::Address address() const { return net::local_address(listener_); }
  // Until somebody waits for a connection to it.
  void wait_until_dialled() const {
    while (dialling().empty()) std::this_thread::yield();
  }
  // Lets those in who wait.
  std::vector<net::Socket> open() {
    std::vector<net::Socket> taken;
    waiting_.clear();
    while (auto accepted = net::accept(listener_, net::Steady::now()))
      taken.push_back(std::move(accepted->first));
    return taken;
  }
  net::Socket next() const {
    auto accepted = net::accept(listener_, net::Steady::now() + 20s);
    return accepted ? std::move(accepted->first) : net::Socket();
  }

 private:
  // The system's table of connections that have asked and got no answer.
  Words dialling() const {
    char port[8];
    std::snprintf(port, sizeof(port), ":%04X", address().port);
    std::ifstream table("/proc/net/tcp");
    Words found;
    for (std::string line; std::getline(table, line);) {
      std::istringstream words(line);
      std::string number, from, to, state;
      words >> number >> from >> to >> state;
      if (to.ends_with(port) && state == "02") found.push_back(line);
    }
    return found;
  }
  net::Socket listener_;
  std::vector<net::Socket> waiting_;
};

struct Told : discovery::EndpointListHandler {
  void on_endpoint_list_update(const discovery::EndpointListUpdate& roster) override {
    const std::lock_guard held(lock);
    revisions.push_back(roster.revision);
    changed.notify_all();
  }
  void on_discovery_silent(const std::string&) override {}
  bool waits_for(std::uint64_t revision) {
    std::unique_lock held(lock);
    return changed.wait_for(held, 10s, [&] { return !revisions.empty() && revisions.back() == revision; });
  }
  std::mutex lock;
  std::condition_variable changed;
  std::vector<std::uint64_t> revisions;
};

discovery::DiscoveryWatcher::Waits waits(net::Steady::duration connect, net::Steady::duration silence) {
  discovery::DiscoveryWatcher::Waits made;
  made.connect = connect;
  made.silence = silence;
  return made;
}

// --- Discovery: a connection that is not up yet

TEST(RegistryCrossings, TheEndComesWhileItConnects) {
  const FullListener nobody;
  Told told;
  discovery::DiscoveryWatcher registry(nobody.address(), 5, told, waits(kLong, kLong));
  nobody.wait_until_dialled();
  registry.stop();
}

TEST(RegistryCrossings, AMoveComesWhileItConnects) {
  const FullListener nobody;
  Told told;
  discovery::DiscoveryWatcher registry(nobody.address(), 5, told, waits(kLong, kLong));
  nobody.wait_until_dialled();
  Discovery other;
  registry.move_to(net::Address::parse(other.address()));
  EXPECT_EQ(other.next_watch(), "/registry/instances?watch=1&after=5");
}

TEST(RegistryCrossings, AWishForTheWholeListComesWhileItConnects) {
  FullListener nobody;
  Told told;
  discovery::DiscoveryWatcher registry(nobody.address(), 5, told, waits(kLong, kLong));
  nobody.wait_until_dialled();
  registry.look();
  const auto taken = nobody.open();
  // Whichever attempt gets through first asks for the whole list.
  std::string request;
  for (auto socket = nobody.next(); socket && request.find("\r\n") == std::string::npos;) {
    char piece[512];
    const auto got = net::read_some(socket, piece, net::Steady::now() + 10s);
    if (got == 0) socket = nobody.next();
    request.append(piece, got);
  }
  EXPECT_TRUE(request.starts_with("GET /registry/instances?watch=1 HTTP")) << request;
}

TEST(RegistryCrossings, ASecondMoveComesWhileTheFirstConnects) {
  const FullListener first, second;
  Told told;
  discovery::DiscoveryWatcher registry(first.address(), 5, told, waits(kLong, kLong));
  first.wait_until_dialled();
  registry.move_to(second.address());
  second.wait_until_dialled();
  Discovery third;
  registry.move_to(net::Address::parse(third.address()));
  EXPECT_EQ(third.next_watch(), "/registry/instances?watch=1&after=5");
  registry.stop();
}

// --- Discovery: bytes that come, and no line

TEST(RegistryCrossings, HalfALineAndThenSilence) {
  Discovery discovery;
  Told told;
  discovery::DiscoveryWatcher registry(net::Address::parse(discovery.address()), 5, told, waits(10s, 100ms));
  discovery.next_watch();
  discovery.write("40\r\n{\"revision\":6,");
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1&after=5");
}

TEST(RegistryCrossings, ATrickleOfBytesIsAsSilentAsNone) {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n", "HTTP/1.1 200 OK\r\nX-Pad: "}) {
    Discovery discovery;
    Told told;
    discovery::DiscoveryWatcher registry(net::Address::parse(discovery.address()), 5, told,
                                         waits(10s, 200ms));
    discovery.next_request();
    bool left = false;
    std::size_t written = 0;
    try {
      // A byte whenever the last one is on its way, so that none is ever waited for; 8 KiB at the most.
      for (discovery.write(head); written < 8000; ++written) {
        discovery.write("x");
        std::this_thread::sleep_for(1ms);
      }
    } catch (const net::Error&) {
      left = true;
    }
    EXPECT_TRUE(left) << "it was left before the line or the header ended";
  }
}

// --- Discovery: lists that go back

struct Following : testing::Test {
  Discovery discovery;
  PlatformConfig environment = parse_platform_config(test::platform_config(discovery.address()), "test");
  PlatformServer service{environment, std::make_shared<spdlog::logger>("test")};
  test::Peer proxy{service.address()};

  void SetUp() override {
    discovery.next_watch();
    proxy.hello("3");
    ASSERT_EQ(lines_of(proxy).size(), 3u);
  }
  void move_to(const Discovery& other) {
    auto renewed = environment;
    renewed.discovery = net::Address::parse(other.address());
    service.reload(renewed);
  }
};

TEST_F(Following, AnOlderWholeListBringsNothingBack) {
  discovery.say(
      test::roster(43, false, test::member("s-1", "DRAINING") + "," + test::member("s-2", "DELETED")));
  auto lines = lines_of(proxy);
  EXPECT_EQ(lines["s-1"], "0");
  Discovery behind;
  move_to(behind);
  behind.next_watch();
  behind.say(
      test::roster(42, true, test::member("s-1") + "," + test::member("s-2") + "," + test::member("s-3")));
  behind.say(test::roster(43, false, test::member("s-1")));
  // What comes after is taken, and nothing of the older list came with it.
  behind.say(test::roster(44, false, test::member("s-4")));
  for (lines.clear(); !lines.contains("s-4"); lines = lines_of(proxy)) {
    EXPECT_FALSE(lines.contains("s-1") && lines["s-1"] != "0");
    EXPECT_FALSE(lines.contains("s-2") && lines["s-2"] != "0");
  }
  EXPECT_FALSE(lines.contains("s-1") && lines["s-1"] != "0");
  EXPECT_FALSE(lines.contains("s-2") && lines["s-2"] != "0");
}

TEST_F(Following, ADrainToldOnTheOldAddressDuringTheMoveIsObeyed) {
  Discovery behind;
  move_to(behind);
  behind.next_watch();
  // The new address is up and has nothing newer; the old one has not closed yet.
  behind.say("");
  discovery.say(test::roster(42, false, test::member("s-2", "DRAINING")));
  EXPECT_EQ(lines_of(proxy)["s-2"], "0");
  discovery.wait_until_left();
}

TEST(RegistryCrossings, WhoeverStaysBehindForLongBeginsAnewAndIsTakenAtItsWord) {
  Discovery discovery;
  Told told;
  auto short_waits = waits(10s, 10s);
  short_waits.behind = 50ms;
  discovery::DiscoveryWatcher registry(net::Address::parse(discovery.address()), 41, told, short_waits);
  discovery.next_watch();
  discovery.say(test::roster(7, true, test::member("a")));
  std::this_thread::sleep_for(60ms);
  discovery.say("");
  EXPECT_EQ(discovery.next_watch(), "/registry/instances?watch=1");
  discovery.say(test::roster(8, true, test::member("a")));
  EXPECT_TRUE(told.waits_for(8));
  EXPECT_EQ(told.revisions, std::vector<std::uint64_t>{8}) << "and not before";
}

TEST_F(Following, AnEntryThatCannotBeReadLeavesItsReplicaAsItWas) {
  discovery.say(test::roster(42, true, test::member("s-1") + "," + test::member("s-2", "SPOILT")));
  const auto lines = lines_of(proxy);
  EXPECT_TRUE(lines.contains("s-3") && lines.at("s-3") == "0") << "left out: gone";
  EXPECT_FALSE(lines.contains("s-2")) << "spoilt: as it was";
}

TEST_F(Following, AReplicaReturnsUnderItsIdAtAnotherAddressWithANewStart) {
  discovery.say(test::roster(42, false, test::member("s-2", "DELETED")));
  EXPECT_EQ(lines_of(proxy)["s-2"], "0");
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  discovery.say(test::roster(43, false, test::member("s-2", "SERVING", "127.0.0.1:10", std::to_string(now))));
  std::map<std::string, std::string> lines;
  while (!lines.contains("s-2")) lines = lines_of(proxy);
  EXPECT_LT(std::stod(lines["s-2"]), 0.9) << "cold";
}

// --- Streams

// Notes what it is told, and holds the streams' thread while a test arranges what it will find.
struct HeldSink : StreamEventHandler {
  void on_proxy_joined(ProxyId proxy, ZoneId, double, bool) override {
    note("joined " + std::to_string(static_cast<int>(proxy)));
  }
  void on_proxy_left(ProxyId proxy) override { note("left " + std::to_string(static_cast<int>(proxy))); }
  void on_replica_load_report(const ReplicaLoadReport&) override { note("sum"); }
  void on_demand_report(ProxyId, const DemandReport&) override { note("demand"); }
  void on_acknowledgement(ProxyId, std::uint64_t, Nanos) override { note("answer"); }
  std::vector<ProxyId> due_proxies() override {
    std::unique_lock waits(lock);
    ++turns;
    at_rest = true;
    changed.notify_all();
    changed.wait(waits, [this] { return !hold; });
    at_rest = false;
    return {};
  }
  std::string next_message(ProxyId) override { return {}; }
  void log_peer_error(const std::string&) override {}

  void note(const std::string& what) {
    const std::lock_guard held(lock);
    noted.push_back(what);
    changed.notify_all();
  }
  // The thread stands until it is let go.
  void stop_turning() {
    std::unique_lock held(lock);
    hold = true;
    at_rest = false;
    changed.wait(held, [this] { return at_rest; });
  }
  void go_on() {
    const std::lock_guard held(lock);
    hold = false;
    changed.notify_all();
  }
  bool waits_for(const std::string& what) {
    std::unique_lock held(lock);
    return changed.wait_for(held, 10s,
                            [&] { return std::find(noted.begin(), noted.end(), what) != noted.end(); });
  }
  std::size_t turns_so_far() {
    const std::lock_guard held(lock);
    return turns;
  }
  Words all() {
    const std::lock_guard held(lock);
    return noted;
  }

  std::mutex lock;
  std::condition_variable changed;
  Words noted;
  std::size_t turns = 0;
  bool hold = false, at_rest = false;
};

struct Crossing : testing::Test {
  HeldSink sink;
  std::unique_ptr<StreamServer> streams = make(40);
  std::unique_ptr<StreamServer> make(std::size_t most) {
    MessageNames vocabulary;
    vocabulary.classes = {"read"};
    vocabulary.zones = {"east"};
    vocabulary.proxies = 400;
    return std::make_unique<StreamServer>(net::Address{"127.0.0.1", 0}, most, vocabulary, sink);
  }
  void TearDown() override {
    sink.go_on();
    streams->stop();
  }
  // Connected, and known to the streams.
  test::Peer known_peer() {
    test::Peer peer(streams->address());
    peer.say({"probe"});
    EXPECT_EQ(peer.hear(), Words{"alive"});
    return peer;
  }
};

TEST_F(Crossing, TheOlderConnectionsHelloArrivesAfterTheNewerJoined) {
  auto older = known_peer(), newer = known_peer();
  newer.hello("3");
  ASSERT_TRUE(sink.waits_for("joined 3"));
  older.hello("3");
  EXPECT_TRUE(older.hear().empty()) << "it is ended";
  newer.say({"probe"});
  EXPECT_EQ(newer.hear(), Words{"alive"}) << "and the newer one stays";
  EXPECT_EQ(sink.all(), Words{"joined 3"});
}

TEST_F(Crossing, TheOlderStreamsBytesAndEndArriveAfterTheNewerJoined) {
  auto older = known_peer();
  older.hello("3");
  ASSERT_TRUE(sink.waits_for("joined 3"));
  auto newer = known_peer();
  sink.stop_turning();
  newer.hello("3");
  older.say({"demand", "id", "3", "lane", "read", "count", "19", "fail", "0", "over", "1000.0"});
  older.end();
  sink.go_on();
  newer.say({"ack", "id", "3", "seq", "905", "ms", "310.4"});
  ASSERT_TRUE(sink.waits_for("answer"));
  newer.say({"probe"});
  EXPECT_EQ(newer.hear(), Words{"alive"});
  const auto noted = sink.all();
  EXPECT_EQ(std::count(noted.begin(), noted.end(), "left 3"), 0) << "the older end says nothing of the proxy";
}

TEST_F(Crossing, ASecondHelloWithAnotherIdIsDropped) {
  auto peer = known_peer();
  peer.hello("3");
  peer.hello("4");
  peer.say({"ack", "id", "3", "seq", "905", "ms", "310.4"});
  ASSERT_TRUE(sink.waits_for("answer"));
  EXPECT_EQ(sink.all(), (Words{"joined 3", "answer"}));
  peer.end();
  EXPECT_TRUE(sink.waits_for("left 3"));
}

TEST_F(Crossing, WholeMessagesBeforeAResetAreHeard) {
  auto peer = known_peer();
  peer.hello("3");
  ASSERT_TRUE(sink.waits_for("joined 3"));
  sink.stop_turning();
  peer.say({"ack", "id", "3", "seq", "905", "ms", "310.4"});
  peer.say({"demand", "id", "3", "lane", "read", "count", "19", "fail", "0", "over", "1000.0"});
  peer.reset();
  sink.go_on();
  ASSERT_TRUE(sink.waits_for("left 3"));
  EXPECT_EQ(sink.all(), (Words{"joined 3", "answer", "demand", "left 3"}));
}

TEST_F(Crossing, AMessageInSingleBytesAcrossABreakIsNeitherStreams) {
  std::string hello;
  resp::write_message(hello, {"hello", "id", "3", "site", "east", "rps", "20.5", "new", "1"});
  {
    auto first = known_peer();
    for (std::size_t n = 0; n < hello.size() / 2; ++n) first.say_raw(hello.substr(n, 1));
  }
  auto second = known_peer();
  for (std::size_t n = hello.size() / 2; n < hello.size(); ++n) {
    try {
      second.say_raw(hello.substr(n, 1));
    } catch (const net::Error&) {
      break;  // it is ended for its first bytes already
    }
  }
  while (!second.hear().empty()) {
  }
  auto third = known_peer();
  for (const char c : hello) third.say_raw({&c, 1});
  ASSERT_TRUE(sink.waits_for("joined 3"));
  EXPECT_EQ(sink.all(), Words{"joined 3"});
}

TEST_F(Crossing, AStrangerGivesWayInTheTurnInWhichItsHelloLiesReady) {
  streams->stop();
  streams = make(2);
  auto first = known_peer(), second = known_peer();
  sink.stop_turning();
  // The knock is seen before the bytes, in one turn.
  test::Peer third(streams->address());
  first.hello("1");
  second.hello("2");
  sink.go_on();
  EXPECT_TRUE(sink.waits_for("joined 1"));
  EXPECT_TRUE(sink.waits_for("joined 2"));
  EXPECT_TRUE(third.hear().empty()) << "whoever joined is not ended for a stranger";
}

TEST_F(Crossing, TheTimeToJoinEndsBeforeAHelloThatLiesReadyWasRead) {
  // More than one wait tells of.
  constexpr int many = 300;
  streams->stop();
  streams = make(many + 10);
  std::deque<test::Peer> peers;
  for (int n = 0; n < many; ++n) peers.emplace_back(streams->address());
  // Connections are taken in their order.
  peers.back().say({"probe"});
  ASSERT_EQ(peers.back().hear(), Words{"alive"});
  sink.stop_turning();
  for (int n = 0; n < many; ++n) peers[static_cast<std::size_t>(n)].hello(std::to_string(n));
  std::this_thread::sleep_for(1600ms);  // past the time to join
  sink.go_on();
  for (int n = 0; n < many; ++n) EXPECT_TRUE(sink.waits_for("joined " + std::to_string(n)));
}

TEST_F(Crossing, DescriptorsRunOutAsSomebodyKnocks) {
  // As few as soon run out, whatever the machine allows; put back for what comes after.
  rlimit before_limit{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before_limit), 0);
  const rlimit few{std::min<rlim_t>(512, before_limit.rlim_max), before_limit.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &few), 0);
  auto stranger = known_peer();
  test::Peer joined = known_peer();
  joined.hello("1");
  ASSERT_TRUE(sink.waits_for("joined 1"));
  std::array<net::Socket, 2> knocks;
  for (auto& knock : knocks) knock = net::Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sink.stop_turning();
  std::vector<net::Socket> all;
  for (int taken = 0; (taken = ::fcntl(0, F_DUPFD_CLOEXEC, 0)) >= 0;) all.emplace_back(taken);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(streams->address().port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (const auto& knock : knocks)
    ASSERT_EQ(::connect(knock.get(), reinterpret_cast<sockaddr*>(&to), sizeof(to)), 0);
  const auto says_hello = [](const net::Socket& from, std::string_view id) {
    std::string bytes;
    resp::write_message(bytes, {"hello", "id", id, "site", "east", "rps", "20.5", "new", "1"});
    net::write_fully(from, bytes, net::Steady::now() + 10s);
  };
  says_hello(knocks[0], "2");
  const auto before = sink.turns_so_far();
  sink.go_on();
  // The stranger gave way for the first; for the second there is nobody. Whoever joined is served meanwhile,
  // and nothing turns without a rest.
  EXPECT_TRUE(stranger.hear().empty());
  ASSERT_TRUE(sink.waits_for("joined 2"));
  for (int n = 0; n < 5; ++n) {
    joined.say({"probe"});
    EXPECT_EQ(joined.hear(), Words{"alive"});
    std::this_thread::sleep_for(50ms);
  }
  EXPECT_LT(sink.turns_so_far() - before, 200u);
  all.clear();
  says_hello(knocks[1], "3");
  EXPECT_TRUE(sink.waits_for("joined 3")) << "and who knocked gets in";
  ::setrlimit(RLIMIT_NOFILE, &before_limit);
}

// --- Probes

// Accepts whatever comes and answers nothing.
struct Hanging {
  net::Socket listener = net::listen_tcp({"127.0.0.1", 0}, 4096);
};

// More replicas hang than there are probers, and more wait than a round asks for: whoever is listed last is
// asked all the same.
TEST(ProbeCrossings, WhoHangsKeepsNobodyFromBeingAsked) {
  const Hanging hanging;
  const net::Socket healthy = net::listen_tcp({"127.0.0.1", 0}, 64);
  std::string members;
  for (int n = 0; n < 120; ++n)
    members +=
        test::member("hangs-" + std::to_string(n), "SERVING", net::local_address(hanging.listener).text()) +
        ",";
  members += test::member("well", "SERVING", net::local_address(healthy).text());
  auto config = test::platform_config();
  const std::string in_load_reports = R"("via":"piggyback")", known = R"("members":[)";
  config.replace(config.find(in_load_reports), in_load_reports.size(), R"("via":"pull")");
  const auto from = config.find(known) + known.size();
  config.replace(from, config.find("]", from) - from, members);
  PlatformServer service(parse_platform_config(config, "test"), std::make_shared<spdlog::logger>("test"));
  for (int times = 0; times < 2; ++times) {
    const auto asked = net::accept(healthy, net::Steady::now() + 15s);
    ASSERT_TRUE(asked) << "after " << times;
  }
}

}  // namespace
}  // namespace ospreypost::platform
