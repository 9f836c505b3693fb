#include "policy/endpoint_membership.h"

#include <gtest/gtest.h>

#include "policy/controller_fixture.h"
#include "policy/recording_sink.h"

namespace ospreypost::policy {
namespace {

using test::entry;
using test::RecordingSink;
using test::small_settings;
using namespace std::chrono_literals;

class EndpointMembershipTest : public ::testing::Test {
 protected:
  explicit EndpointMembershipTest(const Settings& settings = small_settings())
      : membership_(settings), slow_start_(settings) {}
  EndpointMembership::Applied apply(const EndpointUpdate& update, Nanos now = 100s) {
    return membership_.apply(update, false, slow_start_, now);
  }
  void list(std::uint32_t count) {
    for (std::uint32_t id = 0; id < count; ++id) apply(entry(id));
  }
  const Replica& replica(std::uint32_t id) { return membership_.replicas().at(ReplicaId{id}); }
  bool remove(EndpointListKind kind, const std::vector<EndpointUpdate>& entries) {
    return membership_.remove(membership_.removed_by(kind, entries), sink_);
  }

  EndpointMembership membership_;
  SlowStart slow_start_;
  RecordingSink sink_;
};

class AdvisoryRemovalTest : public EndpointMembershipTest {
 protected:
  AdvisoryRemovalTest() : EndpointMembershipTest(settings()) {}
  static Settings settings() {
    Settings settings = small_settings();
    settings.only_draining_is_binding = true;
    return settings;
  }
};

TEST_F(EndpointMembershipTest, ANewReplicaMustRecover) {
  const auto applied = apply(entry(1, 2));
  EXPECT_TRUE(applied.needs_block);
  EXPECT_TRUE(applied.must_recover);
  EXPECT_EQ(applied.replica.endpoint.zone, 2U);
  EXPECT_EQ(applied.replica.added, 100s);
}

TEST_F(EndpointMembershipTest, AnEntryListedAgainUnchangedHasNoEffect) {
  apply(entry(1));
  const auto applied = apply(entry(1), 110s);
  EXPECT_FALSE(applied.needs_block);
  EXPECT_FALSE(applied.must_recover);
  EXPECT_EQ(applied.replica.added, 100s);
}

TEST_F(EndpointMembershipTest, ARestartedReplicaMustRecover) {
  auto update = entry(1);
  update.started = 10s;
  apply(update);
  update.started = 105s;
  EXPECT_TRUE(apply(update, 110s).must_recover);
}

TEST_F(EndpointMembershipTest, AReplicaListedBeforeTheStartIsTrustedUnlessItIsWarmingUp) {
  EXPECT_FALSE(membership_.apply(entry(1), true, slow_start_, 100s).must_recover);
  auto update = entry(2);
  update.started = 99s;
  const auto applied = membership_.apply(update, true, slow_start_, 100s);
  EXPECT_TRUE(applied.must_recover);
  EXPECT_EQ(applied.replica.added, 99s);
}

TEST_F(EndpointMembershipTest, ADrainingReplicaStopsServing) {
  apply(entry(1));
  const auto applied = apply(entry(1, 0, EndpointPhase::draining));
  EXPECT_TRUE(applied.stopped_serving);
  EXPECT_FALSE(applied.must_recover);
}

TEST_F(EndpointMembershipTest, AnUnconfiguredZoneCountsAsTheLast) {
  EXPECT_EQ(apply(entry(1, 9)).replica.endpoint.zone, 2U);
}

TEST_F(EndpointMembershipTest, ACompleteListRemovesReplicasThatItDoesNotContain) {
  list(3);
  EXPECT_TRUE(remove(EndpointListKind::complete, {entry(0)}));
  EXPECT_FALSE(replica(0).is_gone());
  EXPECT_TRUE(replica(1).is_gone());
  EXPECT_TRUE(replica(2).is_gone());
}

TEST_F(EndpointMembershipTest, AListOfChangesRemovesOnlyReplicasGivenAsGone) {
  list(3);
  EXPECT_TRUE(remove(EndpointListKind::changes, {entry(0), entry(1, 0, EndpointPhase::gone)}));
  EXPECT_FALSE(replica(0).is_gone());
  EXPECT_TRUE(replica(1).is_gone());
  EXPECT_FALSE(replica(2).is_gone());
}

TEST_F(AdvisoryRemovalTest, AListThatRemovesTooManyIsDoubted) {
  list(9);
  EXPECT_FALSE(remove(EndpointListKind::complete, {entry(0), entry(1)}));
  EXPECT_TRUE(replica(5).is_ready());
  EXPECT_TRUE(replica(5).endpoint.removal_doubted);
  EXPECT_EQ(sink_.logged.size(), 1U);
  apply(entry(5));
  EXPECT_FALSE(replica(5).endpoint.removal_doubted) << "listed again";
}

TEST_F(AdvisoryRemovalTest, AListThatRemovesFewIsTrusted) {
  list(9);
  EXPECT_TRUE(remove(EndpointListKind::changes, {entry(5, 0, EndpointPhase::gone)}));
  EXPECT_TRUE(replica(5).is_gone());
}

TEST_F(EndpointMembershipTest, AnEjectedReplicaThatIsGoneExpiresAfterTheRetentionTime) {
  list(2);
  membership_.collect_expired(100s);
  remove(EndpointListKind::changes, {entry(1, 0, EndpointPhase::gone)});
  membership_.replicas().at(ReplicaId{1}).ejected = true;
  EXPECT_TRUE(membership_.collect_expired(160s).empty());
  EXPECT_EQ(membership_.collect_expired(161s), std::vector<ReplicaId>{ReplicaId{1}});
  membership_.forget(ReplicaId{1});
  EXPECT_TRUE(apply(entry(1), 170s).needs_block);
}

}  // namespace
}  // namespace ospreypost::policy
