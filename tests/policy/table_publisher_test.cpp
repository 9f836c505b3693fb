#include "policy/table_publisher.h"

#include <gtest/gtest.h>

#include "policy/fleet_fixture.h"

namespace ospreypost::policy {
namespace {

using test::Fleet;
using test::small_settings;
using namespace std::chrono_literals;

Settings publisher_settings(double max_queued_entries = 10000) {
  Settings settings = small_settings();
  settings.zones = 1;
  settings.channel_max_queued_entries = max_queued_entries;
  return settings;
}

/// A fleet of one zone with four replicas, one subset and one proxy, whose tables are published.
struct PublishedFleet : Fleet {
  explicit PublishedFleet(const Settings& fleet_settings = publisher_settings())
      : Fleet(fleet_settings),
        assignment(settings, classes),
        channel(settings),
        publisher(settings, channel, sink),
        wanted{TableSet(1, 1), {1, 1}, RetryMode::after_rejection_proof} {
    for (std::uint32_t id = 0; id < 4; ++id) {
      add(id, 10, 0);
      wanted.tables.at(0, 0)[ReplicaId{id}] = 1;
    }
    assignment.lay_out(replicas, {1e6, 5});
    publisher.set_table_count(1, 1);
    assignment.add_proxy(ProxyId{1}, 0, 10, 0s);
    publish();
    assignment.assign(ProxyId{1}, 0, 0s);
  }
  void publish() {
    sink = {};
    publisher.publish(wanted, replicas, slow_start, assignment, clock.now());
  }
  void publish_after(Nanos span) {
    clock.advance(clock.now() + span);
    publish();
  }
  Replica& replica(std::uint32_t id) { return replicas.at(ReplicaId{id}); }
  SubsetAssignment assignment;
  ControlChannel channel;
  TablePublisher publisher;
  WantedState wanted;
};

TEST(TablePublisherTest, SendsOnlyEntriesThatDiffer) {
  PublishedFleet fleet;
  fleet.publish_after(10s);
  EXPECT_TRUE(fleet.sink.entries.empty());
  fleet.wanted.tables.at(0, 0)[ReplicaId{2}] = 1.2;
  fleet.wanted.tables.at(0, 0)[ReplicaId{3}] = 1.05;
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.entries.size(), 1U) << "a change of a twentieth is not worth an entry";
  EXPECT_EQ(fleet.sink.entries[0].replica, ReplicaId{2});
  EXPECT_EQ(fleet.sink.entries[0].weight, 1.2);
}

TEST(TablePublisherTest, ADrainingReplicaLeavesItsTablesAndIsEjected) {
  PublishedFleet fleet;
  fleet.replica(1).endpoint.phase = EndpointPhase::draining;
  fleet.wanted.tables.at(0, 0).erase(ReplicaId{1});
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.entries.size(), 1U);
  EXPECT_EQ(fleet.sink.entries[0].weight, 0);
  ASSERT_EQ(fleet.sink.ejections.size(), 1U);
  EXPECT_TRUE(fleet.sink.ejections[0].ejected);
  EXPECT_TRUE(fleet.publisher.subsets_holding(ReplicaId{1}).empty());
}

TEST(TablePublisherTest, AnEjectedOutlierKeepsItsEntryForItsReturn) {
  PublishedFleet fleet;
  fleet.replica(1).breaker.trip(fleet.clock.now());
  fleet.wanted.tables.at(0, 0).erase(ReplicaId{1});
  fleet.publish_after(10s);
  EXPECT_TRUE(fleet.sink.entries.empty());
  EXPECT_EQ(fleet.sink.ejections.size(), 1U);
  EXPECT_EQ(fleet.publisher.subsets_holding(ReplicaId{1}).size(), 1U);
}

TEST(TablePublisherTest, ReadmitsOnlyAfterTheNewEntryWasSent) {
  PublishedFleet fleet;
  fleet.replica(1).breaker.trip(fleet.clock.now());
  fleet.publish_after(10s);
  fleet.replica(1).breaker.half_open(fleet.clock.now());
  fleet.wanted.tables.at(0, 0)[ReplicaId{1}] = kFloor;
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.entries.size(), 1U);
  ASSERT_EQ(fleet.sink.ejections.size(), 1U);
  EXPECT_FALSE(fleet.sink.ejections[0].ejected);
  EXPECT_FALSE(fleet.replica(1).ejected);
}

TEST(TablePublisherTest, AnEjectionThatDoesNotFitIsSentLater) {
  PublishedFleet fleet(publisher_settings(20));
  fleet.channel.add(1000, 1);
  fleet.replica(1).endpoint.phase = EndpointPhase::draining;
  fleet.publish();
  EXPECT_TRUE(fleet.sink.ejections.empty());
  EXPECT_TRUE(fleet.publisher.is_urgent());
  EXPECT_FALSE(fleet.replica(1).ejected);
  fleet.publish_after(60s);
  EXPECT_EQ(fleet.sink.ejections.size(), 1U);
  EXPECT_EQ(fleet.sink.logged,
            std::vector<std::string>{"ejection_delayed replica=1 waited_ms=60000 reason=channel_full"});
  EXPECT_FALSE(fleet.publisher.is_urgent());
}

TEST(TablePublisherTest, KeepsTheMinimumGapBetweenMessagesToASubset) {
  PublishedFleet fleet;
  fleet.wanted.tables.at(0, 0)[ReplicaId{2}] = 2;
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.entries.size(), 1U);
  fleet.wanted.tables.at(0, 0)[ReplicaId{2}] = 3;
  fleet.publish_after(500ms);
  EXPECT_TRUE(fleet.sink.entries.empty()) << "14 messages in 10 s, of which 3 are reserved";
  fleet.publish_after(500ms);
  EXPECT_EQ(fleet.sink.entries.size(), 1U);
}

// Guards against a drain that waits because an ordinary update was sent shortly before, as after a standstill
// of the instance (review case 8).
TEST(TablePublisherTest, ADrainIsSentRightAfterAnOrdinaryUpdate) {
  PublishedFleet fleet;
  fleet.wanted.tables.at(0, 0)[ReplicaId{2}] = 2;
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.entries.size(), 1U);
  fleet.replica(1).endpoint.phase = EndpointPhase::draining;
  fleet.wanted.tables.at(0, 0).erase(ReplicaId{1});
  fleet.publish_after(1ms);
  EXPECT_EQ(fleet.sink.ejections.size(), 1U);
  EXPECT_TRUE(fleet.publisher.subsets_holding(ReplicaId{1}).empty());
}

// Guards against a lower admitted fraction that waits for the same reason.
TEST(TablePublisherTest, ALowerAdmittedFractionIsSentRightAfterAnOrdinaryUpdate) {
  PublishedFleet fleet;
  fleet.wanted.tables.at(0, 0)[ReplicaId{2}] = 2;
  fleet.publish_after(10s);
  fleet.wanted.admitted_fractions = {0.5, 0.5};
  fleet.wanted.tables.set_admitted_fraction(0, 0, 0.2);
  fleet.publish_after(1ms);
  EXPECT_EQ(fleet.sink.fractions.size(), 3U) << "one for each class, and one for the table";
  fleet.wanted.admitted_fractions = {1, 1};
  fleet.wanted.tables.set_admitted_fraction(0, 0, 1);
  fleet.publish_after(1ms);
  EXPECT_TRUE(fleet.sink.fractions.empty()) << "a higher fraction is not urgent";
}

// Guards against proxies without endpoints whose new entries wait for the same reason.
TEST(TablePublisherTest, ATableWithoutEndpointsGetsNewOnesRightAfterAnUpdate) {
  PublishedFleet fleet;
  fleet.add(4, 10, 0);
  for (std::uint32_t id = 0; id < 4; ++id) {
    fleet.replica(id).breaker.trip(fleet.clock.now());
    fleet.wanted.tables.at(0, 0).erase(ReplicaId{id});
  }
  fleet.wanted.tables.at(0, 0)[ReplicaId{3}] = 1;
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.ejections.size(), 4U);
  fleet.wanted.tables.at(0, 0)[ReplicaId{4}] = 1;
  fleet.publish_after(1ms);
  EXPECT_EQ(fleet.sink.entries.size(), 1U);
  fleet.replica(3).breaker.half_open(fleet.clock.now());
  fleet.replica(4).breaker.trip(fleet.clock.now());
  fleet.publish_after(1ms);
  ASSERT_EQ(fleet.sink.ejections.size(), 2U);
  EXPECT_FALSE(fleet.sink.ejections[1].ejected) << "replica 3 returns, as no other may be picked";
}

/// Two zones with a subset and a proxy each. Replica 100 is in the tables of both subsets; replicas 0 to 19
/// and 101 are in those of subset 0, replicas 20 to 39 and 102 in those of subset 1.
struct TwoSubsets : Fleet {
  static constexpr std::uint32_t kShared = 100;
  TwoSubsets()
      : Fleet(settings_of_two_zones()),
        assignment(settings, classes),
        channel(settings),
        publisher(settings, channel, sink),
        wanted{TableSet(2, 1), {1, 1}, RetryMode::after_rejection_proof} {
    for (std::uint32_t id = 0; id < 40; ++id) add_to(id / 20, id);
    for (const std::uint32_t id : {kShared, 101U}) add_to(0, id);
    for (const std::uint32_t id : {kShared, 102U}) add_to(1, id);
    assignment.lay_out(replicas, {1e9, 5});
    publisher.set_table_count(2, 1);
    for (std::uint16_t zone = 0; zone < 2; ++zone) {
      assignment.add_proxy(ProxyId{zone}, zone, 10, 0s);
      assignment.assign(ProxyId{zone}, zone, 0s);
    }
    publish();
  }
  void add_to(std::size_t subset, std::uint32_t id) {
    add(id, 10, 0).endpoint.zone = subset;
    wanted.tables.at(subset, 0)[ReplicaId{id}] = 1;
  }
  void drain(std::uint32_t id) {
    replicas.at(ReplicaId{id}).endpoint.phase = EndpointPhase::draining;
    for (std::size_t subset = 0; subset < 2; ++subset) wanted.tables.at(subset, 0).erase(ReplicaId{id});
  }
  void publish() { publisher.publish(wanted, replicas, slow_start, assignment, clock.now()); }
  bool is_ejected(std::uint32_t id) const { return replicas.at(ReplicaId{id}).ejected; }

  SubsetAssignment assignment;
  ControlChannel channel;
  TablePublisher publisher;
  WantedState wanted;

 private:
  static Settings settings_of_two_zones() {
    Settings settings = publisher_settings(1e6);
    settings.zones = 2;
    settings.max_messages_per_window = 5;  // 3 at once, and one each 5 s
    return settings;
  }
};

// Guards against a drain that waits without bound for two subsets to be free at once, while drains of
// replicas with lower ids keep one or the other busy (review case 7).
TEST(TablePublisherTest, ADrainThatWaitsForTwoSubsetsIsNotOvertaken) {
  TwoSubsets fleet;
  std::uint32_t next_of_subset_0 = 0;
  std::uint32_t next_of_subset_1 = 20;
  const auto drain = [&](std::uint32_t& next) {
    fleet.drain(next++);
    fleet.publish();
  };
  // Uses up the messages of both subsets such that the subsets gain their next ones 2.5 s apart.
  drain(next_of_subset_0);
  fleet.clock.advance(fleet.clock.now() + 7500ms);
  for (int message = 0; message < 2; ++message) drain(next_of_subset_0);
  for (int message = 0; message < 3; ++message) drain(next_of_subset_1);
  fleet.drain(TwoSubsets::kShared);
  fleet.publish();
  const Nanos notified = fleet.clock.now();
  while (!fleet.is_ejected(TwoSubsets::kShared) && fleet.clock.now() < notified + 40s) {
    if (fleet.is_ejected(next_of_subset_0 - 1)) fleet.drain(next_of_subset_0++);
    if (fleet.is_ejected(next_of_subset_1 - 1)) fleet.drain(next_of_subset_1++);
    fleet.clock.advance(fleet.clock.now() + 500ms);
    fleet.publish();
  }
  EXPECT_LE(fleet.clock.now() - notified, 5500ms) << "the time to gain a message, and one step";
}

TEST(TablePublisherTest, AProxyMigratesOnlyWithMessagesToSpare) {
  PublishedFleet fleet;
  const auto& groups = fleet.classes.groups();
  fleet.clock.advance(fleet.clock.now() + 10s);
  const auto bind = [&](TablePublisher::Binding binding) {
    return fleet.publisher.bind(ProxyId{1}, 0, groups, fleet.replicas, binding, fleet.clock.now());
  };
  EXPECT_TRUE(bind(TablePublisher::Binding::migration));
  EXPECT_FALSE(bind(TablePublisher::Binding::migration));
  fleet.clock.advance(fleet.clock.now() + 1s);
  EXPECT_TRUE(bind(TablePublisher::Binding::migration)) << "14 messages in 10 s, of which 3 are reserved";
}

TEST(TablePublisherTest, AnEmptyTableIsNeverPublished) {
  PublishedFleet fleet;
  fleet.wanted.tables.at(0, 0).clear();
  fleet.publish_after(10s);
  EXPECT_TRUE(fleet.sink.entries.empty());
  EXPECT_EQ(fleet.publisher.subsets_holding(ReplicaId{0}).size(), 1U);
}

TEST(TablePublisherTest, AdmittedFractionsAreSentWhenTheyDifferEnough) {
  PublishedFleet fleet;
  fleet.wanted.admitted_fractions = {0.95, 0.5};
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.fractions.size(), 1U);
  EXPECT_EQ(fleet.sink.fractions[0].classes, 0b10);
  fleet.wanted.admitted_fractions = {1, 1};
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.fractions.size(), 1U);
  EXPECT_EQ(fleet.sink.fractions[0].fraction, 1);
}

TEST(TablePublisherTest, ARetryModeIsSentForAllClasses) {
  PublishedFleet fleet;
  fleet.wanted.retry_mode = RetryMode::none;
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.fractions.size(), 2U);
  for (const auto& fraction : fleet.sink.fractions) EXPECT_EQ(fraction.retry, RetryMode::none);
  fleet.publish_after(10s);
  EXPECT_TRUE(fleet.sink.fractions.empty());
}

TEST(TablePublisherTest, BindsOnlyWithinTheChannelsLimit) {
  PublishedFleet fleet(publisher_settings(20));
  const auto& groups = fleet.classes.groups();
  fleet.channel.queued_entries(fleet.clock.now() + 100s);
  const Nanos now = fleet.clock.now() + 100s;
  // A binding costs 13 entries: 6 of message overhead, 1 binding, 4 table entries and 2 admitted fractions.
  EXPECT_FALSE(
      fleet.publisher.bind(ProxyId{2}, 0, groups, fleet.replicas, TablePublisher::Binding::migration, now));
  EXPECT_TRUE(
      fleet.publisher.bind(ProxyId{2}, 0, groups, fleet.replicas, TablePublisher::Binding::joining, now));
  ASSERT_EQ(fleet.sink.bindings.size(), 1U);
  EXPECT_EQ(fleet.sink.bindings[0].classes, 0b11);
  EXPECT_FALSE(
      fleet.publisher.bind(ProxyId{3}, 0, groups, fleet.replicas, TablePublisher::Binding::joining, now));
}

// Guards against cold replicas whose entries arrive before the admitted fraction that protects them.
TEST(TableAdmissionTest, ALowerFractionThatDoesNotFitPostponesTheEntriesOfItsTable) {
  PublishedFleet fleet(publisher_settings(60));
  fleet.channel.add(1000, 1);
  fleet.wanted.tables.set_admitted_fraction(0, 0, 0.2);
  fleet.wanted.tables.at(0, 0)[ReplicaId{1}] = 5;
  fleet.publish();
  EXPECT_TRUE(fleet.sink.fractions.empty());
  EXPECT_TRUE(fleet.sink.entries.empty());
  EXPECT_TRUE(fleet.publisher.is_urgent());
  fleet.publish_after(60s);
  ASSERT_EQ(fleet.sink.fractions.size(), 1U);
  EXPECT_EQ(fleet.sink.fractions[0].table, TableId{0});
  EXPECT_EQ(fleet.sink.fractions[0].fraction, 0.2);
  EXPECT_EQ(fleet.sink.entries.size(), 1U);
}

// Guards against a fraction that rises for replicas that proxies cannot pick yet. Changes of weights do not
// delay it, as there may always be some while the channel is full.
TEST(TableAdmissionTest, AHigherFractionWaitsForTheEntriesOfItsTable) {
  PublishedFleet fleet(publisher_settings(60));
  fleet.wanted.tables.set_admitted_fraction(0, 0, 0.2);
  fleet.publish_after(60s);
  ASSERT_EQ(fleet.sink.fractions.size(), 1U);
  fleet.clock.advance(fleet.clock.now() + 60s);
  EXPECT_EQ(fleet.channel.queued_entries(fleet.clock.now()), 0);
  fleet.channel.add(24, 1);  // leaves room for urgent entries only
  fleet.add(4, 10, 0);
  fleet.wanted.tables.set_admitted_fraction(0, 0, 1);
  fleet.wanted.tables.at(0, 0)[ReplicaId{4}] = 1;
  fleet.publish();
  EXPECT_TRUE(fleet.sink.entries.empty());
  EXPECT_TRUE(fleet.sink.fractions.empty());
  fleet.publish_after(60s);
  EXPECT_EQ(fleet.sink.entries.size(), 1U);
  ASSERT_EQ(fleet.sink.fractions.size(), 1U);
  EXPECT_EQ(fleet.sink.fractions[0].fraction, 1);
}

// A table's own retry mode has precedence over that of all tables.
TEST(TableAdmissionTest, ARetryModeIsRepeatedForTablesWithAFraction) {
  PublishedFleet fleet;
  fleet.wanted.tables.set_admitted_fraction(0, 0, 0.5);
  fleet.publish_after(10s);
  fleet.wanted.retry_mode = RetryMode::none;
  fleet.publish_after(10s);
  ASSERT_EQ(fleet.sink.fractions.size(), 3U) << "one for each class, and one for the table";
  EXPECT_EQ(fleet.sink.fractions[2].table, TableId{0});
  EXPECT_EQ(fleet.sink.fractions[2].fraction, 0.5);
  EXPECT_EQ(fleet.sink.fractions[2].retry, RetryMode::none);
}

MessagePacing::Allowances all_allowed() {
  return {{MessagePacing::Allowance::all}, MessagePacing::Allowance::all};
}

TEST(MessageBatchTest, ReservesAllOrNothing) {
  PublishedFleet fleet;
  MessageBatch batch(fleet.channel, fleet.assignment, all_allowed(), 6, fleet.clock.now());
  const double capacity = batch.capacity();
  EXPECT_EQ(
      batch.try_reserve({0}, capacity, MessageBatch::Unassigned::excluded, MessageBatch::Urgency::normal),
      MessageBatch::Reservation::channel_full);
  EXPECT_EQ(batch.capacity(), capacity);
  EXPECT_EQ(batch.try_reserve({0}, 10, MessageBatch::Unassigned::excluded, MessageBatch::Urgency::normal),
            MessageBatch::Reservation::granted);
  EXPECT_EQ(batch.capacity(), capacity - 16);
  EXPECT_EQ(batch.try_reserve({0}, 10, MessageBatch::Unassigned::excluded, MessageBatch::Urgency::normal),
            MessageBatch::Reservation::granted);
  EXPECT_EQ(batch.capacity(), capacity - 26) << "each message has its overhead only once";
}

TEST(MessageBatchTest, AHeldBackSubsetAcceptsNoEntries) {
  PublishedFleet fleet;
  MessageBatch batch(fleet.channel, fleet.assignment, all_allowed(), 6, fleet.clock.now());
  batch.hold_back(0);
  EXPECT_EQ(batch.try_reserve({0}, 1, MessageBatch::Unassigned::excluded, MessageBatch::Urgency::normal),
            MessageBatch::Reservation::held_back);
  batch.release(0);
  EXPECT_EQ(batch.try_reserve({0}, 1, MessageBatch::Unassigned::excluded, MessageBatch::Urgency::normal),
            MessageBatch::Reservation::granted);
}

TEST(MessageBatchTest, ProxiesWithoutASubsetAreCountedIfIncluded) {
  PublishedFleet fleet;
  fleet.assignment.add_proxy(ProxyId{2}, 0, 10, 0s);
  MessageBatch batch(fleet.channel, fleet.assignment, all_allowed(), 6, fleet.clock.now());
  const double capacity = batch.capacity();
  EXPECT_EQ(batch.try_reserve({}, 1, MessageBatch::Unassigned::included, MessageBatch::Urgency::normal),
            MessageBatch::Reservation::granted);
  EXPECT_EQ(batch.capacity(), capacity - 7);
}

}  // namespace
}  // namespace ospreypost::policy
