// What several tests share: small settings, a host that keeps its books, and a hand to turn the clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::test {

using namespace std::chrono_literals;

inline Settings small_settings() {
  Settings s;
  ClassSettings read;
  read.effect = Idempotency::idempotent;
  read.latency_objective = 1s;
  read.request_deadline = 3s;
  ClassSettings write = read;
  write.effect = Idempotency::at_most_once;
  s.classes = {read, write};
  s.zones = 3;
  s.reporting = ReportingMode::in_load_reports;
  s.load_columns = {LoadMetric::util};
  s.admission = AdmissionMode::share;
  s.report_interval = 1s;
  s.message_delay = 500ms;
  s.poll_timeout = 10s;
  s.drain_grace = 3s;
  s.max_time_without_endpoints = 5s;
  s.channel_entries_per_second = 5000;
  s.channel_max_queued_entries = 10000;
  s.message_overhead_entries = 5;
  s.max_messages_per_window = 14;
  s.message_window = 10s;
  s.initial_warm_up_capacity = 0.2;
  s.warm_up_duration = 15s;
  s.overload_multiple = 3;
  s.overload_duration = 2s;
  return s;
}

inline EndpointUpdate entry(std::uint32_t id, std::uint16_t zone = 0,
                            EndpointPhase phase = EndpointPhase::ready) {
  EndpointUpdate e;
  e.replica = ReplicaId{id};
  e.zone = ZoneId{zone};
  e.phase = phase;
  return e;
}

// Keeps what the proxies would hold, and counts what the channel would carry.
class BookHost : public ActionHandler {
 public:
  using ActionHandler::handle;
  void handle(const SetTableEntry& action) override {
    auto& table = tables[action.table];
    if (action.weight > 0) {
      if (table.contains(action.replica) && table[action.replica] == action.weight) ++repeated;
      table[action.replica] = action.weight;
    } else {
      table.erase(action.replica);
    }
    ordered = true;
  }
  void handle(const ClearTable& action) override {
    tables[action.table].clear();
    ordered = true;
  }
  void handle(const BindProxy& action) override {
    for (unsigned cls = 0; cls < 16; ++cls) {
      if (action.classes == 0 || (action.classes >> cls & 1U)) bound[{action.proxy, cls}] = action.table;
    }
    bindings.insert(action.proxy);
  }
  void handle(const SetEjected& action) override {
    if (action.ejected) {
      withdrawn.insert(action.replica);
    } else {
      withdrawn.erase(action.replica);
    }
    ordered = true;
  }
  void handle(const SetAdmittedFraction& action) override {
    levels.push_back({action.classes, action.fraction, action.retry});
    ordered = true;
  }
  void handle(const StartTimer& action) override { timers.insert({now + action.delay, action.timer}); }
  void handle(const WatchEndpointList&) override { ++watches; }
  void handle(const RequestHealthCheck& action) override { probes.push_back(action.replica); }
  void handle(const LogLine& action) override { logged.emplace_back(action.text); }

  struct Level {
    ClassMask classes;
    double level;
    RetryMode retry;
  };
  // The share of class 0's operations that a proxy would send to a replica.
  double part(ProxyId proxy, ReplicaId replica) const {
    const auto at = bound.find({proxy, 0});
    if (at == bound.end() || !tables.contains(at->second)) return 0;
    double sum = 0, own = 0;
    for (const auto& [id, weight] : tables.at(at->second)) {
      if (withdrawn.contains(id)) continue;
      sum += weight;
      if (id == replica) own = weight;
    }
    return sum > 0 ? own / sum : 0;
  }

  Nanos now{1000s};
  std::map<TableId, std::map<ReplicaId, double>> tables;
  std::map<std::pair<ProxyId, unsigned>, TableId> bound;
  std::set<ReplicaId> withdrawn;
  std::set<ProxyId> bindings;
  std::multimap<Nanos, TimerId> timers;
  std::vector<Level> levels;
  std::vector<ReplicaId> probes;
  std::vector<std::string> logged;
  std::vector<Nanos> messages;  // when orders went out to all
  int watches = 0, repeated = 0;
  bool ordered = false;
};

// Lets a span pass, with every timer that falls into it; `after` each one.
template <typename After>
void turn_clock(BookHost& host, Controller& governor, Nanos span, After after) {
  const auto until = host.now + span;
  while (!host.timers.empty() && host.timers.begin()->first <= until) {
    const auto [at, timer] = *host.timers.begin();
    host.timers.erase(host.timers.begin());
    host.now = std::max(host.now, at);
    governor.on_timer(host.now, timer);
    after();
  }
  host.now = until;
}

// Turns the orders of one call into a message for each proxy that they concern, and lets the messages leave
// one after the other, at a pace of its own. Proxies answer the marks as their messages leave.
class ChannelHost : public BookHost {
 public:
  ChannelHost(double head, double lines_a_second) : head_(head), lines_a_step_(lines_a_second * kSeconds) {}
  using BookHost::handle;
  void handle(const SetTableEntry& action) override {
    BookHost::handle(action);
    for (const auto& [at, bound_to] : bound) {
      if (at.second == 0 && bound_to == action.table) ++lines_[at.first];
    }
  }
  void handle(const BindProxy& action) override {
    BookHost::handle(action);
    lines_[action.proxy] += 1 + static_cast<double>(tables[action.table].size());
  }
  void handle(const SetEjected& action) override {
    BookHost::handle(action);
    for (const auto& [at, table] : bound) {
      if (at.second == 0 && tables[table].contains(action.replica)) ++lines_[at.first];
    }
  }
  void handle(const SetAdmittedFraction& action) override {
    BookHost::handle(action);
    for (const auto proxy : bindings) ++lines_[proxy];
  }
  void handle(const RequestAcknowledgement& action) override { marks_.push_back(action.request); }

  // After each call.
  void take() {
    for (const auto& [proxy, lines] : lines_) {
      queue_.push_back({proxy, head_ + lines + static_cast<double>(marks_.size()), marks_});
      waiting += queue_.back().lines;
    }
    lines_.clear();
    marks_.clear();
    most_waiting = std::max(most_waiting, waiting);
  }
  void pass(Controller& governor, Nanos span) {
    for (const auto until = now + span; now < until;) {
      turn_clock(*this, governor, kStep, [this] { take(); });
      can_leave_ = queue_.empty() ? 0 : can_leave_ + lines_a_step_;
      while (!queue_.empty() && can_leave_ >= queue_.front().lines) {
        const auto message = queue_.front();
        queue_.pop_front();
        can_leave_ -= message.lines, waiting -= message.lines;
        for (const auto mark : message.marks) {
          if (answers) governor.on_acknowledged(now, message.proxy, mark, 1ms);
        }
        take();
      }
    }
  }

  bool answers = true;
  double waiting = 0, most_waiting = 0;  // lines

 private:
  struct Message {
    ProxyId proxy{};
    double lines = 0;
    std::vector<AckRequestId> marks;
  };
  static constexpr Nanos kStep = 10ms;
  static constexpr double kSeconds = 0.01;
  const double head_, lines_a_step_;
  std::deque<Message> queue_;
  double can_leave_ = 0;
  std::map<ProxyId, double> lines_;
  std::vector<AckRequestId> marks_;
};

// A governor with three proxies, one a zone, and the time in hand.
struct Scene {
  explicit Scene(const Settings& settings = small_settings(), std::uint32_t replicas = 9)
      : governor(settings, 7, host.now, host) {
    std::vector<EndpointUpdate> entries;
    for (std::uint32_t id = 0; id < replicas; ++id) {
      entries.push_back(entry(id, static_cast<std::uint16_t>(id % settings.zones)));
    }
    governor.on_endpoint_list(host.now, EndpointListKind::cached, entries);
    for (std::uint16_t p = 0; p < 3; ++p) governor.on_proxy_joined(host.now, ProxyId{p}, ZoneId{p}, 20, true);
    book();
  }
  void book() {
    if (host.ordered) host.messages.push_back(host.now);
    host.ordered = false;
  }
  void list(const EndpointUpdate& e) {
    governor.on_endpoint_list(host.now, EndpointListKind::changes, {e});
    book();
  }
  // The replica is gone and at once back, cold.
  void restart(std::uint32_t id, std::uint16_t zone) {
    list(entry(id, zone, EndpointPhase::gone));
    auto fresh = entry(id, zone);
    fresh.started = host.now;
    list(fresh);
  }
  // A replica restarts, and then most tries fail everywhere.
  void restart_into_a_jam(std::uint32_t id, std::uint16_t zone) {
    for (int s = 0; s < 3; ++s) second();
    restart(id, zone);
    for (int s = 0; s < 3; ++s) second({}, 8);
  }
  // Lets a second pass, then hands over what a zone met at each replica; `failed` of ten tries at `sick`.
  void second(const std::map<std::uint32_t, unsigned>& failed = {}, unsigned at_all = 0,
              unsigned attempts = 10, float use = 0.5F, Nanos span = 1s) {
    pass(span);
    for (std::uint32_t id = 0; id < 9; ++id) {
      if (host.withdrawn.contains(ReplicaId{id})) continue;
      ReplicaLoadReport sum;
      sum.replica = ReplicaId{id};
      sum.attempts = attempts;
      sum.failed = std::min(attempts, failed.contains(id) ? failed.at(id) : at_all);
      sum.mean_latency = 100ms;
      sum.span = span;
      sum.load = {use};
      governor.on_replica_load_report(host.now, sum);
      book();
    }
  }
  void pass(Nanos span) {
    turn_clock(host, governor, span, [this] { book(); });
  }
  // Seconds until the replica is withdrawn (true) or back (false); -1 if it is not within the limit.
  int seconds_until(std::uint32_t id, bool out, const std::map<std::uint32_t, unsigned>& failed, int limit) {
    for (int s = 0; s < limit; ++s) {
      if (host.withdrawn.contains(ReplicaId{id}) == out) return s;
      second(failed);
    }
    return -1;
  }
  BookHost host;
  Controller governor;
};

}  // namespace ospreypost::test
