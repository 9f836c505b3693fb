// Rolls are taken whole or not at all.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "discovery/endpoint_file_source.h"
#include "discovery/endpoint_list.h"
#include "program/support.h"

namespace ospreypost {
namespace {

using namespace std::chrono_literals;

discovery::Endpoint backend(const std::string& name,
                            std::optional<discovery::WallTime> started = std::nullopt) {
  discovery::Endpoint made;
  made.name = name;
  made.started = started;
  return made;
}

discovery::WallTime wall(Nanos at) { return discovery::WallTime(at); }

TEST(EndpointList, TellsWhatDiffers) {
  discovery::EndpointList roll;
  EXPECT_TRUE(roll.update(10s, wall(100s), {backend("b"), backend("a")}).is_first_list);
  auto draining = backend("a");
  draining.draining = true;
  const auto taken = roll.update(11s, wall(101s), {draining, backend("c")});
  ASSERT_EQ(taken.changes.size(), 3U);
  EXPECT_EQ(taken.changes[0].phase, EndpointPhase::draining);
  EXPECT_EQ(taken.changes[1].phase, EndpointPhase::gone);
  EXPECT_EQ(taken.changes[2].phase, EndpointPhase::ready);
}

TEST(EndpointList, WhatIsAbsurdLeavesTheLastGoodOneStanding) {
  discovery::EndpointList roll;
  roll.update(10s, wall(100s), {backend("a")});
  EXPECT_THROW(roll.update(11s, wall(101s), {}), net::Error);
  EXPECT_THROW(roll.update(12s, wall(102s), {backend("b"), backend("b")}), net::Error);
  EXPECT_TRUE(roll.update(13s, wall(103s), {backend("a")}).changes.empty());
}

TEST(EndpointList, AWallClockThatJumpsMakesNothingWarmThatIsCold) {
  discovery::EndpointList roll;
  roll.update(10s, wall(1000s), {backend("a", wall(400s))});
  // Restarted between two readings, and the clock jumped an hour ahead meanwhile.
  const auto taken = roll.update(12s, wall(4602s), {backend("a", wall(1001s))});
  ASSERT_EQ(taken.changes.size(), 1U);
  EXPECT_EQ(taken.changes[0].started, Nanos(10s));
  // And a start in the future is one of now.
  EXPECT_EQ(roll.update(14s, wall(0s), {backend("a", wall(4610s))}).changes[0].started, Nanos(14s));
}

TEST(EndpointFileSource, NamesWhatIsWrong) {
  const auto config = test::small_config();
  const auto fault = [&](const std::string& entry) {
    try {
      discovery::parse_endpoint_file("{\"backends\":[" + entry + "]}", config);
    } catch (const net::Error& error) {
      return std::string(error.what());
    }
    return std::string("none");
  };
  const std::string good = R"({"name":"a","zone":"east","address":"127.0.0.1:1"})";
  EXPECT_EQ(fault(good), "none");
  EXPECT_EQ(fault(R"({"name":"A.b","zone":"east","address":"127.0.0.1:1"})"),
            "the roll's name 'A.b' is no label of a DNS name");
  EXPECT_EQ(fault(R"({"name":"a","zone":"moon","address":"127.0.0.1:1"})"),
            "the roll's a: unknown zone 'moon'");
  EXPECT_EQ(fault(R"({"name":"a","zone":"east","address":"nowhere"})"),
            "'nowhere' is not an address and a port");
  EXPECT_EQ(fault(R"({"name":"a","zone":"east","address":"127.0.0.1:1","weight":0})"),
            "the roll's a: weight must be above 0");
  EXPECT_EQ(fault(good + ","), "the roll is no JSON, or only half of one");
}

}  // namespace
}  // namespace ospreypost
