// Tests that log lines get replica names in place of numbers, and that RateLimitedLogger logs at most one
// line per interval.
#include "control_plane/log_lines.h"

#include <gtest/gtest.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <chrono>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>

#include "policy/types.h"

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;

std::string named(std::string_view line) {
  return with_replica_name(
      line, [](ReplicaId replica) -> std::string_view { return replica == ReplicaId{12} ? "unit-a" : ""; });
}

TEST(WithReplicaNameTest, ReplacesTheNumberByTheName) {
  EXPECT_EQ(named("breaker_closed replica=12"), "breaker_closed replica=unit-a");
  EXPECT_EQ(named("breaker_opened replica=12 cooldown_ms=2000"),
            "breaker_opened replica=unit-a cooldown_ms=2000");
}

TEST(WithReplicaNameTest, KeepsLinesWithoutAKnownReplica) {
  EXPECT_EQ(named("breaker_opened replica=120 cooldown_ms=2000"),
            "breaker_opened replica=120 cooldown_ms=2000");
  EXPECT_EQ(named("warm_up_held zone=12"), "warm_up_held zone=12");
  EXPECT_EQ(named(""), "");
}

TEST(WithReplicaNameTest, ReplacesTheFirstNumberOnly) {
  EXPECT_EQ(named("replica=12 after replica=12"), "replica=unit-a after replica=12");
}

struct RateLimitedLoggerTest : testing::Test {
  std::ostringstream lines;
  std::shared_ptr<spdlog::logger> log =
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_st>(lines));

  void SetUp() override { log->set_pattern("%v"); }
  std::string written() {
    log->flush();
    // Removes the carriage returns that some systems write at the end of a line.
    std::string text;
    for (const char letter : lines.str()) {
      if (letter != '\r') text += letter;
    }
    return text;
  }
};

TEST_F(RateLimitedLoggerTest, LogsTheFirstErrorAtOnceAndNoOtherWithinTheInterval) {
  RateLimitedLogger errors(log, 1h);
  errors.add("first");
  errors.add("second");
  errors.add("third");
  EXPECT_EQ(written(), "1 such since the last line; the newest: first\n");
}

TEST_F(RateLimitedLoggerTest, LogsEachErrorWithoutAnInterval) {
  RateLimitedLogger errors(log, 0ns);
  errors.add("first");
  errors.add("second");
  EXPECT_EQ(written(),
            "1 such since the last line; the newest: first\n"
            "1 such since the last line; the newest: second\n");
}

TEST_F(RateLimitedLoggerTest, CountsTheErrorsOfAnInterval) {
  const Nanos interval = 200ms;
  RateLimitedLogger errors(log, interval);
  const auto started = std::chrono::steady_clock::now();
  errors.add("first");
  // Adds errors until the interval is over; the count in the next line must include all of them.
  int added = 0;
  while (written().find("newest: later") == std::string::npos) {
    errors.add("later");
    added += 1;
    ASSERT_LT(std::chrono::steady_clock::now() - started, 10s);
  }
  EXPECT_GE(std::chrono::steady_clock::now() - started, interval);
  EXPECT_EQ(written(), "1 such since the last line; the newest: first\n" + std::to_string(added) +
                           " such since the last line; the newest: later\n");
}

}  // namespace
}  // namespace ospreypost::control_plane
