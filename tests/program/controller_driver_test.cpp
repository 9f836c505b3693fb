// Tests when ControllerDriver publishes snapshots, and what its timer thread runs.
#include "control_plane/controller_driver.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "policy/actions.h"
#include "policy/observations.h"
#include "policy/types.h"
#include "program/support.h"
#include "record/recording_controller.h"
#include "routing_state/routing_state.h"

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;
using record::RecordingController;
using routing_state::RoutingState;

constexpr Nanos kLongWait = 10s;

Nanos steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

// Records the times at which snapshots are published.
class RecordingFrontend : public ControllerFrontend {
 public:
  void on_published(Nanos now, const std::optional<RoutingState::Publication>& publication,
                    const std::vector<RequestAcknowledgement>& /*requests*/) override {
    const std::lock_guard lock(mutex_);
    calls_ += 1;
    if (publication) published_at_.push_back(now);
    changed_.notify_all();
  }
  void on_ejection_changed(ReplicaId /*replica*/, bool /*ejected*/) override {}
  void request_health_check(ReplicaId /*replica*/) override {}
  void watch_endpoint_list(bool /*enabled*/) override {}
  void refresh_endpoint_list() override {}
  void send_to_peer(std::optional<PeerId> /*peer*/, std::string_view /*message*/) override {}
  void log(std::string_view /*line*/) override {}

  std::size_t calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  std::vector<Nanos> published_at() const {
    const std::lock_guard lock(mutex_);
    return published_at_;
  }
  bool wait_for_calls(std::size_t calls) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kLongWait, [&] { return calls_ >= calls; });
  }
  bool wait_for_publications(std::size_t publications) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kLongWait, [&] { return published_at_.size() >= publications; });
  }

 private:
  mutable std::mutex mutex_;
  // The following members are guarded by `mutex_`.
  std::size_t calls_ = 0;
  std::vector<Nanos> published_at_;

  std::condition_variable changed_;  // notified after each call; used together with `mutex_`
};

ControllerDriver::Options options(Nanos batch_interval = {}) {
  ControllerDriver::Options driver_options;
  driver_options.settings = config::module_settings(test::small_config());
  driver_options.seed = 1;
  driver_options.batch_interval = batch_interval;
  return driver_options;
}

// Adds a proxy, a change that must be published.
void add_proxy(ControllerDriver& driver, ProxyId proxy) {
  driver.call([&](RecordingController&, RoutingState& routing_state, Nanos) {
    routing_state.add_proxy(proxy);
    routing_state.bind(proxy, TableId{0}, 0);
  });
}

TEST(ControllerDriverTest, PublishesAfterEachCallWithoutABatchInterval) {
  RecordingFrontend frontend;
  Nanos now = 5s;
  ControllerDriver driver(
      options(), [&] { return now; }, frontend);
  add_proxy(driver, ProxyId{0});
  now = 6s;
  add_proxy(driver, ProxyId{1});
  EXPECT_EQ(frontend.published_at(), (std::vector<Nanos>{5s, 6s}));
}

TEST(ControllerDriverTest, PublishesNothingIfACallChangedNothing) {
  RecordingFrontend frontend;
  ControllerDriver driver(
      options(), [] { return Nanos(5s); }, frontend);
  driver.call([](RecordingController&, RoutingState&, Nanos) {});
  EXPECT_EQ(frontend.calls(), 1U);
  EXPECT_TRUE(frontend.published_at().empty());
}

TEST(ControllerDriverTest, PublishesTheCallsOfABatchIntervalAsOneSnapshot) {
  constexpr Nanos kBatchInterval = 500ms;
  RecordingFrontend frontend;
  ControllerDriver driver(options(kBatchInterval), steady_now, frontend);
  const Nanos first_call = steady_now();
  add_proxy(driver, ProxyId{0});
  add_proxy(driver, ProxyId{1});
  EXPECT_TRUE(frontend.published_at().empty()) << "nothing is published before the batch interval is over";

  driver.start([] {}, 1h);

  ASSERT_TRUE(frontend.wait_for_publications(1));
  driver.stop();
  ASSERT_EQ(frontend.published_at().size(), 1U);
  EXPECT_GE(frontend.published_at()[0], first_call + kBatchInterval);
}

TEST(ControllerDriverTest, RunsTheTimersOfTheController) {
  RecordingFrontend frontend;
  ControllerDriver driver(options(), steady_now, frontend);
  driver.call([](RecordingController& controller, RoutingState&, Nanos now) {
    controller.on_endpoint_list(now, EndpointListKind::complete, {EndpointUpdate{}});
  });
  const auto calls = frontend.calls();
  driver.start([] {}, 1h);
  EXPECT_TRUE(frontend.wait_for_calls(calls + 2)) << "only the timers can have caused these calls";
}

TEST(ControllerDriverTest, RunsMaintenanceWithoutItsLock) {
  RecordingFrontend frontend;
  ControllerDriver driver(options(1h), steady_now, frontend);
  std::mutex mutex;
  std::condition_variable changed;
  int runs = 0;
  const auto maintenance = [&] {
    // This call would block forever if the driver's lock were held.
    driver.inspect([] {});
    const std::lock_guard lock(mutex);
    runs += 1;
    changed.notify_all();
  };
  driver.start(maintenance, 1ms);
  std::unique_lock lock(mutex);
  EXPECT_TRUE(changed.wait_for(lock, kLongWait, [&] { return runs >= 3; }));
  lock.unlock();
  driver.stop();
}

}  // namespace
}  // namespace ospreypost::control_plane
