#include "control_plane/controller_driver.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "net/threads.h"
#include "policy/action_sink.h"
#include "policy/actions.h"
#include "policy/types.h"
#include "record/recording_controller.h"

namespace ospreypost::control_plane {
namespace {

constexpr Nanos kMinTimerWait = std::chrono::microseconds(100);

}  // namespace

ControllerDriver::ControllerDriver(const Options& options, Clock clock, ControllerFrontend& frontend)
    : clock_(std::move(clock)),
      frontend_(frontend),
      batch_interval_(options.batch_interval),
      routing_state_(options.settings.classes.size()) {
  const std::lock_guard lock(mutex_);
  controller_ = std::make_unique<record::RecordingController>(options.settings, options.seed, clock_(),
                                                              static_cast<ActionSink&>(*this),
                                                              options.record_writer, options.configuration);
}

void ControllerDriver::start(std::function<void()> maintenance, Nanos interval) {
  timer_thread_ = net::Thread("timers", [this, maintenance = std::move(maintenance), interval] {
    run_timers(maintenance, interval);
  });
}

void ControllerDriver::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_up_.notify_all();
  timer_thread_.join();
}

// --- Publication, called with the lock held

bool ControllerDriver::has_unpublished_changes() const {
  return routing_state_.has_changes() || ejections_changed_ || !acknowledgement_requests_.empty();
}

void ControllerDriver::on_called(Nanos now) {
  if (batch_interval_ <= Nanos{}) {
    publish(now);
    return;
  }
  if (publish_at_ || !has_unpublished_changes()) return;
  publish_at_ = now + batch_interval_;
  wake_up_.notify_all();
}

void ControllerDriver::publish(Nanos now) {
  publish_at_.reset();
  ejections_changed_ = false;
  const auto published = routing_state_.publish(now);
  frontend_.on_published(now, published, acknowledgement_requests_);
  acknowledgement_requests_.clear();
}

// --- Timer thread

void ControllerDriver::run_timers(const std::function<void()>& maintenance, Nanos interval) {
  std::unique_lock lock(mutex_);
  Nanos next_maintenance = clock_() + interval;
  while (!stopping_) {
    const auto now = clock_();
    if (const auto timer = timers_.take_due(now)) {
      controller_->on_timer(now, *timer);
      on_called(now);
    } else if (publish_at_ && now >= *publish_at_) {
      publish(now);
    } else if (now >= next_maintenance) {
      next_maintenance = now + interval;
      lock.unlock();
      maintenance();
      lock.lock();
    } else {
      wait_for_next_event(lock, now, next_maintenance);
    }
  }
}

void ControllerDriver::wait_for_next_event(std::unique_lock<std::mutex>& lock, Nanos now,
                                           Nanos next_maintenance) {
  Nanos next = std::min(next_maintenance, timers_.next_due().value_or(next_maintenance));
  if (publish_at_) next = std::min(next, *publish_at_);
  wake_up_.wait_for(lock, std::max(next - now, kMinTimerWait));
}

// --- Actions of the controller, called with the lock held

void ControllerDriver::handle(const SetTableEntry& action) {
  routing_state_.set_table_entry(action.table, action.replica, action.weight);
}

void ControllerDriver::handle(const ClearTable& action) { routing_state_.clear_table(action.table); }

void ControllerDriver::handle(const BindProxy& action) {
  routing_state_.bind(action.proxy, action.table, action.classes);
}

void ControllerDriver::handle(const SetEjected& action) {
  routing_state_.set_ejected(action.replica, action.ejected);
  ejections_changed_ = true;
  frontend_.on_ejection_changed(action.replica, action.ejected);
}

void ControllerDriver::handle(const SetAdmittedFraction& action) {
  routing_state_.set_admitted_fraction(action.table, action.classes, action.fraction, action.retry);
}

void ControllerDriver::handle(const RequestAcknowledgement& action) {
  acknowledgement_requests_.push_back(action);
}

void ControllerDriver::handle(const StartTimer& action) {
  timers_.add(clock_() + action.delay, action.timer);
  wake_up_.notify_all();
}

void ControllerDriver::handle(const WatchEndpointList& action) {
  frontend_.watch_endpoint_list(action.enabled);
}

void ControllerDriver::handle(const RefreshEndpointList&) { frontend_.refresh_endpoint_list(); }

void ControllerDriver::handle(const RequestHealthCheck& action) {
  frontend_.request_health_check(action.replica);
}

void ControllerDriver::handle(const SendToPeer& action) {
  frontend_.send_to_peer(action.peer, action.message);
}

void ControllerDriver::handle(const LogLine& action) { frontend_.log(action.text); }

}  // namespace ospreypost::control_plane
