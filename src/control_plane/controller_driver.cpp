#include "control_plane/controller_driver.h"

#include <algorithm>

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;

}  // namespace

ControllerDriver::ControllerDriver(const Start& start, Clock clock, ControllerFrontend& door)
    : clock_(std::move(clock)), door_(door), gather_(start.gather), book_(start.settings.classes.size()) {
  const std::lock_guard held(lock_);
  governor_ = std::make_unique<record::RecordingController>(start.settings, start.seed, clock_(), static_cast<ActionSink&>(*this),
                                            start.record, start.configuration);
}

void ControllerDriver::open(std::function<void()> look, Nanos every) {
  timekeeper_ = net::Thread("timekeeper", [this, look = std::move(look), every] { keep_time(look, every); });
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
void ControllerDriver::touched(Nanos now) {
  if (gather_ <= Nanos{}) return publish(now);
  if (publish_at_ || !(book_.changed() || withdrawn_ || !marks_.empty())) return;
  publish_at_ = now + gather_;
  time_changed_.notify_all();
}

void ControllerDriver::publish(Nanos now) {
  publish_at_.reset();
  withdrawn_ = false;
  const auto published = book_.publish(now);
  door_.ordered(now, published, marks_);
  marks_.clear();
}

void ControllerDriver::keep_time(const std::function<void()>& look, Nanos every) {
  std::unique_lock held(lock_);
  Nanos next_look = clock_() + every;
  while (!stopping_) {
    const auto now = clock_();
    if (const auto timer = timers_.take(now)) {
      governor_->on_timer(now, *timer);
      touched(now);
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
  book_.set_table_entry(table, replica, weight);
}
void ControllerDriver::clear_table(TableId table) { book_.clear_table(table); }
void ControllerDriver::bind(ProxyId proxy, TableId table, ClassMask classes) { book_.bind(proxy, table, classes); }
void ControllerDriver::set_ejected(ReplicaId replica, bool out) {
  book_.set_ejected(replica, out);
  withdrawn_ = true;
  door_.withdrawn(replica, out);
}
void ControllerDriver::set_admitted_fraction(TableId table, ClassMask classes, double level, RetryMode retry) {
  book_.set_admitted_fraction(table, classes, level, retry);
}
void ControllerDriver::request_acknowledgement(AckRequestId mark, bool reach_all) { marks_.emplace_back(mark, reach_all); }
void ControllerDriver::start_timer(Nanos from_now, TimerId timer) {
  timers_.start_timer(clock_() + from_now, timer);
  time_changed_.notify_all();
}

}  // namespace ospreypost::governor
