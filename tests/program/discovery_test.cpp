// Tests of the changes between two endpoint lists, of the parser of the endpoint file, and of the name table.
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

#include "discovery/endpoint_file_source.h"
#include "discovery/endpoint_list.h"
#include "discovery/name_table.h"
#include "net/socket.h"
#include "policy/types.h"
#include "program/support.h"

namespace ospreypost::discovery {
namespace {

using namespace std::chrono_literals;

Endpoint endpoint(const std::string& name, std::optional<WallTime> started = std::nullopt) {
  Endpoint result;
  result.name = name;
  result.started = started;
  return result;
}

WallTime wall(Nanos since_epoch) { return WallTime(since_epoch); }

TEST(EndpointListTest, ReportsTheChangesFromThePreviousList) {
  EndpointList list;
  EXPECT_TRUE(list.update(10s, wall(100s), {endpoint("b"), endpoint("a")}).is_first_list);
  auto draining = endpoint("a");
  draining.draining = true;

  const auto update = list.update(11s, wall(101s), {draining, endpoint("c")});

  EXPECT_FALSE(update.is_first_list);
  ASSERT_EQ(update.changes.size(), 3U);
  EXPECT_EQ(update.changes[0].phase, EndpointPhase::draining);
  EXPECT_EQ(update.changes[1].phase, EndpointPhase::gone);
  EXPECT_EQ(update.changes[1].endpoint, nullptr);
  EXPECT_EQ(update.changes[2].phase, EndpointPhase::ready);
}

TEST(EndpointListTest, KeepsTheLastValidListWhenAnInvalidListArrives) {
  EndpointList list;
  list.update(10s, wall(100s), {endpoint("a")});

  EXPECT_THROW(list.update(11s, wall(101s), {}), net::Error);
  EXPECT_THROW(list.update(12s, wall(102s), {endpoint("b"), endpoint("b")}), net::Error);

  EXPECT_TRUE(list.update(13s, wall(103s), {endpoint("a")}).changes.empty());
}

TEST(EndpointListTest, RestartedEndpointDoesNotAppearWarmWhenTheWallClockJumps) {
  EndpointList list;
  list.update(10s, wall(1000s), {endpoint("a", wall(400s))});
  // The endpoint restarted between the two lists, and the wall clock jumped ahead by one hour.
  const auto update = list.update(12s, wall(4602s), {endpoint("a", wall(1001s))});
  ASSERT_EQ(update.changes.size(), 1U);
  EXPECT_EQ(update.changes[0].started, Nanos(10s));
  // A start time in the future counts as now.
  EXPECT_EQ(list.update(14s, wall(0s), {endpoint("a", wall(4610s))}).changes[0].started, Nanos(14s));
}

TEST(EndpointFileSourceTest, ErrorsNameTheInvalidPart) {
  const auto config = test::small_config();
  const auto error_of = [&](const std::string& entry) {
    try {
      parse_endpoint_file("{\"backends\":[" + entry + "]}", config);
    } catch (const net::Error& error) {
      return std::string(error.what());
    }
    return std::string("none");
  };
  const std::string good = R"({"name":"a","zone":"east","address":"127.0.0.1:1"})";
  EXPECT_EQ(error_of(good), "none");
  EXPECT_EQ(error_of(R"({"name":"A.b","zone":"east","address":"127.0.0.1:1"})"),
            "the endpoint file's name 'A.b' is not a valid label of a DNS name");
  EXPECT_EQ(error_of(R"({"name":"a","zone":"moon","address":"127.0.0.1:1"})"),
            "the endpoint file's a: unknown zone 'moon'");
  EXPECT_EQ(error_of(R"({"name":"a","zone":"east","address":"nowhere"})"),
            "'nowhere' is not an address and a port");
  EXPECT_EQ(error_of(R"({"name":"a","zone":"east","address":"127.0.0.1:1","weight":0})"),
            "the endpoint file's a: weight must be above 0 and at most 1000000");
  EXPECT_EQ(error_of(good + ","), "the endpoint file is no JSON, or is incomplete");
}

TEST(EndpointFileSourceTest, ParsesAStartTimeToTheMicrosecond) {
  const auto endpoints = parse_endpoint_file(
      R"({"backends":[{"name":"a","zone":"east","address":"127.0.0.1:1","started":1764575432.250001}]})",
      test::small_config());
  ASSERT_EQ(endpoints.size(), 1U);
  EXPECT_EQ(endpoints[0].started, wall(1764575432250001us));
  EXPECT_EQ(endpoints[0].cell, "east") << "the cell defaults to the zone";
  EXPECT_EQ(endpoints[0].weight, 1);
}

TEST(NameTableTest, AssignsEachNameOneIdInOrderOfFirstUse) {
  NameTable<ReplicaId> names;
  EXPECT_EQ(names.id_of("b"), ReplicaId{0});
  EXPECT_EQ(names.id_of("a"), ReplicaId{1});
  EXPECT_EQ(names.id_of("b"), ReplicaId{0});
  EXPECT_EQ(names.size(), 2U);
  EXPECT_EQ(names.find("a"), ReplicaId{1});
  EXPECT_FALSE(names.find("c"));
  EXPECT_EQ(names.name(ReplicaId{1}), "a");
  EXPECT_THROW(names.name(ReplicaId{2}), std::out_of_range);
}

}  // namespace
}  // namespace ospreypost::discovery
