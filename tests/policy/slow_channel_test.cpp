/// Tests that the limit of queued entries holds while the channel runs at a fraction of its configured rate.
/// Fake proxies model the channel: messages leave in order, and proxies acknowledge them if requested.
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
  /// `rate_fraction`: rate of the channel as a fraction of the configured rate.
  explicit SlowChannelFixture(double rate_fraction)
      : proxies(settings.message_overhead_entries, rate_fraction * settings.channel_entries_per_second),
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
  // Sends load reports that change the weights, and then advances the clock by one second.
  void run_second(unsigned second) {
    for (std::uint32_t id = 0; id < kReplicas; ++id) {
      ReplicaLoadReport report;
      report.replica = ReplicaId{id};
      report.attempts = 20;
      report.mean_latency = 100ms;
      report.span = 1s;
      report.load = {(id + second) % 5 < 2 ? 0.8F : 0.1F};
      controller.on_replica_load_report(proxies.now, report);
      proxies.send_messages();
    }
    proxies.advance(controller, 1s);
  }

  static constexpr std::uint32_t kReplicas = 30;
  const Settings settings = fleet_settings();
  PacedFakeProxies proxies;
  Controller controller;
};

// Guards against an estimate of the queue that is too low: in simulated fleet days of seed 6 (split, roll and
// join) the channel ran at a sixth of its configured rate while the controller assumed half of it, and the
// queue grew to 20,299 entries at a limit of 20,200.
TEST(SlowChannelTest, QueuedEntriesStayWithinTheLimit) {
  for (const double rate_fraction : {1.0, 0.3, 0.15, 0.1}) {
    SlowChannelFixture fixture(rate_fraction);
    for (unsigned second = 0; second < 60; ++second) fixture.run_second(second);
    EXPECT_LE(fixture.proxies.max_queued_entries, fixture.settings.channel_max_queued_entries)
        << "at " << rate_fraction << " of its configured rate";
    EXPECT_EQ(fixture.proxies.bound_proxies.size(), 60U) << "every proxy is bound to its tables";
  }
}

TEST(SlowChannelTest, DrainingReplicasAreEjectedAsTheChannelEmpties) {
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

// Where proxies never acknowledge anything, the controller relies on half of the configured rate.
TEST(SlowChannelTest, WithoutAcknowledgementsActionsContinueAtHalfTheConfiguredRate) {
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
