/// The channel's limit while the channel runs at a fraction of its stated pace, beside a plain model of it:
/// messages leave one after the other, and proxies acknowledge those that ask for it.
#include <gtest/gtest.h>

#include "policy/controller_fixture.h"

namespace ospreypost::test {
namespace {

Settings fleet_settings() {
  auto settings = small_settings();
  settings.proxies = 60;
  settings.zones = 1;
  settings.max_messages_per_window = 0;
  settings.channel_entries_per_second = 1000;
  settings.channel_max_queued_entries = 2000;
  return settings;
}

struct SlowChannelFixture {
  /// `pace`: of the stated entries a second.
  explicit SlowChannelFixture(double pace)
      : proxies(settings.message_overhead_entries, pace * settings.channel_entries_per_second),
        controller(settings, 7, proxies.now, proxies) {
    std::vector<EndpointUpdate> entries;
    for (std::uint32_t id = 0; id < kReplicas; ++id) entries.push_back(entry(id));
    controller.on_endpoint_list(proxies.now, EndpointListKind::cached, entries);
    proxies.send_messages();
    for (std::uint16_t proxy = 0; proxy < 60; ++proxy) {
      controller.on_proxy_joined(proxies.now, ProxyId{proxy}, ZoneId{0}, 20, true);
      proxies.send_messages();
    }
  }
  // Reports that move the weights, then a second.
  void run_second(unsigned turn) {
    for (std::uint32_t id = 0; id < kReplicas; ++id) {
      ReplicaLoadReport report;
      report.replica = ReplicaId{id};
      report.attempts = 20;
      report.mean_latency = 100ms;
      report.span = 1s;
      report.load = {(id + turn) % 5 < 2 ? 0.8F : 0.1F};
      controller.on_replica_load_report(proxies.now, report);
      proxies.send_messages();
    }
    proxies.pass(controller, 1s);
  }

  static constexpr std::uint32_t kReplicas = 30;
  const Settings settings = fleet_settings();
  PacedFakeProxies proxies;
  Controller controller;
};

// Found on the fleet's split, roll and join days of seed 6: at a sixth of its pace the channel held 20,299
// entries of 20,200, while it was believed to run at half.
TEST(SlowChannelTest, NeverHoldsMoreThanItsLimit) {
  for (const double pace : {1.0, 0.3, 0.15, 0.1}) {
    SlowChannelFixture fixture(pace);
    for (unsigned second = 0; second < 60; ++second) fixture.run_second(second);
    EXPECT_LE(fixture.proxies.max_queued_entries, fixture.settings.channel_max_queued_entries)
        << "at " << pace << " of its pace";
    EXPECT_EQ(fixture.proxies.bound_proxies.size(), 60U) << "and every proxy has its tables";
  }
}

TEST(SlowChannelTest, DrainsAreSentAsItEmpties) {
  SlowChannelFixture fixture(0.15);
  for (unsigned second = 0; second < 20; ++second) fixture.run_second(second);
  for (std::uint32_t id = 0; id < 5; ++id) {
    fixture.controller.on_endpoint_list(fixture.proxies.now, EndpointListKind::changes,
                                        {entry(id, 0, EndpointPhase::draining)});
  }
  fixture.proxies.send_messages();
  for (unsigned second = 0; second < 10; ++second) fixture.run_second(second);
  EXPECT_EQ(fixture.proxies.ejected.size(), 5U);
  EXPECT_LE(fixture.proxies.max_queued_entries, fixture.settings.channel_max_queued_entries);
}

// Where proxies never acknowledge, half the stated pace is counted on.
TEST(SlowChannelTest, WithoutAcknowledgementsActionsGoOnAtHalfTheStatedPace) {
  SlowChannelFixture fixture(0.5);
  fixture.proxies.acknowledges = false;
  for (unsigned second = 0; second < 30; ++second) fixture.run_second(second);
  EXPECT_EQ(fixture.proxies.bound_proxies.size(), 60U);
  fixture.controller.on_endpoint_list(fixture.proxies.now, EndpointListKind::changes,
                                      {entry(3, 0, EndpointPhase::draining)});
  fixture.proxies.send_messages();
  fixture.run_second(30);
  EXPECT_EQ(fixture.proxies.ejected.size(), 1U);
  EXPECT_LE(fixture.proxies.max_queued_entries, fixture.settings.channel_max_queued_entries);
}

}  // namespace
}  // namespace ospreypost::test
