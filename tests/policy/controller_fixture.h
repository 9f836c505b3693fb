/// What the tests of the whole controller share: small settings, proxies that hold what they are sent, and a
/// clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::test {

using namespace std::chrono_literals;

/// Two classes, three zones, and limits like those of a small deployment.
inline Settings small_settings() {
  Settings settings;
  ClassSettings read;
  read.effect = Idempotency::idempotent;
  read.latency_objective = 1s;
  read.request_deadline = 3s;
  ClassSettings write = read;
  write.effect = Idempotency::at_most_once;
  settings.classes = {read, write};
  settings.zones = 3;
  settings.reporting = ReportingMode::in_load_reports;
  settings.load_columns = {LoadMetric::util};
  settings.admission = AdmissionMode::share;
  settings.report_interval = 1s;
  settings.message_delay = 500ms;
  settings.poll_timeout = 10s;
  settings.drain_grace = 3s;
  settings.max_time_without_endpoints = 5s;
  settings.channel_entries_per_second = 5000;
  settings.channel_max_queued_entries = 10000;
  settings.message_overhead_entries = 5;
  settings.max_messages_per_window = 14;
  settings.message_window = 10s;
  settings.initial_warm_up_capacity = 0.2;
  settings.warm_up_duration = 15s;
  settings.overload_multiple = 3;
  settings.overload_duration = 2s;
  return settings;
}

/// An entry of an endpoint list.
inline EndpointUpdate entry(std::uint32_t id, std::uint16_t zone = 0,
                            EndpointPhase phase = EndpointPhase::ready) {
  EndpointUpdate update;
  update.replica = ReplicaId{id};
  update.zone = ZoneId{zone};
  update.phase = phase;
  return update;
}

/// One request class at one proxy.
struct ProxyClass {
  ProxyId proxy{};
  unsigned cls = 0;
  bool operator<(const ProxyClass& other) const {
    return std::tie(proxy, cls) < std::tie(other.proxy, other.cls);
  }
};

/// Holds what the proxies would hold.
class FakeProxies : public ActionHandler {
 public:
  using ActionHandler::handle;
  void handle(const SetTableEntry& action) override {
    auto& table = tables[action.table];
    if (action.weight > 0) {
      if (table.contains(action.replica) && table[action.replica] == action.weight) ++repeated_entries;
      table[action.replica] = action.weight;
    } else {
      table.erase(action.replica);
    }
    has_actions = true;
  }
  void handle(const ClearTable& action) override {
    tables[action.table].clear();
    has_actions = true;
  }
  void handle(const BindProxy& action) override {
    for (unsigned cls = 0; cls < 16; ++cls) {
      if (action.classes == 0 || (action.classes >> cls & 1U))
        bound_tables[{action.proxy, cls}] = action.table;
    }
    bound_proxies.insert(action.proxy);
  }
  void handle(const SetEjected& action) override {
    if (action.ejected) {
      ejected.insert(action.replica);
    } else {
      ejected.erase(action.replica);
    }
    has_actions = true;
  }
  void handle(const SetAdmittedFraction& action) override {
    admitted_fractions.push_back({action.classes, action.fraction, action.retry});
    has_actions = true;
  }
  void handle(const StartTimer& action) override { timers.insert({now + action.delay, action.timer}); }
  void handle(const WatchEndpointList&) override { ++watch_requests; }
  void handle(const RequestHealthCheck& action) override { health_checks.push_back(action.replica); }
  void handle(const LogLine& action) override { log_lines.emplace_back(action.text); }

  struct AdmittedFraction {
    ClassMask classes;
    double level;
    RetryMode retry;
  };
  /// The share of class 0's requests that a proxy would send to a replica.
  double request_share(ProxyId proxy, ReplicaId replica) const {
    const auto binding = bound_tables.find({proxy, 0});
    if (binding == bound_tables.end() || !tables.contains(binding->second)) return 0;
    double total = 0;
    double own = 0;
    for (const auto& [id, weight] : tables.at(binding->second)) {
      if (ejected.contains(id)) continue;
      total += weight;
      if (id == replica) own = weight;
    }
    return total > 0 ? own / total : 0;
  }

  Nanos now{1000s};
  std::map<TableId, std::map<ReplicaId, double>> tables;
  std::map<ProxyClass, TableId> bound_tables;
  std::set<ReplicaId> ejected;
  std::set<ProxyId> bound_proxies;
  std::multimap<Nanos, TimerId> timers;
  std::vector<AdmittedFraction> admitted_fractions;
  std::vector<ReplicaId> health_checks;
  std::vector<std::string> log_lines;
  std::vector<Nanos> message_times;  // when actions went to all
  int watch_requests = 0;
  int repeated_entries = 0;  // entries that changed nothing
  bool has_actions = false;
};

/// Lets a span pass, with every timer that falls into it; `after` each one.
template <typename After>
void advance_clock(FakeProxies& proxies, Controller& controller, Nanos span, After after) {
  const auto until = proxies.now + span;
  while (!proxies.timers.empty() && proxies.timers.begin()->first <= until) {
    const auto [due, timer] = *proxies.timers.begin();
    proxies.timers.erase(proxies.timers.begin());
    proxies.now = std::max(proxies.now, due);
    controller.on_timer(proxies.now, timer);
    after();
  }
  proxies.now = until;
}

/// Turns the actions of one call into a message for each proxy that they concern, and lets the messages leave
/// one after the other, at a pace of its own. Proxies acknowledge as their messages leave.
class PacedFakeProxies : public FakeProxies {
 public:
  PacedFakeProxies(double message_overhead, double entries_per_second)
      : message_overhead_(message_overhead), entries_per_step_(entries_per_second * kStepSeconds) {}
  using FakeProxies::handle;
  void handle(const SetTableEntry& action) override {
    FakeProxies::handle(action);
    for (const auto& [bound, table_of_proxy] : bound_tables) {
      if (bound.cls == 0 && table_of_proxy == action.table) ++pending_entries_[bound.proxy];
    }
  }
  void handle(const BindProxy& action) override {
    FakeProxies::handle(action);
    pending_entries_[action.proxy] += 1 + static_cast<double>(tables[action.table].size());
  }
  void handle(const SetEjected& action) override {
    FakeProxies::handle(action);
    for (const auto& [bound, table] : bound_tables) {
      if (bound.cls == 0 && tables[table].contains(action.replica)) ++pending_entries_[bound.proxy];
    }
  }
  void handle(const SetAdmittedFraction& action) override {
    FakeProxies::handle(action);
    for (const auto proxy : bound_proxies) ++pending_entries_[proxy];
  }
  void handle(const RequestAcknowledgement& action) override { requests_.push_back(action.request); }

  /// To be called after each call on the controller.
  void send_messages() {
    for (const auto& [proxy, entries] : pending_entries_) {
      queue_.push_back(
          {proxy, message_overhead_ + entries + static_cast<double>(requests_.size()), requests_});
      queued_entries += queue_.back().entries;
    }
    pending_entries_.clear();
    requests_.clear();
    max_queued_entries = std::max(max_queued_entries, queued_entries);
  }
  void pass(Controller& controller, Nanos span) {
    for (const auto until = now + span; now < until;) {
      advance_clock(*this, controller, kStep, [this] { send_messages(); });
      can_send_ = queue_.empty() ? 0 : can_send_ + entries_per_step_;
      while (!queue_.empty() && can_send_ >= queue_.front().entries) {
        const auto message = queue_.front();
        queue_.pop_front();
        can_send_ -= message.entries;
        queued_entries -= message.entries;
        for (const auto request : message.requests) {
          if (acknowledges) controller.on_acknowledged(now, message.proxy, request, 1ms);
        }
        send_messages();
      }
    }
  }

  bool acknowledges = true;
  double queued_entries = 0;
  double max_queued_entries = 0;  // ever

 private:
  struct Message {
    ProxyId proxy{};
    double entries = 0;
    std::vector<AckRequestId> requests;
  };
  static constexpr Nanos kStep = 10ms;
  static constexpr double kStepSeconds = 0.01;
  const double message_overhead_;
  const double entries_per_step_;
  std::deque<Message> queue_;
  double can_send_ = 0;
  std::map<ProxyId, double> pending_entries_;
  std::vector<AckRequestId> requests_;
};

/// A controller with three proxies, one in each zone, and the time in hand.
struct ControllerFixture {
  explicit ControllerFixture(const Settings& settings = small_settings(), std::uint32_t replicas = 9)
      : controller(settings, 7, proxies.now, proxies) {
    std::vector<EndpointUpdate> entries;
    for (std::uint32_t id = 0; id < replicas; ++id) {
      entries.push_back(entry(id, static_cast<std::uint16_t>(id % settings.zones)));
    }
    controller.on_endpoint_list(proxies.now, EndpointListKind::cached, entries);
    for (std::uint16_t id = 0; id < 3; ++id) {
      controller.on_proxy_joined(proxies.now, ProxyId{id}, ZoneId{id}, 20, true);
    }
    note_message();
  }
  void note_message() {
    if (proxies.has_actions) proxies.message_times.push_back(proxies.now);
    proxies.has_actions = false;
  }
  void update_endpoint(const EndpointUpdate& update) {
    controller.on_endpoint_list(proxies.now, EndpointListKind::changes, {update});
    note_message();
  }
  /// The replica is gone and at once back, warming up.
  void restart(std::uint32_t id, std::uint16_t zone) {
    update_endpoint(entry(id, zone, EndpointPhase::gone));
    auto restarted = entry(id, zone);
    restarted.started = proxies.now;
    update_endpoint(restarted);
  }
  /// A replica restarts, and then most attempts fail everywhere.
  void restart_during_congestion(std::uint32_t id, std::uint16_t zone) {
    for (int second = 0; second < 3; ++second) run_second();
    restart(id, zone);
    for (int second = 0; second < 3; ++second) run_second({}, 8);
  }
  /// Lets a second pass, then reports what the proxies saw of each replica: `failed` attempts at some of
  /// them.
  void run_second(const std::map<std::uint32_t, unsigned>& failed = {}, unsigned failed_everywhere = 0,
                  unsigned attempts = 10, float utilization = 0.5F, Nanos span = 1s) {
    pass(span);
    for (std::uint32_t id = 0; id < 9; ++id) {
      if (proxies.ejected.contains(ReplicaId{id})) continue;
      ReplicaLoadReport report;
      report.replica = ReplicaId{id};
      report.attempts = attempts;
      report.failed = std::min(attempts, failed.contains(id) ? failed.at(id) : failed_everywhere);
      report.mean_latency = 100ms;
      report.span = span;
      report.load = {utilization};
      controller.on_replica_load_report(proxies.now, report);
      note_message();
    }
  }
  void pass(Nanos span) {
    advance_clock(proxies, controller, span, [this] { note_message(); });
  }
  /// Seconds until the replica is ejected (true) or back (false); -1 if it is not within the limit.
  int seconds_until_state(std::uint32_t id, bool is_ejected, const std::map<std::uint32_t, unsigned>& failed,
                          int limit) {
    for (int second = 0; second < limit; ++second) {
      if (proxies.ejected.contains(ReplicaId{id}) == is_ejected) return second;
      run_second(failed);
    }
    return -1;
  }
  FakeProxies proxies;
  Controller controller;
};

}  // namespace ospreypost::test
