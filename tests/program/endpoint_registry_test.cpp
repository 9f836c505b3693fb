/// Tests of the conversion of endpoint lists into updates, and of replica names into ids.
#include "platform/endpoint_registry.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "discovery/discovery_watcher.h"
#include "policy/controller.h"
#include "program/platform_support.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using test::endpoint_entry;

discovery::EndpointListUpdate complete_list(const std::string& entries) {
  return discovery::parse_endpoint_list_update(test::endpoint_list(1, true, entries));
}

discovery::EndpointListUpdate changes_of_list(const std::string& entries) {
  return discovery::parse_endpoint_list_update(test::endpoint_list(2, false, entries));
}

struct EndpointRegistryTest : testing::Test {
  EndpointRegistry registry{{"east"}, {"new"}, -100s};
};

TEST_F(EndpointRegistryTest, TranslatesStartsToTheControllersClock) {
  const auto changes = registry.apply(
      complete_list(endpoint_entry("a") + "," + endpoint_entry("b", "SERVING", "127.0.0.1:9", "150000")));
  ASSERT_EQ(changes.updates.size(), 2U);
  EXPECT_EQ(changes.updates[1].started, 50s);
}

TEST_F(EndpointRegistryTest, NeverReusesAnId) {
  registry.apply(complete_list(endpoint_entry("a") + "," + endpoint_entry("b")));
  const auto first_id = *registry.find_id("a");
  const auto other_id = *registry.find_id("b");
  const auto changes = registry.apply(complete_list(endpoint_entry("b", "DRAINING")));
  EXPECT_EQ(changes.no_longer_ready.size(), 2U)
      << "one replica is draining, the other is not in the complete list";
  EXPECT_EQ(registry.gone_replicas(), std::vector<ReplicaId>{first_id});
  registry.release(first_id);
  EXPECT_EQ(registry.size(), 1U);
  EXPECT_EQ(registry.find_endpoint(first_id), nullptr);
  registry.apply(changes_of_list(endpoint_entry("a")));
  EXPECT_NE(*registry.find_id("a"), first_id);
  EXPECT_EQ(*registry.find_id("b"), other_id);
}

TEST_F(EndpointRegistryTest, RejectsEntriesOfUnknownZones) {
  const auto changes = registry.apply(discovery::parse_endpoint_list_update(
      R"({"revision":4,"complete":false,"members":[{"id":"c","host_port":"127.0.0.1:9","locality":"moon","flavor":"new","cell":1,"phase":"SERVING","size":1,"up_since_ms":0}]})"));
  EXPECT_EQ(changes.rejected, 1U);
  EXPECT_FALSE(registry.find_id("c"));
}

}  // namespace
}  // namespace ospreypost::platform
