#include "control_plane/controller_driver.h"

#include <algorithm>

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;

}  // namespace

ControllerDriver::ControllerDriver(const Options& options, Clock clock, ControllerFrontend& door)
    : clock_(std::move(clock)),
      frontend_(door),
      gather_(options.gather_time),
      routing_state_(options.settings.classes.size()) {
  const std::lock_guard held(lock_);
  governor_ = std::make_unique<record::RecordingController>(options.settings, options.seed, clock_(),
                                                            static_cast<ActionSink&>(*this),
                                                            options.record_writer, options.configuration);
}

void ControllerDriver::start(std::function<void()> look, Nanos every) {
  timekeeper_ = net::Thread("timekeeper", [this, look = std::move(look), every] { run_timers(look, every); });
}

void ControllerDriver::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  time_changed_.notify_all();
  timekeeper_.join();
}

// With the lock held, after a call.
void ControllerDriver::on_called(Nanos now) {
  if (gather_ <= Nanos{}) return publish(now);
  if (publish_at_ || !(routing_state_.has_changes() || withdrawn_ || !marks_.empty())) return;
  publish_at_ = now + gather_;
  time_changed_.notify_all();
}

void ControllerDriver::publish(Nanos now) {
  publish_at_.reset();
  withdrawn_ = false;
  const auto published = routing_state_.publish(now);
  frontend_.on_published(now, published, marks_);
  marks_.clear();
}

void ControllerDriver::run_timers(const std::function<void()>& look, Nanos every) {
  std::unique_lock held(lock_);
  Nanos next_look = clock_() + every;
  while (!stopping_) {
    const auto now = clock_();
    if (const auto timer = timers_.take(now)) {
      governor_->on_timer(now, *timer);
      on_called(now);
      continue;
    }
    if (publish_at_ && now >= *publish_at_) {
      publish(now);
      continue;
    }
    if (now >= next_look) {
      next_look = now + every;
      held.unlock();
      look();
      held.lock();
      continue;
    }
    auto until = std::min(next_look, timers_.next().value_or(next_look));
    if (publish_at_) until = std::min(until, *publish_at_);
    time_changed_.wait_for(held, std::max<Nanos>(until - now, 100us));
  }
}

void ControllerDriver::handle(const SetTableEntry& action) {
  routing_state_.set_table_entry(action.table, action.replica, action.weight);
}

void ControllerDriver::handle(const ClearTable& action) { routing_state_.clear_table(action.table); }

void ControllerDriver::handle(const BindProxy& action) {
  routing_state_.bind(action.proxy, action.table, action.classes);
}

void ControllerDriver::handle(const SetEjected& action) {
  routing_state_.set_ejected(action.replica, action.ejected);
  withdrawn_ = true;
  frontend_.on_ejection_changed(action.replica, action.ejected);
}

void ControllerDriver::handle(const SetAdmittedFraction& action) {
  routing_state_.set_admitted_fraction(action.table, action.classes, action.fraction, action.retry);
}

void ControllerDriver::handle(const RequestAcknowledgement& action) { marks_.push_back(action); }

void ControllerDriver::handle(const StartTimer& action) {
  timers_.start_timer(clock_() + action.delay, action.timer);
  time_changed_.notify_all();
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
