// The channel's limit while the channel runs at a fraction of its stated pace, beside a plain model of it:
// messages leave one after the other, and proxies answer the marks that they carry.
#include <gtest/gtest.h>

#include "support.h"

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

struct ChannelScene {
  // `pace`: of the stated lines a second.
  explicit ChannelScene(double pace)
      : host(settings.message_overhead_entries, pace * settings.channel_entries_per_second),
        governor(settings, 7, host.now, host) {
    std::vector<EndpointUpdate> entries;
    for (std::uint32_t id = 0; id < kReplicas; ++id) entries.push_back(entry(id));
    governor.on_endpoint_list(host.now, EndpointListKind::cached, entries);
    host.take();
    for (std::uint16_t p = 0; p < 60; ++p) {
      governor.on_proxy_joined(host.now, ProxyId{p}, ZoneId{0}, 20, true);
      host.take();
    }
  }
  // Reports that move the weights, then a second.
  void second(unsigned turn) {
    for (std::uint32_t id = 0; id < kReplicas; ++id) {
      ReplicaLoadReport sum;
      sum.replica = ReplicaId{id};
      sum.attempts = 20;
      sum.mean_latency = 100ms;
      sum.span = 1s;
      sum.load = {(id + turn) % 5 < 2 ? 0.8F : 0.1F};
      governor.on_replica_load_report(host.now, sum);
      host.take();
    }
    host.pass(governor, 1s);
  }

  static constexpr std::uint32_t kReplicas = 30;
  const Settings settings = fleet_settings();
  ChannelHost host;
  Controller governor;
};

// Found on the fleet's split, roll and join days of seed 6: at a sixth of its pace the channel held 20,299
// lines of 20,200, while it was believed to run at half.
TEST(SlowChannel, NeverHoldsMoreThanItsLimit) {
  for (const double pace : {1.0, 0.3, 0.15, 0.1}) {
    ChannelScene scene(pace);
    for (unsigned s = 0; s < 60; ++s) scene.second(s);
    EXPECT_LE(scene.host.most_waiting, scene.settings.channel_max_queued_entries)
        << "at " << pace << " of its pace";
    EXPECT_EQ(scene.host.bindings.size(), 60u) << "and every proxy has its tables";
  }
}

TEST(SlowChannel, DrainsGoOutAsItEmpties) {
  ChannelScene scene(0.15);
  for (unsigned s = 0; s < 20; ++s) scene.second(s);
  for (std::uint32_t id = 0; id < 5; ++id)
    scene.governor.on_endpoint_list(scene.host.now, EndpointListKind::changes,
                                    {entry(id, 0, EndpointPhase::draining)});
  scene.host.take();
  for (unsigned s = 0; s < 10; ++s) scene.second(s);
  EXPECT_EQ(scene.host.withdrawn.size(), 5u);
  EXPECT_LE(scene.host.most_waiting, scene.settings.channel_max_queued_entries);
}

// Behind some fronts nobody answers: half the stated pace is counted on there.
TEST(SlowChannel, WhereNobodyAnswersOrdersGoOnAtHalfTheStatedPace) {
  ChannelScene scene(0.5);
  scene.host.answers = false;
  for (unsigned s = 0; s < 30; ++s) scene.second(s);
  EXPECT_EQ(scene.host.bindings.size(), 60u);
  scene.governor.on_endpoint_list(scene.host.now, EndpointListKind::changes,
                                  {entry(3, 0, EndpointPhase::draining)});
  scene.host.take();
  scene.second(30);
  EXPECT_EQ(scene.host.withdrawn.size(), 1u);
  EXPECT_LE(scene.host.most_waiting, scene.settings.channel_max_queued_entries);
}

}  // namespace
}  // namespace ospreypost::test
