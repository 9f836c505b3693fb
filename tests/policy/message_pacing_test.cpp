#include "policy/message_pacing.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "policy/fleet_fixture.h"

namespace ospreypost::policy {
namespace {

using test::Fleet;
using test::small_settings;
using namespace std::chrono_literals;
using Allowance = MessagePacing::Allowance;

constexpr std::uint16_t kProxies = 6;
constexpr std::size_t kSubsets = 2;

/// Two subsets of one zone, whose proxies count the messages that the pacing allows.
class PacedSubsets : public Fleet {
 public:
  explicit PacedSubsets(std::size_t messages_per_window)
      : Fleet(settings_of(messages_per_window)),
        assignment(settings, classes),
        pacing(settings),
        messages_(kProxies) {
    // Small tables divide the replicas into two blocks.
    for (std::uint32_t id = 0; id < 48; ++id) add(id, 10, 0);
    assignment.lay_out(replicas, {1, 5});
    pacing.set_subset_count(assignment.subsets().size());
    for (std::uint16_t id = 0; id < kProxies; ++id) join(ProxyId{id});
  }
  void join(ProxyId proxy) {
    assignment.remove_proxy(proxy);
    assignment.add_proxy(proxy, 0, 10, 0s);
  }
  void bind(ProxyId proxy, std::size_t subset) {
    const bool is_bound = assignment.proxies().at(proxy).subset.has_value();
    if (!(is_bound ? pacing.may_migrate(proxy, now) : pacing.may_bind(proxy, now))) return;
    pacing.count_message(proxy, now);
    count(proxy);
    assignment.assign(proxy, subset, 0s);
  }
  void send(std::size_t subset, Allowance needed) {
    if (allowance(subset) < needed) return;
    const auto is_recipient = [subset](const Proxy& proxy) { return proxy.subset == subset; };
    pacing.count_messages(assignment, is_recipient, now);
    for (const auto& [id, proxy] : assignment.proxies()) {
      if (is_recipient(proxy)) count(id);
    }
  }
  Allowance allowance(std::size_t subset) { return pacing.allowances(assignment, now).subsets[subset]; }
  std::deque<Nanos>& messages_of(ProxyId proxy) { return messages_[static_cast<std::size_t>(proxy)]; }

  SubsetAssignment assignment;
  MessagePacing pacing;
  Nanos now = 100s;

 private:
  static Settings settings_of(std::size_t messages_per_window) {
    Settings settings = small_settings();
    settings.zones = 1;
    settings.max_messages_per_window = messages_per_window;
    return settings;
  }
  void count(ProxyId proxy) {
    auto& messages = messages_of(proxy);
    messages.push_back(now);
    while (messages.front() <= now - settings.message_window) messages.pop_front();
  }
  std::vector<std::deque<Nanos>> messages_;
};

class GeneratedPacingTest : public ::testing::TestWithParam<unsigned> {};

// Guards against proxies that are sent more messages than allowed, also those that join or migrate (review
// case 10).
TEST_P(GeneratedPacingTest, NoProxyIsSentMoreMessagesThanAllowed) {
  std::mt19937 random(GetParam());
  const auto draw = [&](std::size_t bound) { return random() % bound; };
  const std::size_t allowed = 1 + draw(20);
  PacedSubsets fleet(allowed);
  ASSERT_GE(fleet.assignment.subsets().size(), kSubsets);
  for (int step = 0; step < 1000; ++step) {
    fleet.now += std::chrono::milliseconds(draw(400));
    const ProxyId proxy{static_cast<std::uint16_t>(draw(kProxies))};
    const std::size_t subset = draw(kSubsets);
    switch (draw(12)) {
      case 0:
        fleet.join(proxy);
        break;
      case 1:
      case 2:
        fleet.bind(proxy, subset);
        break;
      default:
        fleet.send(subset, draw(2) == 0 ? Allowance::urgent : Allowance::all);
    }
    for (std::uint16_t id = 0; id < kProxies; ++id) {
      ASSERT_LE(fleet.messages_of(ProxyId{id}).size(), allowed) << "proxy " << id << ", step " << step;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, GeneratedPacingTest, ::testing::Range(1U, 61U));

TEST(MessagePacingTest, NormalMessagesLeaveOneForAnUrgentMessage) {
  PacedSubsets fleet(12);
  for (std::uint16_t id = 0; id < kProxies; ++id) fleet.bind(ProxyId{id}, 0);
  for (int step = 0; step < 600; ++step) {
    fleet.now += 100ms;
    fleet.send(0, Allowance::all);
    ASSERT_GE(fleet.allowance(0), Allowance::urgent) << "step " << step;
  }
  EXPECT_EQ(fleet.messages_of(ProxyId{0}).size(), 9U) << "the gap between normal messages is 1.1 s";
}

TEST(MessagePacingTest, AMigrationDoesNotDelayTheNextMessageOfTheNewSubset) {
  PacedSubsets fleet(12);
  fleet.bind(ProxyId{0}, 0);
  fleet.bind(ProxyId{1}, 1);
  fleet.now += 10s;
  fleet.bind(ProxyId{0}, 1);
  EXPECT_EQ(fleet.assignment.proxies().at(ProxyId{0}).subset, 1U);
  EXPECT_EQ(fleet.allowance(1), Allowance::all);
}

// Guards against a proxy that joins again and again and is sent its tables each time, which fills the
// channel.
TEST(MessagePacingTest, AProxyThatJoinsAgainIsSentItsTablesWithinTheLimit) {
  PacedSubsets fleet(12);
  for (int joins = 0; joins < 1000; ++joins) {
    fleet.now += 10ms;
    fleet.join(ProxyId{0});
    fleet.bind(ProxyId{0}, 0);
  }
  EXPECT_LE(fleet.messages_of(ProxyId{0}).size(), 12U);
  EXPECT_GE(fleet.messages_of(ProxyId{0}).size(), 9U);
}

TEST(MessagePacingTest, LetsEveryMessagePassWithoutALimit) {
  PacedSubsets fleet(0);
  fleet.bind(ProxyId{0}, 0);
  for (int message = 0; message < 100; ++message) fleet.send(0, Allowance::all);
  EXPECT_EQ(fleet.messages_of(ProxyId{0}).size(), 101U);
}

}  // namespace
}  // namespace ospreypost::policy
