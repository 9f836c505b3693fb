// The module behind its lock, under every door: calls in, its timers, its orders into the book, and one
// version published after a call, or after all calls of a short while.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "book/order_book.h"
#include "governor/timers.h"
#include "net/threads.h"
#include "record/tap.h"
#include "rules.h"

namespace ospreypost::governor {

// What a door does with orders. Called under the desk's lock: take note and return.
class Door {
 public:
  virtual ~Door() = default;
  // After calls that ordered something; no version if nothing changed that anybody may use.
  virtual void ordered(Nanos now, const std::optional<book::OrderBook::Published>& published,
                       const std::vector<std::pair<MarkId, bool>>& marks) = 0;
  virtual void withdrawn(ReplicaId replica, bool out) = 0;
  virtual void probe(ReplicaId replica) = 0;
  virtual void watch_list(bool on) = 0;
  virtual void look_up_list() = 0;
  virtual void tell(std::optional<PeerId> peer, std::string_view message) = 0;
  virtual void log(std::string_view line) = 0;
};

class Desk : private Host {
 public:
  // The clock is monotonic and starts anywhere.
  using Clock = std::function<Nanos()>;
  struct Start {
    Settings settings;
    std::uint64_t seed = 0;
    Nanos gather{};                    // for so long orders are gathered before they are published together
    record::Writer* record = nullptr;  // outlives the desk
    std::string configuration;         // as the record keeps it
  };
  Desk(const Start& start, Clock clock, Door& door);
  ~Desk() override { stop(); }
  // The module's timers run from now on; `look` is called every so often, without the lock.
  void open(std::function<void()> look, Nanos every);
  void stop();

  // Takes the lock and makes the call at the present time.
  template <typename Call>
  void call(Call made) {
    const std::lock_guard held(lock_);
    const auto now = clock_();
    made(*governor_, book_, now);
    touched(now);
  }
  // Takes the lock, for those who only look.
  template <typename Look>
  void look(Look made) const {
    const std::lock_guard held(lock_);
    made();
  }
  Nanos now() const { return clock_(); }

 private:
  void set_line(TableId table, ReplicaId replica, double weight) override;
  void clear_table(TableId table) override;
  void bind(ProxyId proxy, TableId table, ClassMask classes) override;
  void withdraw(ReplicaId replica, bool out) override;
  void set_level(TableId table, ClassMask classes, double level, Retry retry) override;
  void mark(MarkId mark, bool reach_all) override;
  void arm(Nanos from_now, TimerId timer) override;
  void watch_list(bool on) override { door_.watch_list(on); }
  void look_up_list() override { door_.look_up_list(); }
  void probe(ReplicaId replica) override { door_.probe(replica); }
  void tell(std::optional<PeerId> peer, std::string_view message) override { door_.tell(peer, message); }
  void log(std::string_view line) override { door_.log(line); }

  void touched(Nanos now);
  void publish(Nanos now);
  void keep_time(const std::function<void()>& look, Nanos every);

  const Clock clock_;
  Door& door_;
  const Nanos gather_;
  // Never held while anything is read or written.
  mutable std::mutex lock_;
  book::OrderBook book_;
  Timers timers_;
  std::vector<std::pair<MarkId, bool>> marks_;
  bool withdrawn_ = false;  // anybody, either way, since the last version
  std::optional<Nanos> publish_at_;
  std::unique_ptr<record::Tap> governor_;
  std::condition_variable time_changed_;
  bool stopping_ = false;
  net::Thread timekeeper_;
};

}  // namespace ospreypost::governor
