/// Tests of the message parser: which messages it accepts from each kind of peer, and which it rejects.
#include "platform/messages.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using Words = std::vector<std::string>;

constexpr const char* kRejected = "rejected";

struct RecordingHandler : MessageHandler {
  void on_liveness_request() override { calls += "liveness "; }
  void on_proxy_hello(ProxyId, ZoneId, double, bool) override { calls += "proxy "; }
  void on_collector_hello(ZoneId) override { calls += "collector "; }
  void on_replica_load_report(const ReplicaLoadReport& report) override {
    calls += "load ";
    load_report = report;
  }
  void on_demand_report(ProxyId, const DemandReport& report) override {
    calls += "demand ";
    demand_report = report;
  }
  void on_acknowledgement(ProxyId, std::uint64_t, Nanos time) override {
    calls += "acknowledgement ";
    elapsed = time;
  }

  std::string calls;
  ReplicaLoadReport load_report;
  DemandReport demand_report;
  Nanos elapsed{};
};

MessageNames message_names() {
  MessageNames names{{"read", "sign"}, {"east", "west"}, {"inflight", "util"}, 10, {}};
  names.find_replica = [](std::string_view name) {
    return name == "s-1" ? std::optional(ReplicaId{7}) : std::nullopt;
  };
  return names;
}

Words split(const std::string& line) {
  Words words;
  std::size_t begin = 0;
  while (begin <= line.size()) {
    const auto end = std::min(line.find(' ', begin), line.size());
    words.push_back(line.substr(begin, end - begin));
    begin = end + 1;
  }
  return words;
}

// Parses a message and returns the names of the handler's methods that were called, or `kRejected`. For the
// role `proxy`, the sender is proxy 3.
std::string parse(const std::string& line, PeerRole role, RecordingHandler& handler) {
  const auto words = split(line);
  const auto proxy = role == PeerRole::proxy ? std::optional(ProxyId{3}) : std::nullopt;
  try {
    parse_message({words.begin(), words.end()}, message_names(), {role, proxy}, handler);
  } catch (const MessageError&) {
    return handler.calls.empty() ? kRejected : "rejected, but handled";
  }
  return handler.calls;
}

std::string parse(const std::string& line, PeerRole role) {
  RecordingHandler handler;
  return parse(line, role, handler);
}

const std::string kValidLoadReport = "outcomes site east target s-1 count 9 fail 2 mean 41 over 1000";

TEST(MessagesTest, ParsesLoadReports) {
  RecordingHandler handler;
  EXPECT_EQ(
      parse("outcomes site west target s-1 count 9 fail 2 mean 41.5 over 1000.0 util util:0.5,inflight:7",
            PeerRole::collector, handler),
      "load ");
  EXPECT_EQ(handler.load_report.replica, ReplicaId{7});
  EXPECT_EQ(handler.load_report.zone, ZoneId{1});
  EXPECT_EQ(handler.load_report.mean_latency, 41500us);
  EXPECT_EQ(handler.load_report.span, 1s);
  EXPECT_EQ(handler.load_report.load, (std::vector<float>{7, 0.5}));
}

TEST(MessagesTest, ParsesALoadReportWithoutLatencyWhereNoAttemptSucceeded) {
  EXPECT_EQ(parse("outcomes site east target s-1 count 3 fail 3 over 1000", PeerRole::proxy), "load ");
}

TEST(MessagesTest, ParsesDemandReportsWithMoreFailuresThanArrivals) {
  RecordingHandler handler;
  EXPECT_EQ(parse("demand id 3 lane sign count 1 fail 4 over 900", PeerRole::proxy, handler), "demand ");
  EXPECT_EQ(handler.demand_report.cls, ClassId{1});
}

TEST(MessagesTest, ParsesAcknowledgements) {
  RecordingHandler handler;
  EXPECT_EQ(parse("ack id 3 seq 905 ms 310.4", PeerRole::proxy, handler), "acknowledgement ");
  EXPECT_EQ(handler.elapsed, 310400us);
}

TEST(MessagesTest, ParsesMessagesAllowedOnUnidentifiedConnections) {
  EXPECT_EQ(parse("hello id 9 site east rps 0 new 0", PeerRole::unidentified), "proxy ");
  EXPECT_EQ(parse("agent site east", PeerRole::unidentified), "collector ");
  EXPECT_EQ(parse("probe", PeerRole::unidentified), "liveness ");
}

TEST(MessagesTest, RejectsLoadReportsWithAMissingOrInvalidField) {
  const auto& valid = kValidLoadReport;
  for (const std::string field : {"site", "target", "count", "fail", "mean", "over"}) {
    const auto field_begin = valid.find(" " + field + " ");
    const auto value_begin = field_begin + field.size() + 2;
    const auto value_end = std::min(valid.find(' ', value_begin), valid.size());
    const auto rest = valid.substr(value_end);
    EXPECT_EQ(parse(valid.substr(0, field_begin) + rest, PeerRole::proxy), kRejected) << "without " << field;
    for (const char* invalid : {"", "nan", "inf", "-1", "1e99", "x", "99999999999999999999", "7seven"}) {
      EXPECT_EQ(parse(valid.substr(0, value_begin) + invalid + rest, PeerRole::proxy), kRejected)
          << field << " is '" << invalid << "'";
    }
  }
}

TEST(MessagesTest, RejectsLoadReportsWithInvalidColumns) {
  for (const char* invalid : {"util:", "util:nan", "util:-1", "util:99,inflight:1", "util:0.5", "speed:1",
                              "7", "inflight:1,util:x", "inflight:-1,util:0.5"}) {
    EXPECT_EQ(parse(kValidLoadReport + " util " + invalid, PeerRole::proxy), kRejected) << invalid;
  }
}

TEST(MessagesTest, RejectsLoadReportsThatContradictThemselves) {
  EXPECT_EQ(parse("outcomes site east target s-1 count 9 fail 10 mean 41 over 1000", PeerRole::proxy),
            kRejected);
  EXPECT_EQ(parse("outcomes site east target s-1 count 9 fail 2 mean 41 over 0", PeerRole::proxy), kRejected);
  EXPECT_EQ(parse(kValidLoadReport + " over 1000", PeerRole::proxy), kRejected) << "a repeated field";
  EXPECT_EQ(parse(kValidLoadReport + " over", PeerRole::proxy), kRejected) << "a field without a value";
}

TEST(MessagesTest, RejectsInvalidMessagesFromAProxy) {
  for (const char* line :
       {"demand id 3 lane dance count 1 fail 0 over 900", "demand id 4 lane sign count 1 fail 0 over 9",
        "demand id 3 lane sign count 1.5 fail 0 over 900", "ack id 3 seq x ms 1", "ack id 3 seq 1",
        "ack id 3 seq 1 ms -1", "hello id 4 site east rps 1 new 1", "push full 1", "agent site east",
        "dance"}) {
    EXPECT_EQ(parse(line, PeerRole::proxy), kRejected) << line;
  }
}

TEST(MessagesTest, RejectsMessagesNotAllowedFromUnidentifiedConnectionsAndCollectors) {
  for (const char* line : {"hello id 10 site east rps 1 new 1", "hello id 3 site north rps 1 new 1",
                           "hello id 3 site east rps 1 new 2", "agent site north", "ack id 3 seq 1 ms 1",
                           "demand id 3 lane sign count 1 fail 0 over 900", "push full 1"}) {
    EXPECT_EQ(parse(line, PeerRole::unidentified), kRejected) << line;
  }
  EXPECT_EQ(parse("ack id 3 seq 1 ms 1", PeerRole::collector), kRejected);
}

TEST(MessagesTest, ParsesTheLoadReportOfAHealthCheckByItsColumns) {
  EXPECT_EQ(parse_load_report("TEXT inflight=7, util=0.61\n", {"inflight", "util"}),
            (std::vector<float>{7, 0.61F}));
  EXPECT_TRUE(parse_load_report("", {"util"}).empty());
  EXPECT_THROW(parse_load_report("TEXT util=high", {"util"}), MessageError);
}

}  // namespace
}  // namespace ospreypost::platform
