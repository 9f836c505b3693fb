// Questions and answers by the specifications; the server with peers that are slow, hostile or many.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <numeric>

#include "dns/rate_limit.h"
#include "dns/server.h"
#include "dns/weights.h"
#include "fakes/stub_resolver.h"
#include "program/support.h"

namespace ospreypost::dns {
namespace {

using namespace std::chrono_literals;

RC_GTEST_PROP(Weights, SumToTheWholeAndLoseNothing, ()) {
  const auto count = *rc::gen::inRange(1, 600);
  std::vector<double> weights;
  for (int n = 0; n < count; ++n) weights.push_back(std::exp(*rc::gen::inRange(-70, 70) / 10.0));
  const auto units = to_srv_weights(weights);
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  int whole = 0;
  double lifted = 0;  // what the least lines took beyond their share
  for (std::size_t n = 0; n < weights.size(); ++n) {
    whole += units[n];
    lifted += std::max(0.0, units[n] - weights[n] / sum * 65535);
    RC_ASSERT(units[n] >= 1);
  }
  RC_ASSERT(whole == 65535);
  for (std::size_t n = 0; n < weights.size(); ++n)
    RC_ASSERT(std::abs(units[n] - weights[n] / sum * 65535) <= 1 + lifted);
}

TEST(Weights, AFloorIsNotRoundedAway) {
  std::vector<double> weights(500, 1.0);
  weights[7] = 0.2;
  const auto units = to_srv_weights(weights);
  EXPECT_NEAR(units[7], units[8] * 0.2, 1);
  EXPECT_GE(units[7], 26);
}

// A core that tells what a test wants told.
struct FakeCore : delivery::PullService {
  FakeCore() {
    delivery::EndpointDirectory made;
    for (int n = 0; n < 200; ++n) {
      const auto name = "unit-" + std::to_string(n);
      made.ids_by_name[name] = ReplicaId{static_cast<std::uint32_t>(n)};
      made.endpoints.push_back(
          {name, "east", {n == 3 ? "::1" : "127.0.0.9", static_cast<std::uint16_t>(9000 + n)}, n == 2});
    }
    directory_ = std::make_shared<delivery::EndpointDirectory>(std::move(made));
    hold(2);
  }
  void hold(std::uint32_t lines) {
    auto view = std::make_shared<routing_state::RoutingTable>();
    for (std::uint32_t id = 0; id < lines; ++id) view->entries.push_back({ReplicaId{id}, id + 1.0});
    view->traffic_policies = {{0.5, RetryMode::once}, {1, RetryMode::after_rejection_proof}};
    auto proxy_snapshot = std::make_shared<routing_state::ProxySnapshot>();
    proxy_snapshot->changed_in = routing_state::SnapshotVersion{5};
    proxy_snapshot->routing_tables = {view, view};
    const std::lock_guard held(lock);
    told.proxy_snapshot = proxy_snapshot;
    told.ttl_decision = {dns::ClientService::replicas, dns::Ttl{2}};
    told.directory = directory_;
  }
  delivery::PullAnswer on_query(ProxyId, ClassId) override {
    const std::lock_guard held(lock);
    return told;
  }
  delivery::PullAnswer on_zone_query(ZoneId) override { return on_query({}, {}); }
  std::shared_ptr<const delivery::EndpointDirectory> directory() const override { return directory_; }
  routing_state::SnapshotVersion version() const override { return routing_state::SnapshotVersion{5}; }
  std::mutex lock;
  delivery::PullAnswer told;
  std::shared_ptr<const delivery::EndpointDirectory> directory_;
};

struct Scene {
  FakeCore core;
  config::Config config = test::small_config();
  Responder responder{config, core};

  Answer ask(const std::string& name, Type type = Type::srv, std::optional<std::size_t> edns = 1232,
             bool by_tcp = false) {
    return read_answer(responder.answer(write_question(7, name, type, edns), by_tcp).value());
  }
};

const std::string kName = "_sign-job._tcp.forwarder-1.proxies.farm.example.";

TEST(Responder, AnswersAProxyWithItsLinesTermsAndAddresses) {
  Scene scene;
  const auto answer = scene.ask("_Sign-Job._TCP.forwarder-1.proxies.FARM.example.");
  EXPECT_EQ(answer.code, Code::ok);
  EXPECT_TRUE(answer.authoritative);
  EXPECT_EQ(answer.asked, "_Sign-Job._TCP.forwarder-1.proxies.FARM.example.");
  ASSERT_EQ(answer.answers.size(), 2U);
  const auto& first = std::get<Srv>(answer.answers[0].data);
  EXPECT_EQ(first.target, "unit-0.replicas.farm.example.");
  EXPECT_EQ(first.port, 9000);
  EXPECT_EQ(first.weight, 21845);
  EXPECT_EQ(std::get<Srv>(answer.answers[1].data).weight, 43690);
  EXPECT_EQ(answer.answers[0].lifetime, 2U);
  ASSERT_EQ(answer.additional.size(), 3U);
  EXPECT_EQ(std::get<Txt>(answer.additional[0].data).strings,
            (std::vector<std::string>{"txtvers=1", "version=5", "level=1.0000", "retry=after-proof"}));
  EXPECT_EQ(std::get<net::Address>(answer.additional[2].data).host, "127.0.0.9");
}

TEST(Responder, SaysNoAsTheSpecificationsSayIt) {
  Scene scene;
  const auto code = [&](const std::string& name, Type type = Type::srv) {
    return scene.ask(name, type).code;
  };
  EXPECT_EQ(code("farm.example.org."), Code::refused);
  EXPECT_EQ(code("otherfarm.example."), Code::refused);
  EXPECT_EQ(code("_dance._tcp.forwarder-1.proxies.farm.example."), Code::no_name);
  EXPECT_EQ(code("unit-2.replicas.farm.example.", Type::a), Code::no_name);
  for (const auto& [name, type] :
       std::vector<std::pair<std::string, Type>>{{kName, Type::a},
                                                 {"proxies.farm.example.", Type::srv},
                                                 {"unit-3.replicas.farm.example.", Type::a}}) {
    const auto nodata = scene.ask(name, type);
    EXPECT_EQ(nodata.code, Code::ok) << name;
    EXPECT_TRUE(nodata.answers.empty()) << name;
    ASSERT_EQ(nodata.authority.size(), 1U) << name;
    EXPECT_EQ(std::get<Soa>(nodata.authority[0].data).minimum, 1U);
  }
  EXPECT_EQ(
      std::get<net::Address>(scene.ask("unit-3.replicas.farm.example.", Type::aaaa).answers.at(0).data).host,
      "::1");
  EXPECT_EQ(std::get<Soa>(scene.ask("farm.example.", Type::soa).answers.at(0).data).serial, 5U);
  scene.core.told.proxy_snapshot = nullptr;
  EXPECT_EQ(code(kName), Code::server_failure);
  scene.core.hold(0);
  EXPECT_EQ(code(kName), Code::ok);
  EXPECT_TRUE(scene.ask(kName).answers.empty());
}

TEST(Responder, WhoCannotBeHeldGetsProxiesAndNeverReplicas) {
  Scene scene;
  scene.core.told.ttl_decision = {dns::ClientService::proxies, dns::Ttl{1}};
  scene.core.told.fallback_proxies = {{ProxyId{1}, ZoneId{1}, {"127.0.0.1", 7002}},
                                      {ProxyId{0}, ZoneId{0}, {"127.0.0.1", 7001}}};
  const auto answer = scene.ask("_sign-job._tcp.forwarder-3.proxies.farm.example.");
  ASSERT_EQ(answer.answers.size(), 2U);
  EXPECT_EQ(std::get<Srv>(answer.answers[0].data).target, "forwarder-2.proxies.farm.example.");
  EXPECT_EQ(std::get<Srv>(answer.answers[0].data).priority, 0);
  EXPECT_EQ(std::get<Srv>(answer.answers[1].data).priority, 1);
}

TEST(Responder, AnAnswerMadeBeforeIsSentAgainOnlyOnTheSameBasis) {
  Scene scene;
  for (int n = 0; n < 2; ++n) {
    const auto answer =
        read_answer(scene.responder.answer(write_question(100, kName, Type::srv, 1232), false).value());
    EXPECT_EQ(answer.id, 100);
    EXPECT_EQ(answer.answers.size(), 2U);
  }
  EXPECT_EQ(scene.ask(kName).id, 7);
  scene.core.hold(3);
  EXPECT_EQ(scene.ask(kName).answers.size(), 3U);
  scene.core.told.ttl_decision.ttl = dns::Ttl{1};
  EXPECT_EQ(scene.ask(kName).answers[0].lifetime, 1U);
  scene.core.told.ttl_decision.service = dns::ClientService::proxies;
  EXPECT_TRUE(scene.ask(kName).answers.empty());
  scene.core.told.ttl_decision.service = dns::ClientService::replicas;
  scene.core.told.proxy_snapshot = nullptr;
  EXPECT_EQ(scene.ask(kName).code, Code::server_failure);
}

TEST(Responder, TruncatesByWhatTheAskerTakes) {
  Scene scene;
  scene.core.hold(12);
  EXPECT_TRUE(scene.ask(kName, Type::srv, std::nullopt).truncated);
  scene.core.hold(8);
  const auto eight = scene.ask(kName);
  EXPECT_FALSE(eight.truncated);
  EXPECT_EQ(eight.answers.size(), 8U);
  ASSERT_FALSE(eight.additional.empty());
  EXPECT_TRUE(std::holds_alternative<Txt>(eight.additional[0].data));
  scene.core.hold(200);
  const auto cut = scene.ask(kName, Type::srv, 65000);
  EXPECT_TRUE(cut.truncated);
  EXPECT_TRUE(cut.answers.empty());
  EXPECT_EQ(scene.ask(kName, Type::srv, 1232, true).answers.size(), 200U);
  for (const std::size_t edns : {0U, 512U, 1232U, 65535U}) {
    const auto wire = scene.responder.answer(write_question(1, kName, Type::srv, edns), false);
    EXPECT_LE(wire->size(), std::clamp<std::size_t>(edns, 512, 1232));
  }
}

TEST(Responder, RefusesWhatIsNoQuestion) {
  Scene scene;
  auto wire = write_question(0x1234, kName, Type::srv, 1232);
  EXPECT_FALSE(scene.responder.answer(std::span(wire).first(11), false));
  const auto code_of = [&](const Bytes& question) {
    return read_answer(scene.responder.answer(question, false).value()).code;
  };
  const Bytes cut(wire.begin(), wire.begin() + 20);
  EXPECT_EQ(code_of(cut), Code::format_error);
  auto notify = wire;
  notify[2] = 4 << 3;
  EXPECT_EQ(code_of(notify), Code::not_implemented);
  auto answer = wire;
  answer[2] |= 0x80;
  EXPECT_FALSE(scene.responder.answer(answer, false));
  auto newer = wire;
  newer[newer.size() - 5] = 1;  // the version in the OPT record
  EXPECT_EQ(code_of(newer), Code::bad_version);
}

TEST(RateLimit, HoldsOneAddressAndLeavesOthersAlone) {
  std::mt19937 chance(3);
  RateLimit limit(10, chance);
  int allowed = 0;
  for (int n = 0; n < 100; ++n) allowed += limit.allows(1s, "127.0.0.1");
  EXPECT_EQ(allowed, 10);
  EXPECT_TRUE(limit.allows(1s, "127.0.0.2"));
  EXPECT_TRUE(limit.allows(1200ms, "127.0.0.1"));
}

struct Serving : Scene {
  std::unique_ptr<Server> server =
      std::make_unique<Server>(config.dns, responder, 1, [](const std::string&) {});
  net::Socket connect() { return net::connect(server->address(), net::Steady::now() + 1s); }
};

std::vector<char> framed(const Bytes& wire) {
  std::vector<char> frame{static_cast<char>(wire.size() >> 8), static_cast<char>(wire.size() & 255)};
  frame.insert(frame.end(), wire.begin(), wire.end());
  return frame;
}

Answer read_framed(const net::Socket& socket) {
  std::array<char, 2> length{};
  net::read_fully(socket, length, net::Steady::now() + 1s);
  std::vector<char> wire(static_cast<std::size_t>(static_cast<std::uint8_t>(length[0]) << 8 |
                                                  static_cast<std::uint8_t>(length[1])));
  net::read_fully(socket, wire, net::Steady::now() + 1s);
  return read_answer(std::span(reinterpret_cast<const std::uint8_t*>(wire.data()), wire.size()));
}

TEST(Server, AnswersLibcsResolverByUdpAndByTcp) {
  Serving serving;
  const auto small = fakes::resolve(serving.server->address(), kName);
  ASSERT_EQ(small.kind, fakes::Resolved::Kind::answer);
  EXPECT_EQ(small.version, 5U);
  EXPECT_EQ(small.retry, "after-proof");
  serving.core.hold(1);
  EXPECT_EQ(fakes::resolve(serving.server->address(), kName).targets.at(0).address,
            (net::Address{"127.0.0.9", 9000}));
}

TEST(Server, ServesOthersWhileHostileConnectionsHangOn) {
  Serving serving;
  // As many as one address may hold; none of them ever says a whole word.
  std::vector<net::Socket> hanging;
  for (std::size_t n = 0; n < serving.config.dns.most_connections / 2 - 1; ++n) {
    hanging.push_back(serving.connect());
    net::write_fully(hanging.back(), std::array{'\0', '\x40', 'x'}, net::Steady::now() + 1s);
  }
  const auto socket = serving.connect();
  const auto question = framed(write_question(9, kName, Type::srv, 1232));
  auto several = question;
  several.insert(several.end(), question.begin(), question.end());
  net::write_fully(socket, several, net::Steady::now() + 1s);
  EXPECT_EQ(read_framed(socket).id, 9);
  EXPECT_EQ(read_framed(socket).answers.size(), 2U);
  const auto begun = net::Steady::now();
  serving.server->stop();
  EXPECT_LT(net::Steady::now() - begun, 1s);
}

}  // namespace
}  // namespace ospreypost::dns
