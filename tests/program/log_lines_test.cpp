// Names in place of numbers, and at most one line for each interval.
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
  EXPECT_EQ(named("trip replica 12"), "trip replica unit-a");
  EXPECT_EQ(named("trip replica 12: 3 of 4"), "trip replica unit-a: 3 of 4");
}

TEST(WithReplicaNameTest, LeavesWhatHasNoName) {
  EXPECT_EQ(named("trip replica 120: 3 of 4"), "trip replica 120: 3 of 4");
  EXPECT_EQ(named("hold cold in zone 12"), "hold cold in zone 12");
  EXPECT_EQ(named(""), "");
}

TEST(WithReplicaNameTest, ReplacesTheFirstNumberOnly) {
  EXPECT_EQ(named("replica 12 after replica 12"), "replica unit-a after replica 12");
}

struct RateLimitedLoggerTest : testing::Test {
  std::ostringstream lines;
  std::shared_ptr<spdlog::logger> log =
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_st>(lines));

  void SetUp() override { log->set_pattern("%v"); }
  std::string written() {
    log->flush();
    // Whatever the end of a line is on this system.
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

TEST_F(RateLimitedLoggerTest, LogsEachErrorWhereNoIntervalIsSet) {
  RateLimitedLogger errors(log, 0ns);
  errors.add("first");
  errors.add("second");
  EXPECT_EQ(written(),
            "1 such since the last line; the newest: first\n"
            "1 such since the last line; the newest: second\n");
}

TEST_F(RateLimitedLoggerTest, SumsUpTheErrorsOfAnInterval) {
  const Nanos interval = 200ms;
  RateLimitedLogger errors(log, interval);
  const auto started = std::chrono::steady_clock::now();
  errors.add("first");
  // As often as it takes until the interval is over; the count must hold all of them.
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
