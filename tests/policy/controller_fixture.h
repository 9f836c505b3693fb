/// Shared fixtures for tests of the whole controller: small settings, fake proxies that apply the actions
/// they receive, and a clock.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
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

/// Returns settings of a small deployment with two request classes and three zones.
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

/// Returns an entry of an endpoint list.
inline EndpointUpdate entry(std::uint32_t id, std::uint16_t zone = 0,
                            EndpointPhase phase = EndpointPhase::ready) {
  EndpointUpdate update;
  update.replica = ReplicaId{id};
  update.zone = ZoneId{zone};
  update.phase = phase;
  return update;
}

/// A request class at a proxy, the key of a binding.
struct ProxyClass {
  ProxyId proxy{};
  unsigned cls = 0;
  bool operator<(const ProxyClass& other) const {
    return std::tie(proxy, cls) < std::tie(other.proxy, other.cls);
  }
};

/// Applies the controller's actions to the state that the proxies would have.
class FakeProxies : public ActionHandler {
 public:
  using ActionHandler::handle;
  void handle(const SetTableEntry& action) override {
    EXPECT_TRUE(std::isfinite(action.weight) && action.weight >= 0) << action.weight;
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
    EXPECT_TRUE(std::isfinite(action.fraction) && action.fraction >= 0) << action.fraction;
    if (action.table == kAllTables) {
      admitted_fractions.push_back({action.classes, action.fraction, action.retry});
    } else {
      table_fractions[action.table] = action.fraction;
    }
    has_actions = true;
  }
  void handle(const StartTimer& action) override { timers.insert({now + action.delay, action.timer}); }
  void handle(const WatchEndpointList&) override { ++watch_requests; }
  void handle(const RequestHealthCheck& action) override { health_checks.push_back(action.replica); }
  void handle(const LogLine& action) override { log_lines.emplace_back(action.text); }

  struct AdmittedFraction {
    ClassMask classes;
    double fraction;
    RetryMode retry;
  };
  /// Returns the fraction of a class's arriving requests that a proxy admits, as set for its table.
  double admitted_fraction(ProxyId proxy, unsigned cls) const {
    const auto binding = bound_tables.find({proxy, cls});
    if (binding == bound_tables.end()) return 1;
    const auto fraction = table_fractions.find(binding->second);
    return fraction == table_fractions.end() ? 1 : fraction->second;
  }
  /// Returns the fraction of a class's admitted requests that a proxy would send to a replica.
  double request_share(ProxyId proxy, ReplicaId replica, unsigned cls = 0) const {
    const auto binding = bound_tables.find({proxy, cls});
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
  std::vector<AdmittedFraction> admitted_fractions;  // those set for all tables
  std::map<TableId, double> table_fractions;         // admitted fractions set for single tables
  std::vector<ReplicaId> health_checks;
  std::vector<std::string> log_lines;
  std::vector<Nanos> message_times;  // times of the calls that sent table, ejection or admission actions
  int watch_requests = 0;
  int repeated_entries = 0;  // entries sent with the weight that the table had already
  bool has_actions = false;  // whether the current call sent table, ejection or admission actions
};

/// Advances the clock by a span and fires the timers that are due in it. Calls `after_each` after each timer.
template <typename After>
void advance_clock(FakeProxies& proxies, Controller& controller, Nanos span, After after_each) {
  const auto until = proxies.now + span;
  while (!proxies.timers.empty() && proxies.timers.begin()->first <= until) {
    const auto [due, timer] = *proxies.timers.begin();
    proxies.timers.erase(proxies.timers.begin());
    proxies.now = std::max(proxies.now, due);
    controller.on_timer(proxies.now, timer);
    after_each();
  }
  proxies.now = until;
}

/// Fake proxies behind a slow channel. The actions of one call become one message for each proxy concerned.
/// The messages leave the channel one after the other at a given rate, and each proxy acknowledges its
/// messages as they leave.
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

  /// Queues the messages of one call on the controller. Tests must call this after each call on the
  /// controller.
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
  void advance(Controller& controller, Nanos span) {
    for (const auto until = now + span; now < until;) {
      advance_clock(*this, controller, kStep, [this] { send_messages(); });
      sendable_entries_ = queue_.empty() ? 0 : sendable_entries_ + entries_per_step_;
      while (!queue_.empty() && sendable_entries_ >= queue_.front().entries) {
        const auto message = queue_.front();
        queue_.pop_front();
        sendable_entries_ -= message.entries;
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
  double max_queued_entries = 0;  // maximum of queued_entries since the start

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
  double sendable_entries_ = 0;
  std::map<ProxyId, double> pending_entries_;
  std::vector<AckRequestId> requests_;
};

/// A controller with three proxies, one in each zone, and a clock that the test advances.
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
    record_message_time();
  }
  void record_message_time() {
    if (proxies.has_actions) proxies.message_times.push_back(proxies.now);
    proxies.has_actions = false;
  }
  void update_endpoint(const EndpointUpdate& update) {
    controller.on_endpoint_list(proxies.now, EndpointListKind::changes, {update});
    record_message_time();
  }
  /// Removes a replica from the list and adds it again at once, as just started.
  void restart(std::uint32_t id, std::uint16_t zone) {
    update_endpoint(entry(id, zone, EndpointPhase::gone));
    auto restarted = entry(id, zone);
    restarted.started = proxies.now;
    update_endpoint(restarted);
  }
  /// Restarts a replica, and then lets 8 of 10 attempts fail at all replicas for three seconds.
  void restart_during_congestion(std::uint32_t id, std::uint16_t zone) {
    for (int second = 0; second < 3; ++second) run_second();
    restart(id, zone);
    for (int second = 0; second < 3; ++second) run_second({}, 8);
  }
  /// Advances the clock by `span`, and then sends a load report of each replica that is not ejected.
  /// `failed` gives the failed attempts by replica, `failed_everywhere` those of all other replicas.
  void run_second(const std::map<std::uint32_t, unsigned>& failed = {}, unsigned failed_everywhere = 0,
                  unsigned attempts = 10, float utilization = 0.5F, Nanos span = 1s) {
    advance(span);
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
      record_message_time();
    }
  }
  void advance(Nanos span) {
    advance_clock(proxies, controller, span, [this] { record_message_time(); });
  }
  /// Runs until the replica is ejected (`is_ejected` true) or back (false). Returns the number of seconds
  /// run, or -1 if the limit is reached first.
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
