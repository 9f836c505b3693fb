#include "policy/control_channel.h"

#include <gtest/gtest.h>

#include "policy/controller_fixture.h"
#include "policy/recording_sink.h"

namespace ospreypost::policy {
namespace {

using test::RecordingSink;
using test::small_settings;
using namespace std::chrono_literals;

Settings channel_settings() {
  Settings settings = small_settings();
  settings.channel_entries_per_second = 1000;
  settings.channel_max_queued_entries = 2000;
  return settings;
}

class ControlChannelTest : public ::testing::Test {
 protected:
  ControlChannelTest() { channel.queued_entries(100s); }

  ControlChannel channel{channel_settings()};
  RecordingSink sink;
};

TEST_F(ControlChannelTest, BeforeAnyAcknowledgementTheEstimateFallsAtHalfTheConfiguredRate) {
  channel.add(1000, 10);
  EXPECT_DOUBLE_EQ(channel.queued_entries(100s), 1000);
  EXPECT_DOUBLE_EQ(channel.queued_entries(101s), 500);
  EXPECT_DOUBLE_EQ(channel.queued_entries(110s), 0);
}

TEST_F(ControlChannelTest, AnAcknowledgementConfirmsAllEarlierEntries) {
  channel.add(1000, 1);
  channel.request_acknowledgement(100s, sink);
  ASSERT_EQ(sink.requests.size(), 1U);
  channel.on_acknowledged(100s, sink.requests[0]);
  EXPECT_DOUBLE_EQ(channel.queued_entries(100s), 0);
}

TEST_F(ControlChannelTest, EachAcknowledgementConfirmsItsPartOfTheEntries) {
  channel.add(1000, 4);
  channel.request_acknowledgement(100s, sink);
  channel.on_acknowledged(100s, sink.requests.at(0));
  EXPECT_DOUBLE_EQ(channel.queued_entries(100s), 750);
}

TEST_F(ControlChannelTest, AfterAnAcknowledgementUnconfirmedEntriesLeaveSlowly) {
  channel.add(100, 1);
  channel.request_acknowledgement(100s, sink);
  channel.on_acknowledged(100s, sink.requests.at(0));
  channel.add(1000, 1);
  EXPECT_DOUBLE_EQ(channel.queued_entries(101s), 950);
}

TEST_F(ControlChannelTest, RequestsAcknowledgementsOnlyWhenManyEntriesMayBeQueued) {
  channel.add(100, 1);
  channel.request_acknowledgement(100s, sink);
  channel.on_acknowledged(100s, sink.requests.at(0));
  const Nanos later = 100s + 1ms;
  channel.add(500, 1);
  channel.request_acknowledgement(later, sink);
  EXPECT_EQ(sink.requests.size(), 1U) << "a quarter of the limit is 500";
  channel.add(2, 1);
  channel.request_acknowledgement(later, sink);
  EXPECT_EQ(sink.requests.size(), 2U);
  channel.request_acknowledgement(later + 1ms, sink);
  EXPECT_EQ(sink.requests.size(), 2U) << "nothing was sent since the last request";
}

TEST_F(ControlChannelTest, CallsAtTheSameTimeShareARequest) {
  channel.add(600, 1);
  channel.request_acknowledgement(100s, sink);
  channel.add(600, 1);
  channel.request_acknowledgement(100s, sink);
  ASSERT_EQ(sink.requests.size(), 1U);
  channel.on_acknowledged(100s, sink.requests[0]);
  EXPECT_DOUBLE_EQ(channel.queued_entries(100s), 600) << "one of two acknowledgements arrived";
}

TEST_F(ControlChannelTest, AnUnknownRequestConfirmsNothing) {
  channel.add(1000, 1);
  channel.request_acknowledgement(100s, sink);
  channel.on_acknowledged(100s, AckRequestId{77});
  EXPECT_DOUBLE_EQ(channel.queued_entries(100s), 1000);
}

TEST_F(ControlChannelTest, QueuedEntriesAreLostWithTheLastProxy) {
  channel.add(1000, 1);
  channel.on_all_proxies_left();
  EXPECT_DOUBLE_EQ(channel.queued_entries(100s), 0);
}

}  // namespace
}  // namespace ospreypost::policy
