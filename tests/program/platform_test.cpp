// The pure parts of the platform's door, each beside a slow plain model: framing, messages, places, the
// channel.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "config/xml.h"
#include "platform/endpoint_registry.h"
#include "platform/messages.h"
#include "platform/platform_config.h"
#include "platform/table_update_encoder.h"
#include "program/platform_support.h"
#include "routing_state/routing_state.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using Words = std::vector<std::string>;

// --- Framing

// Reads a byte at a time, and knows no shortcut.
struct PlainReader {
  resp::MessageLimits limits;
  std::vector<Words> messages;
  Words words;
  std::string line, rest;
  std::size_t count = 0, bytes = 0;
  enum { array, size, body } at = array;
  bool malformed = false;

  void put(char c) {
    if (malformed) return;
    ++bytes;
    if (at == body) {
      rest += c;
      if (rest.size() == count + 1 && c != '\r') malformed = true;
      if (rest.size() < count + 2) return;
      if (c != '\n') malformed = true;
      words.push_back(rest.substr(0, count));
      at = size;
      if (words.size() == wanted) messages.push_back(words), words.clear(), bytes = 0, at = array;
      return;
    }
    line += c;
    if (line.front() != (at == array ? '*' : '$')) malformed = true;
    if (line.size() > 11 || bytes > limits.max_bytes + 11) malformed = true;
    const bool ends = line.size() >= 2 && line.substr(line.size() - 2) == "\r\n";
    const auto digits = line.substr(1, line.find('\r') - 1);
    if (digits.find_first_not_of("0123456789") != std::string::npos) malformed = true;
    if (digits.empty() && line.find('\r') != std::string::npos) malformed = true;
    if (line.find('\r') != std::string::npos && line.find('\r') + 1 < line.size() && !ends) malformed = true;
    if (digits.size() > 8) malformed = true;
    if (!ends || malformed) return;
    count = std::stoul(digits);
    line.clear();
    rest.clear();
    if (at == array) {
      wanted = count;
      malformed = count == 0 || count > limits.max_words;
      at = size;
    } else {
      malformed = bytes > limits.max_bytes || count > limits.max_bytes - bytes;
      at = body;
    }
  }
  std::size_t wanted = 0;
};

RC_GTEST_PROP(Resp, ReadsWhatAPlainReaderReadsHoweverTheBytesArrive, ()) {
  const resp::MessageLimits limits{200, 8};
  std::string bytes;
  for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
    const auto words = *rc::gen::nonEmpty(rc::gen::container<Words>(rc::gen::string<std::string>()));
    resp::write_message(bytes, {words.begin(), words.end()});
  }
  // Mostly sound, sometimes with a byte changed.
  if (!bytes.empty() && *rc::gen::inRange(0, 2) == 0)
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::element('*', '$', '\r', '\n', '0', '9', '-');
  PlainReader plain;
  plain.limits = limits;
  for (const char c : bytes) plain.put(c);

  resp::MessageReader reader(limits);
  std::vector<Words> messages;
  bool malformed = false;
  for (std::size_t at = 0; at < bytes.size() && !malformed;) {
    const auto piece = *rc::gen::inRange<std::size_t>(1, bytes.size() - at + 1);
    reader.append(std::string_view(bytes).substr(at, piece));
    at += piece;
    try {
      while (const auto words = reader.next()) messages.emplace_back(words->begin(), words->end());
    } catch (const resp::ProtocolError&) {
      malformed = true;
    }
  }
  RC_ASSERT(messages == plain.messages);
  RC_ASSERT(malformed == plain.malformed);
}

TEST(Resp, RefusesALengthBeforeItsBytesCome) {
  resp::MessageReader reader({1000, 8});
  reader.append("*1\r\n$99999999\r\n");
  EXPECT_THROW(reader.next(), resp::ProtocolError);
  resp::MessageReader web;
  web.append("GET / HTTP/1.1\r\n");
  EXPECT_THROW(web.next(), resp::ProtocolError);
  resp::MessageReader endless;
  endless.append("*1111111111111");
  EXPECT_THROW(endless.next(), resp::ProtocolError);
}

// --- Messages

struct Heard : MessageHandler {
  std::string all;
  ReplicaLoadReport sum;
  DemandReport demand;
  Nanos took{};
  void on_liveness_request() override { all += "life "; }
  void on_proxy_hello(ProxyId, ZoneId, double, bool) override { all += "hello "; }
  void on_collector_hello(ZoneId) override { all += "agent "; }
  void on_replica_load_report(const ReplicaLoadReport& told) override { all += "sum ", sum = told; }
  void on_demand_report(ProxyId, const DemandReport& told) override { all += "demand ", demand = told; }
  void on_acknowledgement(ProxyId, std::uint64_t, Nanos told) override { all += "mark ", took = told; }
};

MessageNames vocabulary() {
  MessageNames known{{"read", "sign"}, {"east", "west"}, {"inflight", "util"}, 10, {}};
  known.find_replica = [](std::string_view name) {
    return name == "s-1" ? std::optional(ReplicaId{7}) : std::nullopt;
  };
  return known;
}

// What was told, or "spoilt".
std::string told(const std::string& line, PeerRole from, Heard& heard) {
  Words words;
  for (std::size_t at = 0; at <= line.size();) {
    const auto end = std::min(line.find(' ', at), line.size());
    words.push_back(line.substr(at, end - at));
    at = end + 1;
  }
  try {
    const auto proxy = from == PeerRole::proxy ? std::optional(ProxyId{3}) : std::nullopt;
    parse_message({words.begin(), words.end()}, vocabulary(), {from, proxy}, heard);
  } catch (const MessageError&) {
    return heard.all.empty() ? "spoilt" : "spoilt, but told";
  }
  return heard.all;
}
std::string told(const std::string& line, PeerRole from) {
  Heard heard;
  return told(line, from, heard);
}

TEST(Messages, SoundOnesAreTold) {
  Heard heard;
  EXPECT_EQ(
      told("outcomes site west target s-1 count 9 fail 2 mean 41.5 over 1000.0 util util:0.5,inflight:7",
           PeerRole::collector, heard),
      "sum ");
  EXPECT_EQ(heard.sum.replica, ReplicaId{7});
  EXPECT_EQ(heard.sum.zone, ZoneId{1});
  EXPECT_EQ(heard.sum.mean_latency, 41500us);
  EXPECT_EQ(heard.sum.span, 1s);
  EXPECT_EQ(heard.sum.load, (std::vector<float>{7, 0.5}));
  EXPECT_EQ(told("outcomes site east target s-1 count 3 fail 3 over 1000", PeerRole::proxy), "sum ");
  // Failures are counted when they end, arrivals when they come.
  EXPECT_EQ(told("demand id 3 lane sign count 1 fail 4 over 900", PeerRole::proxy, heard), "sum demand ");
  EXPECT_EQ(heard.demand.cls, ClassId{1});
  EXPECT_EQ(told("ack id 3 seq 905 ms 310.4", PeerRole::proxy), "mark ");
  EXPECT_EQ(told("hello id 9 site east rps 0 new 0", PeerRole::unidentified), "hello ");
  EXPECT_EQ(told("agent site east", PeerRole::unidentified), "agent ");
  EXPECT_EQ(told("probe", PeerRole::unidentified), "life ");
}

TEST(Messages, SpoiltOnesAreRefusedWhole) {
  const std::string sum = "outcomes site east target s-1 count 9 fail 2 mean 41 over 1000";
  for (const std::string field : {"site", "target", "count", "fail", "mean", "over"}) {
    const auto at = sum.find(" " + field + " ");
    const auto value = at + field.size() + 2;
    const auto end = std::min(sum.find(' ', value), sum.size());
    EXPECT_EQ(told(sum.substr(0, at) + sum.substr(end), PeerRole::proxy), "spoilt") << "without " << field;
    for (const char* wrong : {"", "nan", "inf", "-1", "1e99", "x", "99999999999999999999", "7seven"}) {
      EXPECT_EQ(told(sum.substr(0, value) + wrong + sum.substr(end), PeerRole::proxy), "spoilt")
          << field << " is '" << wrong << "'";
    }
  }
  for (const char* wrong : {"util:", "util:nan", "util:-1", "util:99,inflight:1", "util:0.5", "speed:1", "7",
                            "inflight:1,util:x", "inflight:-1,util:0.5"}) {
    EXPECT_EQ(told(sum + " util " + wrong, PeerRole::proxy), "spoilt") << wrong;
  }
  EXPECT_EQ(told("outcomes site east target s-1 count 9 fail 10 mean 41 over 1000", PeerRole::proxy),
            "spoilt");
  EXPECT_EQ(told("outcomes site east target s-1 count 9 fail 2 mean 41 over 0", PeerRole::proxy), "spoilt");
  EXPECT_EQ(told(sum + " over 1000", PeerRole::proxy), "spoilt") << "a field twice";
  EXPECT_EQ(told(sum + " over", PeerRole::proxy), "spoilt") << "a field without a value";
  for (const char* line :
       {"demand id 3 lane dance count 1 fail 0 over 900", "demand id 4 lane sign count 1 fail 0 over 9",
        "demand id 3 lane sign count 1.5 fail 0 over 900", "ack id 3 seq x ms 1", "ack id 3 seq 1",
        "ack id 3 seq 1 ms -1", "hello id 4 site east rps 1 new 1", "push full 1", "agent site east",
        "dance"}) {
    EXPECT_EQ(told(line, PeerRole::proxy), "spoilt") << line;
  }
  for (const char* line : {"hello id 10 site east rps 1 new 1", "hello id 3 site north rps 1 new 1",
                           "hello id 3 site east rps 1 new 2", "agent site north", "ack id 3 seq 1 ms 1",
                           "demand id 3 lane sign count 1 fail 0 over 900", "push full 1"}) {
    EXPECT_EQ(told(line, PeerRole::unidentified), "spoilt") << line;
  }
  EXPECT_EQ(told("ack id 3 seq 1 ms 1", PeerRole::collector), "spoilt");
}

TEST(Messages, ALoadReportIsReadByItsColumns) {
  EXPECT_EQ(parse_load_report("TEXT inflight=7, util=0.61\n", {"inflight", "util"}),
            (std::vector<float>{7, 0.61f}));
  EXPECT_TRUE(parse_load_report("", {"util"}).empty());
  EXPECT_THROW(parse_load_report("TEXT util=high", {"util"}), MessageError);
}

// --- Places

TEST(EndpointRegistry, NumbersAreGivenOnceAndStartsAreOneStart) {
  EndpointRegistry places({"east"}, {"new"}, -100s);
  const auto first = places.apply(discovery::parse_endpoint_list_update(test::roster(
      1, true, test::member("a") + "," + test::member("b", "SERVING", "127.0.0.1:9", "150000"))));
  ASSERT_EQ(first.updates.size(), 2u);
  EXPECT_EQ(first.updates[1].started, 50s);
  const auto a = *places.find_id("a"), b = *places.find_id("b");
  // Whoever a whole list leaves out is gone, and no later one gets its number.
  const auto second = places.apply(
      discovery::parse_endpoint_list_update(test::roster(2, true, test::member("b", "DRAINING"))));
  EXPECT_EQ(second.no_longer_ready.size(), 2u);
  EXPECT_EQ(places.gone_replicas(), std::vector<ReplicaId>{a});
  places.release(a);
  EXPECT_EQ(places.size(), 1u);
  EXPECT_EQ(places.find_endpoint(a), nullptr);
  places.apply(discovery::parse_endpoint_list_update(test::roster(3, false, test::member("a"))));
  EXPECT_NE(*places.find_id("a"), a);
  EXPECT_EQ(*places.find_id("b"), b);
  // Of a zone that the settings don't have, nothing can be said.
  const auto odd = places.apply(discovery::parse_endpoint_list_update(
      R"({"revision":4,"complete":false,"members":[{"id":"c","host_port":"127.0.0.1:9","locality":"moon","flavor":"new","cell":1,"phase":"SERVING","size":1,"up_since_ms":0}]})"));
  EXPECT_EQ(odd.rejected, 1u);
  EXPECT_FALSE(places.find_id("c"));
}

TEST(EndpointRegistry, AListThatCannotBeReadIsNone) {
  for (const std::string text : {"", "[]", "{", R"({"revision":-1,"complete":true,"members":[]})",
                                 R"({"revision":1,"members":[]})", R"({"revision":1,"complete":true})"})
    EXPECT_THROW(discovery::parse_endpoint_list_update(text), net::Error) << text;
  const auto some = discovery::parse_endpoint_list_update(
      test::roster(1, true,
                   test::member("a") + R"(,{"id":7},)" + test::member("b", "DANCING") + "," +
                       test::member("a") + "," + test::member("c", "SERVING", "nowhere")));
  EXPECT_EQ(some.members.size(), 1u);
  EXPECT_EQ(some.refused, 4u);
}

// --- The channel

// Applies what is written on its stream, as the platform's page says.
struct PlainProxy {
  struct Table {
    std::map<std::string, double> lines;
    std::pair<std::string, std::string> terms{"1", "1"};
  };
  std::map<std::string, Table> tables{{"read", {}}, {"sign", {}}};
  std::size_t lines = 0;
  std::string nonce;

  void apply(const std::string& bytes) {
    resp::MessageReader reader({std::size_t{1} << 20, 4096});
    reader.append(bytes);
    bool more = false;
    while (const auto words = reader.next()) {
      std::map<std::string, std::string> fields;
      for (std::size_t n = 1; n + 1 < words->size(); n += 2)
        fields[std::string((*words)[n])] = (*words)[n + 1];
      std::vector<Table*> meant;
      for (auto& [name, table] : tables) {
        if (!fields.contains("routes") ||
            ("+" + fields["routes"] + "+").find("+" + name + "+") != std::string::npos)
          meant.push_back(&table);
      }
      for (auto* table : meant) {
        if (fields.contains("full")) *table = {};
        for (std::string rest = fields["endpoints"] + ","; rest.size() > 1;
             rest = rest.substr(rest.find(',') + 1)) {
          const auto colon = rest.find(':');
          const double weight = std::stod(rest.substr(colon + 1));
          weight > 0 ? void(table->lines[rest.substr(0, colon)] = weight)
                     : void(table->lines.erase(rest.substr(0, colon)));
        }
        if (fields.contains("admit")) table->terms = {fields["admit"], fields["policy"]};
      }
      const auto endpoints = fields["endpoints"];
      lines += fields.contains("full") + (fields.contains("admit") ? meant.size() : 0) +
               fields.contains("nonce_out") +
               (endpoints.empty() ? 0 : 1 + std::count(endpoints.begin(), endpoints.end(), ','));
      if (fields.contains("nonce_out")) nonce = fields["nonce_out"];
      more = fields.contains("continued");
    }
    RC_ASSERT(!more);
  }
};

RC_GTEST_PROP(TableUpdateEncoder, AProxyHoldsWhatTheBookSaysWhateverCameBefore, ()) {
  constexpr std::size_t proxies = 3, replicas = 5;
  const auto name_of = [](ReplicaId id) {
    static const Words names{"s-0", "s-1", "s-2", "s-3", "s-4"};
    return std::string_view(names.at(static_cast<std::size_t>(id)));
  };
  routing_state::RoutingState book(2);
  TableUpdateEncoder channel({"read", "sign"}, RetryMode::after_rejection_proof);
  std::map<std::size_t, PlainProxy> joined;
  std::map<ProxyId, std::shared_ptr<const routing_state::ProxySnapshot>> proxy_snapshots;
  for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
    const auto p = *rc::gen::inRange<std::size_t>(0, proxies);
    const ProxyId proxy{static_cast<std::uint16_t>(p)};
    const ReplicaId replica{*rc::gen::inRange<std::uint32_t>(0, replicas)};
    const TableId table{*rc::gen::inRange<std::uint16_t>(0, 2)};
    const auto classes = *rc::gen::inRange<ClassMask>(0, 4);
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        book.add_proxy(proxy);
        channel.on_proxy_joined(proxy);
        // It may bring along anything.
        joined[p] = {};
        joined[p].tables["read"].lines = {{"s-4", 3.0}};
        joined[p].tables["sign"].terms = {"0.5", "3"};
        break;
      case 1:
        book.remove_proxy(proxy);
        channel.on_proxy_left(proxy);
        joined.erase(p);
        break;
      case 2:
        book.bind(proxy, table, classes);
        break;
      case 3:
        book.set_ejected(replica, *rc::gen::arbitrary<bool>());
        break;
      case 4:
        book.set_admitted_fraction(
            *rc::gen::arbitrary<bool>() ? kAllTables : table, classes, *rc::gen::element(0.0, 0.25, 1.0),
            *rc::gen::element(RetryMode::none, RetryMode::after_rejection_proof, RetryMode::twice));
        break;
      default:
        book.set_table_entry(table, replica, *rc::gen::element(0.0, 0.5, 1.0, 2.25));
    }
    if (*rc::gen::inRange(0, 3) > 0) continue;  // several calls, one message
    if (const auto published = book.publish(Nanos{})) {
      proxy_snapshots.clear();
      for (const auto& [id, proxy_snapshot] : published->snapshot->proxy_snapshots)
        proxy_snapshots[id] = proxy_snapshot;
      for (const auto& pending : published->changes)
        channel.on_published(pending.proxy, proxy_snapshots[pending.proxy]);
    }
    const auto due = channel.due_proxies();
    for (const auto id : due) {
      // Who reads slowly gets one message of all that stands by then.
      if (*rc::gen::inRange(0, 4) == 0) continue;
      auto& plain = joined.at(static_cast<std::size_t>(id));
      const auto before = plain.lines;
      const auto message = channel.next_message(id, name_of);
      plain.apply(message.bytes);
      RC_ASSERT(plain.lines - before == message.entries);
    }
    for (const auto& [p2, plain] : joined) {
      const ProxyId id{static_cast<std::uint16_t>(p2)};
      if (channel.due_proxies().contains(id) || !proxy_snapshots.contains(id)) continue;
      for (std::size_t k = 0; k < 2; ++k) {
        const auto view = proxy_snapshots[id]->routing_tables[k];
        if (!view) continue;
        std::map<std::string, double> lines;
        for (const auto& line : view->entries) lines[std::string(name_of(line.replica))] = line.weight;
        const auto& table = plain.tables.at(k == 0 ? "read" : "sign");
        RC_ASSERT(table.lines == lines);
        RC_ASSERT(std::stod(table.terms.first) == view->traffic_policies[k].admitted_fraction);
        RC_ASSERT(table.terms.second == std::to_string(static_cast<int>(view->traffic_policies[k].retry)));
      }
    }
  }
}

TEST(TableUpdateEncoder, TwoMarksOfOneMessageAreBothAnswered) {
  TableUpdateEncoder channel({"read", "sign"}, RetryMode::after_rejection_proof);
  const ProxyId proxy{1};
  channel.on_proxy_joined(proxy);
  channel.request_acknowledgement(proxy, AckRequestId{4}, true);
  channel.request_acknowledgement(proxy, AckRequestId{9}, true);
  PlainProxy plain;
  plain.apply(channel.next_message(proxy, [](ReplicaId) { return std::string_view("s"); }).bytes);
  EXPECT_TRUE(channel.on_acknowledgement(proxy, 77).empty()) << "an answer to what was never asked";
  EXPECT_EQ(channel.on_acknowledgement(proxy, std::stoul(plain.nonce)),
            (std::vector<AckRequestId>{AckRequestId{4}, AckRequestId{9}}));
  EXPECT_TRUE(channel.on_acknowledgement(proxy, std::stoul(plain.nonce)).empty());
}

TEST(TableUpdateEncoder, AMarkThatGoesWithOrdersMakesNoMessageOfItsOwn) {
  TableUpdateEncoder channel({"read", "sign"}, RetryMode::after_rejection_proof);
  const ProxyId proxy{1};
  const auto name = [](ReplicaId) { return std::string_view("s"); };
  channel.on_proxy_joined(proxy);
  channel.request_acknowledgement(proxy, AckRequestId{4}, false);
  EXPECT_TRUE(channel.next_message(proxy, name).bytes.empty()) << "each message counts against its limit";
  channel.drop_replicas({ReplicaId{2}});
  channel.request_acknowledgement(proxy, AckRequestId{5}, false);
  PlainProxy plain;
  plain.apply(channel.next_message(proxy, name).bytes);
  EXPECT_EQ(channel.on_acknowledgement(proxy, std::stoul(plain.nonce)),
            std::vector<AckRequestId>{AckRequestId{5}});
}

TEST(TableUpdateEncoder, WhatNobodyHoldsIsFound) {
  const auto name = [](ReplicaId) { return std::string_view("s"); };
  routing_state::RoutingState book(2);
  TableUpdateEncoder channel({"read", "sign"}, RetryMode::after_rejection_proof);
  const std::vector<ReplicaId> both{ReplicaId{1}, ReplicaId{2}};
  EXPECT_EQ(channel.unused_replicas(both), both);
  const auto order = [&](ReplicaId replica, double weight) {
    book.set_table_entry(TableId{0}, replica, weight);
    channel.on_published(ProxyId{1}, book.publish(Nanos{})->snapshot->snapshot_of(ProxyId{1}));
  };
  book.add_proxy(ProxyId{1});
  channel.on_proxy_joined(ProxyId{1});
  book.bind(ProxyId{1}, TableId{0}, 0);
  order(ReplicaId{1}, 1);
  EXPECT_EQ(channel.unused_replicas(both), std::vector<ReplicaId>{ReplicaId{2}}) << "it is to hold the other";
  channel.next_message(ProxyId{1}, name);
  order(ReplicaId{2}, 1);
  order(ReplicaId{1}, 0);
  EXPECT_TRUE(channel.unused_replicas(both).empty())
      << "its stream was last written the one, and is to hold the other";
  channel.next_message(ProxyId{1}, name);
  EXPECT_EQ(channel.unused_replicas(both), std::vector<ReplicaId>{ReplicaId{1}});
}

TEST(TableUpdateEncoder, WhatIsOutLeavesTheLinesOfThoseWhoWaitForATable) {
  TableUpdateEncoder channel({"read", "sign"}, RetryMode::after_rejection_proof);
  channel.on_proxy_joined(ProxyId{1});
  channel.drop_replicas({ReplicaId{2}});
  PlainProxy plain;
  plain.tables["read"].lines = {{"s-2", 1.0}, {"s-3", 1.0}};
  plain.apply(channel.next_message(ProxyId{1}, [](ReplicaId) { return std::string_view("s-2"); }).bytes);
  EXPECT_EQ(plain.tables["read"].lines, (std::map<std::string, double>{{"s-3", 1.0}}));
  // A name that was let go is never written: a proxy would break with us for it.
  channel.drop_replicas({ReplicaId{4}});
  EXPECT_EQ(channel.next_message(ProxyId{1}, [](ReplicaId) { return std::string_view(); }).entries, 0u);
}

// --- The configuration

TEST(PlatformConfig, IsReadWithTheSettingsOfTheSimulatorsWire) {
  const auto read = parse_platform_config(test::platform_config(), "c.json");
  EXPECT_EQ(read.name, "n0");
  EXPECT_EQ(read.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(read.classes, (Words{"read", "sign"}));
  EXPECT_EQ(read.settings.classes[1].effect, Idempotency::at_most_once);
  EXPECT_EQ(read.settings.classes[1].request_deadline, 2s);
  EXPECT_EQ(read.settings.drain_grace, 3s);
  EXPECT_EQ(read.settings.zones, 2u);
  EXPECT_EQ(read.settings.max_messages_per_window, 12u);
  EXPECT_EQ(read.settings.load_columns, std::vector<LoadMetric>{LoadMetric::util});
}

TEST(PlatformConfig, AFaultNamesFileAndField) {
  const auto sound = test::platform_config();
  const std::vector<std::pair<std::string, std::string>> faults{
      {"\"listen\"", "listen"},      {"\"discovery\"", "discovery"},
      {"\"seed\"", "seed"},          {"\"limits\"", "limits"},
      {"\"sockets\"", "sockets"},    {"\"known\"", "known"},
      {"\"settings\"", "settings"},  {"\"classes\"", "classes"},
      {"\"bare-s\"", "bare-s"},      {"\"default-retry\"", "default-retry"},
      {"\"quantum-s\"", "quantum-s"}};
  for (const auto& [key, named] : faults) {
    auto text = sound;
    text.replace(text.find(key), key.size(), "\"x\"");
    try {
      parse_platform_config(text, "c.json");
      ADD_FAILURE() << "without " << key;
    } catch (const config::ConfigError& fault) {
      EXPECT_EQ(std::string(fault.what()).substr(0, 7), "c.json:");
      EXPECT_NE(std::string(fault.what()).find(named), std::string::npos) << fault.what();
      EXPECT_EQ(std::string(fault.what()).find('\n'), std::string::npos);
    }
  }
  EXPECT_THROW(parse_platform_config("{", "c.json"), config::ConfigError);
  EXPECT_THROW(read_platform_config("/nonexistent"), config::ConfigError);
}

}  // namespace
}  // namespace ospreypost::platform
