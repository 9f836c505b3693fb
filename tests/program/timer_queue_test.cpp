// Tests the order in which TimerQueue returns its timers.
#include "control_plane/timer_queue.h"

#include <gtest/gtest.h>

#include <chrono>

#include "policy/types.h"

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;

TEST(TimerQueueTest, TakesTimersInOrderOfDueTime) {
  TimerQueue timers;
  timers.add(3s, TimerId{30});
  timers.add(1s, TimerId{10});
  timers.add(2s, TimerId{20});
  EXPECT_EQ(timers.next_due(), Nanos(1s));
  EXPECT_EQ(timers.take_due(3s), TimerId{10});
  EXPECT_EQ(timers.take_due(3s), TimerId{20});
  EXPECT_EQ(timers.take_due(3s), TimerId{30});
  EXPECT_FALSE(timers.take_due(3s));
}

TEST(TimerQueueTest, KeepsInsertionOrderAmongTimersDueAtTheSameTime) {
  TimerQueue timers;
  timers.add(1s, TimerId{7});
  timers.add(1s, TimerId{3});
  timers.add(1s, TimerId{7});
  EXPECT_EQ(timers.take_due(1s), TimerId{7});
  EXPECT_EQ(timers.take_due(1s), TimerId{3});
  EXPECT_EQ(timers.take_due(1s), TimerId{7}) << "added twice, due twice";
}

TEST(TimerQueueTest, KeepsTimersThatAreNotDue) {
  TimerQueue timers;
  EXPECT_FALSE(timers.next_due());
  timers.add(2s, TimerId{1});
  EXPECT_FALSE(timers.take_due(2s - 1ns));
  EXPECT_EQ(timers.next_due(), Nanos(2s));
  EXPECT_EQ(timers.take_due(2s), TimerId{1}) << "due at its time, not after it";
  EXPECT_FALSE(timers.next_due());
}

}  // namespace
}  // namespace ospreypost::control_plane
