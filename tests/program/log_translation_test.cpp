/// Checks the translation of log texts, which lets records of builds before the structured log events replay.
#include "replay/log_translation.h"

#include <gtest/gtest.h>

#include "policy/log_events.h"

namespace ospreypost::replay {
namespace {

using namespace std::chrono_literals;
namespace log_events = policy::log_events;

TEST(LogTranslationTest, TranslatesEachEarlierText) {
  EXPECT_EQ(current_log_text("trip replica 4 for 2000 ms"), log_events::breaker_opened(ReplicaId{4}, 2s));
  EXPECT_EQ(current_log_text("half-open replica 17"), log_events::breaker_half_opened(ReplicaId{17}));
  EXPECT_EQ(current_log_text("close replica 0"), log_events::breaker_closed(ReplicaId{0}));
  EXPECT_EQ(current_log_text("hold cold in zone 2"), log_events::warm_up_held(2));
  EXPECT_EQ(current_log_text("release cold in zone 2"), log_events::warm_up_released(2));
  EXPECT_EQ(current_log_text("doubt the list: 12 dropped"), log_events::endpoint_list_doubted(12));
}

TEST(LogTranslationTest, ReturnsOtherTextsUnchanged) {
  for (const auto* text : {"", "breaker_opened replica=4 cooldown_ms=2000", "trip replica x for 2000 ms",
                           "half-open replica 4 again"}) {
    EXPECT_EQ(current_log_text(text), text);
  }
}

}  // namespace
}  // namespace ospreypost::replay
