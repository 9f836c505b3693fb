/// Simple forms of the five invariants, checked against the controller on generated input: draining replicas
/// are ejected in time, proxies have endpoints, requests go to allowed endpoints only, requests that are not
/// idempotent are not repeated, and messages stay within their limit.
#include <gtest/gtest.h>

#include <random>

#include "policy/controller_fixture.h"

namespace ospreypost::test {
namespace {

constexpr std::uint32_t kReplicas = 9;
constexpr int kSteps = 60;

class ControllerInvariantsTest : public ::testing::TestWithParam<unsigned> {
 protected:
  ControllerInvariantsTest() : random_(GetParam()) {
    if (draw(2) != 0) settings_.classes[1].allowed_zones = {ZoneId{0}, ZoneId{2}};
    fixture_.emplace(settings_, kReplicas);
    for (std::uint32_t id = 0; id < kReplicas; ++id) listed_[id] = EndpointPhase::ready;
  }

  std::uint32_t draw(unsigned bound) { return static_cast<std::uint32_t>(random_() % bound); }

  void run_second() {
    std::map<std::uint32_t, unsigned> failed;
    for (std::uint32_t id = 0; id < kReplicas; ++id) failed[id] = draw(4) != 0 ? 0 : draw(11);
    fixture_->run_second(failed, 0, 1 + draw(12));
  }

  /// Makes a random replica drain, leave or return. At least four other replicas stay ready.
  void change_endpoint() {
    const auto id = draw(kReplicas);
    const auto phase = static_cast<EndpointPhase>(draw(3));
    const bool becomes_ready = phase == EndpointPhase::ready;
    const auto ready_others = std::count_if(listed_.begin(), listed_.end(), [id](const auto& entry) {
      return entry.first != id && entry.second == EndpointPhase::ready;
    });
    if (!becomes_ready && ready_others < 4) return;
    const bool was_ready = listed_[id] == EndpointPhase::ready;
    if (!becomes_ready && was_ready) notified_[id] = now();
    auto update = entry(id, zone_of(id), phase);
    if (becomes_ready && !was_ready) update.started = now();
    if (phase != listed_[id]) fixture_->update_endpoint(update);
    listed_[id] = phase;
  }

  void reconnect_proxy() {
    const ProxyId proxy{static_cast<std::uint16_t>(draw(3))};
    fixture_->controller.on_proxy_left(now(), proxy);
    for (unsigned cls = 0; cls < 2; ++cls) fixture_->proxies.bound_tables.erase({proxy, cls});
    const ZoneId zone{static_cast<std::uint16_t>(proxy)};
    fixture_->controller.on_proxy_joined(now(), proxy, zone, 20, false);
  }

  void expect_draining_replicas_ejected() const {
    const Nanos allowed = settings_.drain_grace - settings_.message_delay;
    for (const auto& [id, phase] : listed_) {
      if (phase == EndpointPhase::ready || now() - notified_.at(id) <= allowed) continue;
      EXPECT_TRUE(proxies().ejected.contains(ReplicaId{id})) << "drain of " << id;
    }
  }

  /// Checks that a proxy has an endpoint for a class while any allowed replica is ready, and that the class's
  /// table contains no replica that the class may not use.
  void expect_endpoints(const ProxyClass& bound, TableId table) const {
    bool any_is_ready = false;
    bool is_served = false;
    for (const auto& [id, phase] : listed_) {
      const bool is_in_table = proxies().tables.at(table).contains(ReplicaId{id});
      if (!is_allowed(bound.cls, id)) {
        EXPECT_FALSE(is_in_table);
        continue;
      }
      any_is_ready |= phase == EndpointPhase::ready;
      is_served |= is_in_table && !proxies().ejected.contains(ReplicaId{id});
    }
    EXPECT_TRUE(is_served || !any_is_ready) << "without endpoints";
  }

  /// Checks that attempts of class 1, which is not idempotent, are retried only after proof of rejection.
  void expect_no_unsafe_retries() const {
    for (const auto& action : proxies().admitted_fractions) {
      const bool concerns_class_1 = action.classes == 0 || (action.classes & 2U) != 0;
      EXPECT_FALSE(concerns_class_1 && action.retry > RetryMode::after_rejection_proof);
    }
  }

  void expect_messages_within_limit() const {
    EXPECT_EQ(proxies().repeated_entries, 0);
    const auto& times = proxies().message_times;
    const auto recent = std::count_if(times.begin(), times.end(),
                                      [this](Nanos time) { return time > now() - settings_.message_window; });
    EXPECT_LE(recent, static_cast<std::ptrdiff_t>(settings_.max_messages_per_window));
  }

  const FakeProxies& proxies() const { return fixture_->proxies; }
  Nanos now() const { return proxies().now; }

 private:
  static std::uint16_t zone_of(std::uint32_t id) { return static_cast<std::uint16_t>(id % 3); }
  bool is_allowed(unsigned cls, std::uint32_t id) const {
    const auto& zones = settings_.classes[cls].allowed_zones;
    return zones.empty() || std::find(zones.begin(), zones.end(), ZoneId{zone_of(id)}) != zones.end();
  }

  std::mt19937 random_;
  Settings settings_ = small_settings();
  std::optional<ControllerFixture> fixture_;
  std::map<std::uint32_t, EndpointPhase> listed_;
  std::map<std::uint32_t, Nanos> notified_;  // time of the list in which a replica was no longer ready
};

TEST_P(ControllerInvariantsTest, HoldOnGeneratedInput) {
  for (int step = 0; step < kSteps; ++step) {
    SCOPED_TRACE(step);
    run_second();
    if (draw(3) == 0) change_endpoint();
    if (draw(8) == 0) reconnect_proxy();
    expect_draining_replicas_ejected();
    for (const auto& [bound, table] : proxies().bound_tables) expect_endpoints(bound, table);
    expect_no_unsafe_retries();
    expect_messages_within_limit();
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ControllerInvariantsTest, ::testing::Range(1U, 41U));

}  // namespace
}  // namespace ospreypost::test
