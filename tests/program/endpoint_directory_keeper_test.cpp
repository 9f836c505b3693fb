// Tests how EndpointDirectoryKeeper turns endpoint lists into ids, updates for the controller, and the
// endpoint directory.
#include "control_plane/endpoint_directory_keeper.h"

#include <gtest/gtest.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "control_plane/published_state.h"
#include "discovery/endpoint_list.h"
#include "policy/types.h"
#include "program/support.h"

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;

discovery::Endpoint endpoint(const std::string& name, const std::string& zone) {
  discovery::Endpoint result;
  result.name = name;
  result.zone = zone;
  result.cell = zone;
  result.address = {"127.0.0.1", 9001};
  return result;
}

struct EndpointDirectoryKeeperTest : testing::Test {
  const config::Config config = test::small_config();
  PublishedState published;
  EndpointDirectoryKeeper keeper{config, published};
  discovery::EndpointList list;
  Nanos now = 10s;

  EndpointDirectoryKeeper::AppliedChanges apply(const std::vector<discovery::Endpoint>& endpoints) {
    now += 1s;
    return keeper.apply(list.update(now, discovery::WallTime(now), endpoints));
  }
};

TEST_F(EndpointDirectoryKeeperTest, AssignsIdsToNewEndpointsOnly) {
  const auto first = apply({endpoint("a", "east"), endpoint("b", "west")});
  EXPECT_EQ(first.added, (std::vector{ReplicaId{0}, ReplicaId{1}}));
  ASSERT_EQ(first.updates.size(), 2U);
  EXPECT_EQ(first.updates[1].zone, ZoneId{1});

  const auto second = apply({endpoint("b", "west"), endpoint("c", "east")});
  EXPECT_EQ(second.added, (std::vector{ReplicaId{2}}));
  ASSERT_EQ(second.updates.size(), 2U);
  EXPECT_EQ(second.updates[0].replica, ReplicaId{0});
  EXPECT_EQ(second.updates[0].phase, EndpointPhase::gone);
  EXPECT_EQ(keeper.name_of(ReplicaId{2}), "c");
  EXPECT_EQ(keeper.name_of(ReplicaId{3}), "");
}

TEST_F(EndpointDirectoryKeeperTest, KeepsEndpointsThatAreGoneInTheDirectory) {
  apply({endpoint("a", "east"), endpoint("b", "west")});
  const auto before = published.directory();
  apply({endpoint("b", "west")});
  const auto after = published.directory();
  EXPECT_FALSE(before->endpoint(ReplicaId{0}).removed) << "a directory that is shared does not change";
  EXPECT_TRUE(after->endpoint(ReplicaId{0}).removed);
  EXPECT_EQ(after->endpoint(ReplicaId{0}).address.port, 9001);
  EXPECT_EQ(after->find("b"), &after->endpoint(ReplicaId{1}));
}

TEST_F(EndpointDirectoryKeeperTest, ListsTheUnroutableReplicas) {
  auto draining = endpoint("b", "west");
  draining.draining = true;
  apply({endpoint("a", "east"), draining, endpoint("c", "east")});
  keeper.set_ejected(ReplicaId{2}, true);

  const auto unroutable = keeper.take_unroutable_if_changed();

  ASSERT_TRUE(unroutable);
  EXPECT_EQ(unroutable->names, (std::vector<std::string>{"b", "c"}));
  EXPECT_EQ(unroutable->ids, (std::set{ReplicaId{1}, ReplicaId{2}, kUnknownReplica}));
  EXPECT_FALSE(keeper.take_unroutable_if_changed()) << "reported once";

  keeper.set_ejected(ReplicaId{2}, false);
  EXPECT_EQ(keeper.take_unroutable_if_changed()->names, std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace ospreypost::control_plane
