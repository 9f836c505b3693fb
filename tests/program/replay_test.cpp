// Replays records: the same events lead to the same actions, and differing actions are reported.
#include "replay/replay.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <set>

#include "record.pb.h"
#include "record/reader.h"
#include "record_support.h"

namespace ospreypost::replay {
namespace {

using namespace std::chrono_literals;

using record::RecordingController;
using record::Writer;
using test::TemporaryFolder;

constexpr std::uint64_t kSeed = 5;

// Collects the timers that the controller starts.
class TimerCollector : public ActionHandler {
 public:
  using ActionHandler::handle;
  void handle(const StartTimer& action) override { timers.push_back(action.timer); }
  std::vector<TimerId> timers;
};

Settings small_settings() { return config::module_settings(test::small_config()); }

ReplayResult replay_small(const std::vector<std::string>& files) {
  Options options;
  options.load_config = [](const std::string&) { return ControllerConfig{small_settings(), kSeed}; };
  return replay(files, options);
}

ZoneId zone_of(std::uint16_t proxy) { return ZoneId{static_cast<std::uint16_t>(proxy % 2)}; }

// Generates endpoint lists, reports, joining and leaving proxies and expired timers in random order.
class RandomEvents {
 public:
  explicit RandomEvents(RecordingController& controller, TimerCollector& collector)
      : controller_(controller), collector_(collector) {}

  void generate(Nanos now) {
    const ReplicaId replica{*rc::gen::inRange<std::uint32_t>(0, 6)};
    const auto proxy = *rc::gen::inRange<std::uint16_t>(0, 3);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        update_endpoint(now, replica, zone_of(proxy));
        break;
      case 1:
        join_or_leave(now, proxy);
        break;
      case 2:
        report_load(now, replica, proxy);
        break;
      case 3:
        controller_.on_demand_report(now, {ClassId{0}, 20, 2, 1s}, {ProxyId{proxy}, 0ns});
        break;
      default:
        expire_last_timer(now);
    }
  }

 private:
  void update_endpoint(Nanos now, ReplicaId replica, ZoneId zone) {
    const auto phase = *rc::gen::element(EndpointPhase::ready, EndpointPhase::draining, EndpointPhase::gone);
    controller_.on_endpoint_list(now, EndpointListKind::changes, {{replica, zone, {}, {}, phase, 1, now}});
  }
  void join_or_leave(Nanos now, std::uint16_t proxy) {
    if (joined_.insert(proxy).second) {
      controller_.on_proxy_joined(now, ProxyId{proxy}, zone_of(proxy), 10, true);
    } else {
      joined_.erase(proxy);
      controller_.on_proxy_left(now, ProxyId{proxy});
    }
  }
  void report_load(Nanos now, ReplicaId replica, std::uint16_t proxy) {
    const auto failed = *rc::gen::inRange<std::uint32_t>(0, 10);
    controller_.on_replica_load_report(now, {ZoneId{0}, replica, 10, failed, 200ms, 1s, {}},
                                       {ProxyId{proxy}, 0ns});
  }
  void expire_last_timer(Nanos now) {
    if (collector_.timers.empty()) return;
    controller_.on_timer(now, collector_.timers.back());
    collector_.timers.pop_back();
  }

  RecordingController& controller_;
  TimerCollector& collector_;
  std::set<std::uint16_t> joined_;
};

void record_random_events(const std::string& folder) {
  Writer writer({folder});
  TimerCollector collector;
  Nanos now = 1s;
  RecordingController controller(small_settings(), kSeed, now, collector, &writer, "x");
  RandomEvents events(controller, collector);
  for (int n = *rc::gen::inRange(1, 80); n > 0; --n) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
    events.generate(now);
  }
}

RC_GTEST_PROP(ReplayTest, LeadsToTheSameActions, ()) {
  const TemporaryFolder folder;
  record_random_events(folder.path.string());

  const auto files = record::list_files({folder.path.string()});
  const ReplayResult result = replay_small(files);

  RC_ASSERT(result.is_identical());
  RC_ASSERT(result.incarnations == 1U);
  RC_ASSERT(result.skipped_events == 0U);
  RC_ASSERT(replay_small(files).digest == result.digest);
}

// Returns the payload of a record that contains only a start entry.
std::string recorded_start(const std::string& folder) {
  {
    TimerCollector collector;
    Writer writer({folder});
    const RecordingController controller(small_settings(), kSeed, Nanos(1), collector, &writer, "x");
  }
  const std::string text = record::read_file(record::list_files({folder}).front());
  return record::BlockReader(text).next()->payload;
}

TEST(ReplayTest, ReportsTheFirstDifferenceAndSkipsEventsAfterAGap) {
  const TemporaryFolder folder;
  kept::Block altered_start;
  ASSERT_TRUE(altered_start.ParseFromString(recorded_start(folder.in("start"))));
  altered_start.mutable_entries(0)->add_orders()->set_probe(77);
  kept::Block after_gap;
  after_gap.add_entries()->set_at(2);
  after_gap.mutable_entries(0)->set_list_failed(true);
  const std::string file = folder.in("a.rec");
  std::ofstream(file, std::ios::binary)
      << record::encode_file_header()
      << record::encode_block({1, 0, Nanos(1), Nanos(1)}, altered_start.SerializeAsString())
      << record::encode_block({1, 9, Nanos(2), Nanos(2)}, after_gap.SerializeAsString());

  const ReplayResult result = replay_small({file});

  EXPECT_EQ(result.differing_actions, 1U);
  ASSERT_TRUE(result.first_difference);
  EXPECT_EQ(result.first_difference->recorded, "probe: 77");
  EXPECT_EQ(result.first_difference->replayed, "");
  EXPECT_EQ(result.lost_entries, 9U);
  EXPECT_EQ(result.skipped_events, 1U);
}

}  // namespace
}  // namespace ospreypost::replay
