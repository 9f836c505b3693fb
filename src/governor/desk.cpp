#include "governor/desk.h"

#include <algorithm>

namespace ospreypost::governor {
namespace {

using namespace std::chrono_literals;

}  // namespace

Desk::Desk(const Start& start, Clock clock, Door& door)
    : clock_(std::move(clock)), door_(door), gather_(start.gather), book_(start.settings.classes.size()) {
  const std::lock_guard held(lock_);
  governor_ = std::make_unique<record::Tap>(start.settings, start.seed, clock_(), static_cast<Host&>(*this),
                                            start.record, start.configuration);
}

void Desk::open(std::function<void()> look, Nanos every) {
  timekeeper_ = net::Thread("timekeeper", [this, look = std::move(look), every] { keep_time(look, every); });
}

void Desk::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  time_changed_.notify_all();
  timekeeper_.join();
}

// With the lock held, after a call.
void Desk::touched(Nanos now) {
  if (gather_ <= Nanos{}) return publish(now);
  if (publish_at_ || !(book_.changed() || withdrawn_ || !marks_.empty())) return;
  publish_at_ = now + gather_;
  time_changed_.notify_all();
}

void Desk::publish(Nanos now) {
  publish_at_.reset();
  withdrawn_ = false;
  const auto published = book_.publish(now);
  door_.ordered(now, published, marks_);
  marks_.clear();
}

void Desk::keep_time(const std::function<void()>& look, Nanos every) {
  std::unique_lock held(lock_);
  Nanos next_look = clock_() + every;
  while (!stopping_) {
    const auto now = clock_();
    if (const auto timer = timers_.take(now)) {
      governor_->timer_due(now, *timer);
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

void Desk::set_line(TableId table, ReplicaId replica, double weight) {
  book_.set_line(table, replica, weight);
}
void Desk::clear_table(TableId table) { book_.clear_table(table); }
void Desk::bind(ProxyId proxy, TableId table, ClassMask classes) { book_.bind(proxy, table, classes); }
void Desk::withdraw(ReplicaId replica, bool out) {
  book_.withdraw(replica, out);
  withdrawn_ = true;
  door_.withdrawn(replica, out);
}
void Desk::set_level(TableId table, ClassMask classes, double level, Retry retry) {
  book_.set_level(table, classes, level, retry);
}
void Desk::mark(MarkId mark, bool reach_all) { marks_.emplace_back(mark, reach_all); }
void Desk::arm(Nanos from_now, TimerId timer) {
  timers_.arm(clock_() + from_now, timer);
  time_changed_.notify_all();
}

}  // namespace ospreypost::governor
