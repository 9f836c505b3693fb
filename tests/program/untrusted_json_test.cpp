/// Tests of the bounds on documents from peers.
#include "json/untrusted_json.h"

#include <gtest/gtest.h>

#include <string>

#include "discovery/endpoint_list_update.h"
#include "files/generation.h"
#include "load_reports/otlp_metrics.h"
#include "net/socket.h"
#include "program/platform_support.h"

namespace ospreypost::json_input {
namespace {

constexpr std::size_t kRepetitions = 100'000;

std::string repeated(const std::string& piece, std::size_t times = kRepetitions) {
  std::string text;
  for (std::size_t time = 0; time < times; ++time) text += piece;
  return text;
}

TEST(UntrustedJson, ParsesAsThePlainParserDoes) {
  EXPECT_EQ(parse_untrusted(R"({"a":[1,2.5,"x",null,true,{}]})").dump(), R"({"a":[1,2.5,"x",null,true,{}]})");
  EXPECT_TRUE(parse_untrusted("{").is_discarded());
  EXPECT_TRUE(parse_untrusted("").is_discarded());
  EXPECT_TRUE(parse_untrusted("[1] x").is_discarded());
}

TEST(UntrustedJson, AcceptsSmallDocumentsOfAnyKind) {
  EXPECT_EQ(parse_untrusted("[" + repeated("0,", 1022) + "0]").size(), 1023U);
  EXPECT_FALSE(parse_untrusted(repeated("[", 32) + repeated("]", 32)).is_discarded());
  EXPECT_TRUE(parse_untrusted(repeated("[", 33) + repeated("]", 33)).is_discarded());
}

// Guards against documents that take many times the memory of their text: empty and nested arrays, and
// members of many short fields.
TEST(UntrustedJson, RejectsDocumentsOfManyShortValues) {
  EXPECT_TRUE(parse_untrusted("[" + repeated("[],") + "0]").is_discarded());
  EXPECT_TRUE(parse_untrusted("[" + repeated("0,") + "0]").is_discarded());
  EXPECT_TRUE(parse_untrusted(repeated("[") + repeated("]")).is_discarded());
  std::string fields;
  for (std::size_t field = 0; field < kRepetitions; ++field)
    fields += "\"" + std::to_string(field) + "\":{},";
  EXPECT_FALSE(parse_untrusted("{" + fields + "\"x\":0}").is_discarded()) << "10 bytes for a value";
  EXPECT_TRUE(parse_untrusted("[" + repeated(R"({"a":0},)") + "0]").is_discarded());
}

TEST(UntrustedJson, EachEdgeRejectsSuchDocuments) {
  const std::string arrays = "[" + repeated("[],") + "0]";
  EXPECT_THROW(
      discovery::parse_endpoint_list_update(R"({"revision":1,"complete":true,"members":)" + arrays + "}"),
      net::Error);
  EXPECT_THROW(load_reports::parse_metrics(R"({"resourceMetrics":[],"x":)" + arrays + "}"), net::Error);
  EXPECT_THROW(files::read_generation(R"({"epoch":1,"version":1,"x":)" + arrays + "}"), net::Error);
}

// Guards against a bound that rejects the shortest sound messages.
TEST(UntrustedJson, EachEdgeAcceptsLargeMessagesOfShortEntries) {
  std::string entries = R"({"id":"s","phase":"DELETED"})";
  for (std::size_t entry = 0; entry < kRepetitions; ++entry)
    entries += R"(,{"id":"s)" + std::to_string(entry) + R"(","phase":"DELETED"})";
  EXPECT_EQ(discovery::parse_endpoint_list_update(test::endpoint_list(1, false, entries)).entries.size(),
            kRepetitions + 1);
  std::string points =
      R"({"startTimeUnixNano":"1","timeUnixNano":"2","asInt":"1","attributes":[{"key":"replica","value":{"stringValue":"a"}}]})";
  points += repeated("," + points, kRepetitions / 10);
  const auto reports = load_reports::parse_metrics(
      R"({"resourceMetrics":[{"scopeMetrics":[{"metrics":[{"name":"ospreypost.tries","sum":{"aggregationTemporality":1,"dataPoints":[)" +
      points + "]}}]}]}]}");
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].points, kRepetitions / 10 + 1);
  EXPECT_EQ(reports[0].unsupported, 0U);
}

}  // namespace
}  // namespace ospreypost::json_input
