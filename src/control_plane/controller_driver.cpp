#include "control_plane/controller_driver.h"

#include <algorithm>

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;

}  // namespace

ControllerDriver::ControllerDriver(const Start& start, Clock clock, ControllerFrontend& door)
    : clock_(std::move(clock)),
      frontend_(door),
      gather_(start.gather),
      routing_state_(start.settings.classes.size()) {
  const std::lock_guard held(lock_);
  governor_ = std::make_unique<record::RecordingController>(start.settings, start.seed, clock_(),
                                                            static_cast<ActionSink&>(*this), start.record,
                                                            start.configuration);
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

void ControllerDriver::set_table_entry(TableId table, ReplicaId replica, double weight) {
  routing_state_.set_table_entry(table, replica, weight);
}
void ControllerDriver::clear_table(TableId table) { routing_state_.clear_table(table); }
void ControllerDriver::bind(ProxyId proxy, TableId table, ClassMask classes) {
  routing_state_.bind(proxy, table, classes);
}
void ControllerDriver::set_ejected(ReplicaId replica, bool out) {
  routing_state_.set_ejected(replica, out);
  withdrawn_ = true;
  frontend_.on_ejection_changed(replica, out);
}
void ControllerDriver::set_admitted_fraction(TableId table, ClassMask classes, double level,
                                             RetryMode retry) {
  routing_state_.set_admitted_fraction(table, classes, level, retry);
}
void ControllerDriver::request_acknowledgement(AckRequestId mark, bool reach_all) {
  marks_.emplace_back(mark, reach_all);
}
void ControllerDriver::start_timer(Nanos from_now, TimerId timer) {
  timers_.start_timer(clock_() + from_now, timer);
  time_changed_.notify_all();
}

}  // namespace ospreypost::control_plane
