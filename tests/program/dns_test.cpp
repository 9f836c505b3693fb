// Tests DNS questions and answers against the specifications, and the server with slow, hostile and many
// clients.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <numeric>

#include "dns/rate_limit.h"
#include "dns/server.h"
#include "dns/srv_weights.h"
#include "fakes/stub_resolver.h"
#include "program/support.h"

namespace ospreypost::dns {
namespace {

using namespace std::chrono_literals;

RC_GTEST_PROP(SrvWeights, SumToTheTotalAndKeepEveryEntry, ()) {
  const auto count = *rc::gen::inRange(1, 600);
  std::vector<double> weights;
  for (int n = 0; n < count; ++n) weights.push_back(std::exp(*rc::gen::inRange(-70, 70) / 10.0));
  const auto srv_weights = to_srv_weights(weights);
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  int total = 0;
  double excess = 0;  // sum by which results exceed their exact share, due to the minimum of 1
  for (std::size_t n = 0; n < weights.size(); ++n) {
    total += srv_weights[n];
    excess += std::max(0.0, srv_weights[n] - weights[n] / sum * 65535);
    RC_ASSERT(srv_weights[n] >= 1);
  }
  RC_ASSERT(total == 65535);
  for (std::size_t n = 0; n < weights.size(); ++n)
    RC_ASSERT(std::abs(srv_weights[n] - weights[n] / sum * 65535) <= 1 + excess);
}

TEST(SrvWeights, ASmallWeightIsNotRoundedAway) {
  std::vector<double> weights(500, 1.0);
  weights[7] = 0.2;
  const auto srv_weights = to_srv_weights(weights);
  EXPECT_NEAR(srv_weights[7], srv_weights[8] * 0.2, 1);
  EXPECT_GE(srv_weights[7], 26);
}

// A pull service that answers every query with `pull_answer`, which the tests set.
struct FakePullService : delivery::PullService {
  FakePullService() {
    delivery::EndpointDirectory directory;
    for (int n = 0; n < 200; ++n) {
      const auto name = "unit-" + std::to_string(n);
      directory.ids_by_name[name] = ReplicaId{static_cast<std::uint32_t>(n)};
      directory.endpoints.push_back(
          {name, "east", {n == 3 ? "::1" : "127.0.0.9", static_cast<std::uint16_t>(9000 + n)}, n == 2});
    }
    directory_ = std::make_shared<delivery::EndpointDirectory>(std::move(directory));
    set_entry_count(2);
  }
  void set_entry_count(std::uint32_t entry_count) {
    auto table = std::make_shared<routing_state::RoutingTable>();
    for (std::uint32_t id = 0; id < entry_count; ++id) table->entries.push_back({ReplicaId{id}, id + 1.0});
    table->traffic_policies = {{0.5, RetryMode::once}, {1, RetryMode::after_rejection_proof}};
    auto proxy_snapshot = std::make_shared<routing_state::ProxySnapshot>();
    proxy_snapshot->changed_in = routing_state::SnapshotVersion{5};
    proxy_snapshot->routing_tables = {table, table};
    const std::lock_guard lock(mutex);
    pull_answer.proxy_snapshot = proxy_snapshot;
    pull_answer.ttl_decision = {dns::ClientService::replicas, dns::Ttl{2}};
    pull_answer.directory = directory_;
  }
  delivery::PullAnswer on_query(ProxyId, ClassId) override {
    const std::lock_guard lock(mutex);
    return pull_answer;
  }
  delivery::PullAnswer on_zone_query(ZoneId) override { return on_query({}, {}); }
  std::shared_ptr<const delivery::EndpointDirectory> directory() const override { return directory_; }
  routing_state::SnapshotVersion version() const override { return routing_state::SnapshotVersion{5}; }
  std::mutex mutex;
  delivery::PullAnswer pull_answer;
  std::shared_ptr<const delivery::EndpointDirectory> directory_;
};

struct TestResponder {
  FakePullService pull_service;
  config::Config config = test::small_config();
  Responder responder{config, pull_service};

  Answer ask(const std::string& name, Type type = Type::srv, std::optional<std::size_t> edns = 1232,
             bool over_tcp = false) {
    return read_answer(responder.answer(write_question(7, name, type, edns), over_tcp).value());
  }
};

const std::string kName = "_sign-job._tcp.forwarder-1.proxies.farm.example.";

TEST(Responder, AnswersAProxyWithItsEntriesTrafficPolicyAndAddresses) {
  TestResponder fixture;
  const auto answer = fixture.ask("_Sign-Job._TCP.forwarder-1.proxies.FARM.example.");
  EXPECT_EQ(answer.code, Code::ok);
  EXPECT_TRUE(answer.authoritative);
  EXPECT_EQ(answer.question_name, "_Sign-Job._TCP.forwarder-1.proxies.FARM.example.");
  ASSERT_EQ(answer.answers.size(), 2U);
  const auto& first = std::get<Srv>(answer.answers[0].data);
  EXPECT_EQ(first.target, "unit-0.replicas.farm.example.");
  EXPECT_EQ(first.port, 9000);
  EXPECT_EQ(first.weight, 21845);
  EXPECT_EQ(std::get<Srv>(answer.answers[1].data).weight, 43690);
  EXPECT_EQ(answer.answers[0].ttl, 2U);
  ASSERT_EQ(answer.additional.size(), 3U);
  EXPECT_EQ(std::get<Txt>(answer.additional[0].data).strings,
            (std::vector<std::string>{"txtvers=1", "version=5", "level=1.0000", "retry=after-proof"}));
  EXPECT_EQ(std::get<net::Address>(answer.additional[2].data).host, "127.0.0.9");
}

TEST(Responder, SendsNegativeAnswersAccordingToTheSpecifications) {
  TestResponder fixture;
  const auto code = [&](const std::string& name, Type type = Type::srv) {
    return fixture.ask(name, type).code;
  };
  EXPECT_EQ(code("farm.example.org."), Code::refused);
  EXPECT_EQ(code("otherfarm.example."), Code::refused);
  EXPECT_EQ(code("_unknown._tcp.forwarder-1.proxies.farm.example."), Code::name_error);
  EXPECT_EQ(code("unit-2.replicas.farm.example.", Type::a), Code::name_error);
  for (const auto& [name, type] :
       std::vector<std::pair<std::string, Type>>{{kName, Type::a},
                                                 {"proxies.farm.example.", Type::srv},
                                                 {"unit-3.replicas.farm.example.", Type::a}}) {
    const auto nodata = fixture.ask(name, type);
    EXPECT_EQ(nodata.code, Code::ok) << name;
    EXPECT_TRUE(nodata.answers.empty()) << name;
    ASSERT_EQ(nodata.authority.size(), 1U) << name;
    EXPECT_EQ(std::get<Soa>(nodata.authority[0].data).minimum, 1U);
  }
  EXPECT_EQ(
      std::get<net::Address>(fixture.ask("unit-3.replicas.farm.example.", Type::aaaa).answers.at(0).data)
          .host,
      "::1");
  EXPECT_EQ(std::get<Soa>(fixture.ask("farm.example.", Type::soa).answers.at(0).data).serial, 5U);
  fixture.pull_service.pull_answer.proxy_snapshot = nullptr;
  EXPECT_EQ(code(kName), Code::server_failure);
  fixture.pull_service.set_entry_count(0);
  EXPECT_EQ(code(kName), Code::ok);
  EXPECT_TRUE(fixture.ask(kName).answers.empty());
}

TEST(Responder, AClientWithoutReplicasGetsTheFallbackProxies) {
  TestResponder fixture;
  fixture.pull_service.pull_answer.ttl_decision = {dns::ClientService::proxies, dns::Ttl{1}};
  fixture.pull_service.pull_answer.fallback_proxies = {{ProxyId{1}, ZoneId{1}, {"127.0.0.1", 7002}},
                                                       {ProxyId{0}, ZoneId{0}, {"127.0.0.1", 7001}}};
  const auto answer = fixture.ask("_sign-job._tcp.forwarder-3.proxies.farm.example.");
  ASSERT_EQ(answer.answers.size(), 2U);
  EXPECT_EQ(std::get<Srv>(answer.answers[0].data).target, "forwarder-2.proxies.farm.example.");
  EXPECT_EQ(std::get<Srv>(answer.answers[0].data).priority, 0);
  EXPECT_EQ(std::get<Srv>(answer.answers[1].data).priority, 1);
}

TEST(Responder, ACachedAnswerIsSentAgainOnlyIfItsInputsAreUnchanged) {
  TestResponder fixture;
  for (int n = 0; n < 2; ++n) {
    const auto answer =
        read_answer(fixture.responder.answer(write_question(100, kName, Type::srv, 1232), false).value());
    EXPECT_EQ(answer.id, 100);
    EXPECT_EQ(answer.answers.size(), 2U);
  }
  EXPECT_EQ(fixture.ask(kName).id, 7);
  fixture.pull_service.set_entry_count(3);
  EXPECT_EQ(fixture.ask(kName).answers.size(), 3U);
  fixture.pull_service.pull_answer.ttl_decision.ttl = dns::Ttl{1};
  EXPECT_EQ(fixture.ask(kName).answers[0].ttl, 1U);
  fixture.pull_service.pull_answer.ttl_decision.service = dns::ClientService::proxies;
  EXPECT_TRUE(fixture.ask(kName).answers.empty());
  fixture.pull_service.pull_answer.ttl_decision.service = dns::ClientService::replicas;
  fixture.pull_service.pull_answer.proxy_snapshot = nullptr;
  EXPECT_EQ(fixture.ask(kName).code, Code::server_failure);
}

// Returns an answer of so many bytes.
AnswerCache::CachedAnswer cached_answer(std::size_t bytes) {
  return {ProxyTable{}, AnswerInputs(delivery::PullAnswer{}), Bytes(bytes)};
}

// Guards against clients that ask the same in ever new spellings, or with ever new padding, until the cache
// fills the memory.
TEST(AnswerCache, StoresNoMoreThanItsLimits) {
  AnswerCache cache({100, 10'000, 50});
  const auto question = [](std::size_t number, std::size_t bytes) {
    Bytes wire(bytes);
    wire[2] = static_cast<std::uint8_t>(number);
    return wire;
  };
  cache.insert(question(1, 51), true, cached_answer(10));
  EXPECT_FALSE(cache.find(question(1, 51), true)) << "a long question";
  cache.insert(question(1, 50), true, cached_answer(9'951));
  EXPECT_FALSE(cache.find(question(1, 50), true)) << "an answer above the limit";
  for (std::size_t number = 0; number < 10; ++number)
    cache.insert(question(number, 50), true, cached_answer(950));
  EXPECT_TRUE(cache.find(question(0, 50), true));
  cache.insert(question(10, 50), true, cached_answer(950));
  EXPECT_FALSE(cache.find(question(0, 50), true)) << "the cache is emptied at 10,000 bytes";
  EXPECT_TRUE(cache.find(question(10, 50), true));
}

TEST(Responder, TruncatesToTheSizeThatTheClientAccepts) {
  TestResponder fixture;
  fixture.pull_service.set_entry_count(12);
  EXPECT_TRUE(fixture.ask(kName, Type::srv, std::nullopt).truncated);
  fixture.pull_service.set_entry_count(8);
  const auto complete = fixture.ask(kName);
  EXPECT_FALSE(complete.truncated);
  EXPECT_EQ(complete.answers.size(), 8U);
  ASSERT_FALSE(complete.additional.empty());
  EXPECT_TRUE(std::holds_alternative<Txt>(complete.additional[0].data));
  fixture.pull_service.set_entry_count(200);
  const auto truncated = fixture.ask(kName, Type::srv, 65000);
  EXPECT_TRUE(truncated.truncated);
  EXPECT_TRUE(truncated.answers.empty());
  EXPECT_EQ(fixture.ask(kName, Type::srv, 1232, true).answers.size(), 200U);
  for (const std::size_t edns : {0U, 512U, 1232U, 65535U}) {
    const auto wire = fixture.responder.answer(write_question(1, kName, Type::srv, edns), false);
    EXPECT_LE(wire->size(), std::clamp<std::size_t>(edns, 512, 1232));
  }
}

TEST(Responder, RejectsInvalidQuestions) {
  TestResponder fixture;
  auto wire = write_question(0x1234, kName, Type::srv, 1232);
  EXPECT_FALSE(fixture.responder.answer(std::span(wire).first(11), false));
  const auto code_of = [&](const Bytes& question) {
    return read_answer(fixture.responder.answer(question, false).value()).code;
  };
  const Bytes truncated(wire.begin(), wire.begin() + 20);
  EXPECT_EQ(code_of(truncated), Code::format_error);
  auto notify = wire;
  notify[2] = 4 << 3;
  EXPECT_EQ(code_of(notify), Code::not_implemented);
  auto answer = wire;
  answer[2] |= 0x80;
  EXPECT_FALSE(fixture.responder.answer(answer, false));
  auto newer = wire;
  newer[newer.size() - 5] = 1;  // the EDNS version in the OPT record
  EXPECT_EQ(code_of(newer), Code::bad_version);
}

TEST(RateLimit, LimitsOneAddressWithoutAffectingOthers) {
  std::mt19937 rng(3);
  RateLimit rate_limit(10, rng);
  int allowed = 0;
  for (int n = 0; n < 100; ++n) allowed += rate_limit.allows(1s, "127.0.0.1");
  EXPECT_EQ(allowed, 10);
  EXPECT_TRUE(rate_limit.allows(1s, "127.0.0.2"));
  EXPECT_TRUE(rate_limit.allows(1200ms, "127.0.0.1"));
}

struct TestServer : TestResponder {
  std::unique_ptr<Server> server =
      std::make_unique<Server>(config.dns, responder, 1, [](const std::string&) {});
  net::Socket connect() { return net::connect(server->address(), net::Steady::now() + 1s); }
};

std::vector<char> framed(const Bytes& wire) {
  std::vector<char> frame(2 + wire.size());
  frame[0] = static_cast<char>(wire.size() >> 8);
  frame[1] = static_cast<char>(wire.size() & 255);
  std::copy(wire.begin(), wire.end(), frame.begin() + 2);
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

TEST(Server, AnswersTheLibcResolverOverUdpAndTcp) {
  TestServer fixture;
  const auto first = fakes::resolve(fixture.server->address(), kName);
  ASSERT_EQ(first.kind, fakes::Resolved::Kind::answer);
  EXPECT_EQ(first.version, 5U);
  EXPECT_EQ(first.retry, "after-proof");
  fixture.pull_service.set_entry_count(1);
  EXPECT_EQ(fakes::resolve(fixture.server->address(), kName).targets.at(0).address,
            (net::Address{"127.0.0.9", 9000}));
}

TEST(Server, ServesOtherClientsWhileHostileConnectionsStayOpen) {
  TestServer fixture;
  // Hostile clients hold all but one of the connections that one address may open, and send only the start of
  // a question on each.
  std::vector<net::Socket> open_connections;
  for (std::size_t n = 0; n < fixture.config.dns.max_connections / 2 - 1; ++n) {
    open_connections.push_back(fixture.connect());
    net::write_fully(open_connections.back(), std::array{'\0', '\x40', 'x'}, net::Steady::now() + 1s);
  }
  const auto socket = fixture.connect();
  const auto question = framed(write_question(9, kName, Type::srv, 1232));
  auto several = question;
  several.insert(several.end(), question.begin(), question.end());
  net::write_fully(socket, several, net::Steady::now() + 1s);
  EXPECT_EQ(read_framed(socket).id, 9);
  EXPECT_EQ(read_framed(socket).answers.size(), 2U);
  const auto start = net::Steady::now();
  fixture.server->stop();
  EXPECT_LT(net::Steady::now() - start, 1s);
}

// Guards against hostile clients that keep all connections, so that others get no answer over TCP.
TEST(Server, ServesANewClientWhileHostileConnectionsTakeAllPlaces) {
  TestServer fixture;
  std::vector<net::Socket> open_connections;
  for (std::size_t n = 0; n < fixture.config.dns.max_connections; ++n) {
    open_connections.push_back(fixture.connect());
    net::write_fully(open_connections.back(), std::array{'\0', '\x40', 'x'}, net::Steady::now() + 1s);
  }
  const auto socket = fixture.connect();
  const auto question = write_question(9, kName, Type::srv, 1232);
  net::write_fully(socket, framed(question), net::Steady::now() + 1s);
  EXPECT_EQ(read_framed(socket).id, 9);
}

}  // namespace
}  // namespace ospreypost::dns
