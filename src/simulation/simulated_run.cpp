#include "simulation/simulated_run.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <map>
#include <set>

#include "routing_state/pull_delivery.h"
#include "routing_state/routing_state.h"
#include "simulation/history_check.h"
#include "simulation/modelled_replica.h"

namespace ospreypost::simulation {
namespace {

using namespace std::chrono_literals;

constexpr int kMaxRepeats = 2;               // per request, by the client
constexpr Nanos kClientBackoff = 100ms;      // before the first repeat; doubles with each further repeat
constexpr Nanos kPullRetryInterval = 250ms;  // of a proxy that received no tables
constexpr Nanos kHealthCheckDuration = 2ms;
// A proxy that left and whose reports still arrive after this time forwards its requests to other proxies.
constexpr Nanos kForwardingDelay = 3s;

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

template <typename Id>
std::size_t index(Id id) {
  return static_cast<std::size_t>(id);
}

// Returns the proxies that joined the control plane at any time in the record, with their zones. All other
// proxies forward their requests to these proxies.
std::map<ProxyId, ZoneId> zones_of_served(const History& history) {
  std::map<ProxyId, ZoneId> zones;
  for (const auto& membership : history.memberships) {
    if (membership.joined) zones.try_emplace(membership.proxy, membership.zone);
  }
  return zones;
}

std::vector<ReportedService> count(const std::vector<Report>& reports, Nanos length,
                                   const std::map<ProxyId, ZoneId>& served, const Settings& settings) {
  std::vector<ReportedService> counts(static_cast<std::size_t>(length / 1s) + 1);
  for (const auto& report : reports) {
    const auto second = static_cast<std::size_t>(std::max(report.to - 1ns, Nanos{}) / 1s);
    if (second >= counts.size() || !served.contains(report.proxy)) continue;
    for (const auto& line : report.demand_lines) {
      const double priority_weight = settings.classes[index(line.cls)].priority_weight;
      counts[second].worth += line.operations * priority_weight;
      counts[second].unanswered += line.unanswered * priority_weight;
    }
  }
  return counts;
}

// One incarnation of the control plane: a controller with its routing state and the delivery of tables.
class ControlPlane : private ActionHandler {
 public:
  ControlPlane(const Deployment& deployment, EventQueue& clock)
      : deployment_(deployment),
        clock_(clock),
        routing_state_(deployment.settings.classes.size()),
        pull_delivery_({deployment.settings.message_overhead_entries,
                        deployment.limits.max_messages_per_window, deployment.limits.message_window}),
        ttl_policy_(deployment.lifetimes) {
    for (std::size_t proxy = 0; proxy < deployment.proxies.size(); ++proxy)
      ttl_policy_.add_known(ProxyId{static_cast<std::uint16_t>(proxy)}, true);
    controller_.emplace(deployment.settings, deployment.seed, clock.now(), static_cast<ActionSink&>(*this));
    publish();
  }

  // Calls the controller and publishes the changes that its actions made.
  template <typename Call>
  void call(Call call_controller) {
    call_controller(*controller_, clock_.now());
    publish();
  }
  void add_proxy(const Membership& membership) {
    routing_state_.add_proxy(membership.proxy);
    pull_delivery_.add_proxy(clock_.now(), membership.proxy);
    call([&](Controller& controller, Nanos now) {
      controller.on_proxy_joined(now, membership.proxy, membership.zone, membership.usual_rate,
                                 membership.fresh);
    });
  }
  void remove_proxy(ProxyId proxy) {
    controller_->on_proxy_left(clock_.now(), proxy);
    routing_state_.remove_proxy(proxy);
    pull_delivery_.remove_proxy(proxy);
    publish();
  }
  // Returns the snapshot that a proxy receives when it pulls; null if there is none for the proxy.
  std::shared_ptr<const routing_state::ProxySnapshot> pull(ProxyId proxy) {
    const auto now = clock_.now();
    auto proxy_snapshot = pull_delivery_.take_answer(now, proxy);
    for (const auto& acknowledgement : pull_delivery_.take_acknowledged(now, proxy)) {
      call([&](Controller& controller, Nanos time) {
        controller.on_acknowledged(time, acknowledgement.proxy, acknowledgement.request,
                                   acknowledgement.latency);
      });
    }
    return proxy_snapshot;
  }
  Nanos query_ttl(ProxyId proxy, ClassId cls) { return ttl_policy_.on_query(clock_.now(), proxy, cls).ttl; }
  const routing_state::PullDelivery::Counts& counts() const { return pull_delivery_.counts(); }
  const routing_state::RoutingSnapshot* snapshot() const { return snapshot_.get(); }

  std::function<void(Withdrawal)> on_ejection_change;
  std::function<HealthCheckResult(ReplicaId)> on_health_check;

 private:
  void publish() {
    const auto now = clock_.now();
    if (const auto published = routing_state_.publish(now)) {
      snapshot_ = published->snapshot;
      for (const auto& pending : published->changes)
        pull_delivery_.on_published(now, pending.proxy, snapshot_->snapshot_of(pending.proxy),
                                    pending.entries);
    }
    for (const auto& [acknowledgement, all_proxies] : std::exchange(requested_acknowledgements_, {}))
      pull_delivery_.request_acknowledgement(now, acknowledgement, snapshot_->version,
                                             snapshot_->acknowledgement_recipients(all_proxies));
  }

  using ActionHandler::handle;
  void handle(const SetTableEntry& action) override {
    routing_state_.set_table_entry(action.table, action.replica, action.weight);
  }
  void handle(const ClearTable& action) override { routing_state_.clear_table(action.table); }
  void handle(const BindProxy& action) override {
    routing_state_.bind(action.proxy, action.table, action.classes);
  }
  void handle(const SetEjected& action) override {
    routing_state_.set_ejected(action.replica, action.ejected);
    if (on_ejection_change) on_ejection_change({clock_.now(), action.replica, action.ejected});
  }
  void handle(const SetAdmittedFraction& action) override {
    routing_state_.set_admitted_fraction(action.table, action.classes, action.fraction, action.retry);
  }
  void handle(const RequestAcknowledgement& action) override {
    requested_acknowledgements_.emplace_back(action.request, action.all_proxies);
  }
  void handle(const StartTimer& action) override {
    clock_.schedule(clock_.now() + action.delay,
                    [this, timer = action.timer, controller_alive = std::weak_ptr<int>(controller_alive_)] {
                      if (!controller_alive.expired())
                        call([&](Controller& controller, Nanos now) { controller.on_timer(now, timer); });
                    });
  }
  void handle(const RequestHealthCheck& action) override {
    clock_.schedule(
        clock_.now() + kHealthCheckDuration,
        [this, replica = action.replica, controller_alive = std::weak_ptr<int>(controller_alive_)] {
          if (controller_alive.expired() || !on_health_check) return;
          call([&](Controller& controller, Nanos now) {
            controller.on_health_check_result(now, on_health_check(replica));
          });
        });
  }

  const Deployment& deployment_;
  EventQueue& clock_;
  const std::shared_ptr<int> controller_alive_ = std::make_shared<int>(0);
  routing_state::RoutingState routing_state_;
  routing_state::PullDelivery pull_delivery_;
  dns::ClientTtlPolicy ttl_policy_;
  std::vector<std::pair<AckRequestId, bool>> requested_acknowledgements_;
  std::shared_ptr<const routing_state::RoutingSnapshot> snapshot_ =
      std::make_shared<routing_state::RoutingSnapshot>();
  std::optional<Controller> controller_;
};

struct ModelledProxy {
  // The routing table in use, by class; null before the first table.
  std::vector<std::shared_ptr<const routing_state::RoutingTable>> tables;
  struct ReplicaSums {
    std::uint32_t attempts = 0, failed = 0;
    double handled_seconds = 0;
    std::vector<float> load;
  };
  std::map<ReplicaId, ReplicaSums> replica_sums;  // since the last report
  std::vector<DemandLine> demand_lines;           // since the last report
  // A proxy that forwards sends its requests to other proxies, which report them.
  bool joined = false, forwards = false;
  // Number of the present series of pulls. A series ends when the proxy joins or leaves, or when the control
  // plane instance stops.
  std::uint64_t pull_series = 0;
};

class Simulation {
 public:
  Simulation(const History& history, const Deployment& deployment, const Fleet& fleet, std::uint32_t seed)
      : history_(history),
        deployment_(deployment),
        fleet_(fleet),
        random_(seed),
        proxies_(deployment.proxies.size()),
        served_(zones_of_served(history)) {
    check_history(history, deployment);
    for (const auto& model : fleet.replicas) replicas_.emplace_back(model, fleet, clock_, random_);
    listed_.resize(replicas_.size(), EndpointPhase::gone);
    for (auto& proxy : proxies_) {
      proxy.tables.resize(deployment.classes.size());
      for (std::size_t k = 0; k < deployment.classes.size(); ++k)
        proxy.demand_lines.push_back({ClassId{static_cast<std::uint16_t>(k)}, 0, 0});
    }
  }

  SimulatedRun run() {
    plan_incarnations();
    plan_lists();
    plan_memberships();
    plan_reports();
    plan_arrivals();
    for (Nanos time{}; time < history_.length; time += 1s) clock_.schedule(time, [this] { sample_shares(); });
    // Requests in flight at the end of the record are answered or reach their deadline.
    Nanos max_deadline{};
    for (const auto& cls : deployment_.settings.classes)
      max_deadline = std::max(max_deadline, cls.request_deadline);
    clock_.run_until(history_.length + max_deadline);
    finish();
    return std::move(result_);
  }

 private:
  // --- Events of the record

  void plan_incarnations() {
    for (std::size_t n = 0; n < history_.lives.size(); ++n) {
      const auto& incarnation = history_.lives[n];
      clock_.schedule(incarnation.from, [this] { start_control_plane(); });
      if (n + 1 < history_.lives.size())
        clock_.schedule(incarnation.to + 1ns, [this] { stop_control_plane(); });
    }
    clock_.schedule(history_.length, [this] { trace_.add(checker::GovernorStatus{clock_.now(), false}); });
  }

  void start_control_plane() {
    control_plane_.emplace(deployment_, clock_);
    control_plane_->on_ejection_change = [this](const Withdrawal& withdrawal) {
      result_.withdrawals.push_back(withdrawal);
    };
    control_plane_->on_health_check = [this](ReplicaId replica) { return health_check_result(replica); };
    trace_.add(checker::GovernorStatus{clock_.now(), true});
  }
  void stop_control_plane() {
    add_delivery_counts();
    control_plane_.reset();
    for (auto& proxy : proxies_) proxy.joined = false, ++proxy.pull_series;
    trace_.add(checker::GovernorStatus{clock_.now(), false});
  }
  void add_delivery_counts() {
    if (!control_plane_) return;
    result_.messages += control_plane_->counts().messages;
    result_.worst_waiting = std::max(result_.worst_waiting, control_plane_->counts().max_queued_entries);
  }

  void plan_lists() {
    for (const auto& event : history_.lists) clock_.schedule(event.at, [this, &event] { apply_list(event); });
  }

  void apply_list(const ListEvent& event) {
    if (event.failed) {
      if (control_plane_)
        control_plane_->call(
            [](Controller& controller, Nanos now) { controller.on_endpoint_list_failed(now); });
      return;
    }
    if (event.kind != EndpointListKind::changes) {
      // A replica that a complete list does not name is gone. A fresh control plane instance receives no
      // entry for it.
      std::set<ReplicaId> named;
      for (const auto& entry : event.entries) named.insert(entry.replica);
      for (std::size_t n = 0; n < listed_.size(); ++n) {
        const ReplicaId id{static_cast<std::uint32_t>(n)};
        if (listed_[n] != EndpointPhase::gone && !named.contains(id)) set_phase(id, EndpointPhase::gone, {});
      }
    }
    for (const auto& entry : event.entries) set_phase(entry.replica, entry.phase, entry.started);
    if (control_plane_) {
      control_plane_->call([&](Controller& controller, Nanos now) {
        controller.on_endpoint_list(now, event.kind, event.entries);
      });
    }
  }

  // Derives the replicas' processes from the list: a replica that is gone has stopped, and a replica with a
  // later start time is another process.
  void set_phase(ReplicaId id, EndpointPhase phase, std::optional<Nanos> started) {
    const auto n = index(id);
    auto& replica = replicas_[n];
    const auto now = clock_.now();
    if (phase == EndpointPhase::gone) {
      replica.stop();
    } else if (!replica.running() || (started && *started > replica.start_time() + 1ms)) {
      const bool cold = started && *started + fleet_.warm_up_duration > now;
      const Nanos start_time = cold ? std::max(*started, Nanos{}) : now;
      replica.start(start_time, cold);
      const auto& model = fleet_.replicas[n];
      trace_.add(checker::Started{start_time, name(id), model.cores / model.slowness,
                                  cold ? fleet_.initial_warm_up_capacity : 1, fleet_.warm_up_duration});
    }
    listed_[n] = phase;
    trace_.add(checker::Listed{now, name(id),
                               phase == EndpointPhase::ready      ? checker::EndpointPhase::ready
                               : phase == EndpointPhase::draining ? checker::EndpointPhase::draining
                                                                  : checker::EndpointPhase::gone});
  }

  void plan_memberships() {
    for (const auto& membership : history_.memberships)
      clock_.schedule(membership.at, [this, &membership] { apply_membership(membership); });
  }

  void apply_membership(const Membership& membership) {
    auto& proxy = proxies_[index(membership.proxy)];
    if (!control_plane_ || proxy.joined == membership.joined) return;
    proxy.joined = membership.joined;
    ++proxy.pull_series;
    if (membership.joined) {
      proxy.forwards = false;
      if (disconnected_.erase(membership.proxy) > 0)
        trace_.add(checker::Cut{clock_.now(), proxy_name(membership.proxy), false});
      control_plane_->add_proxy(membership);
      for (std::size_t k = 0; k < proxy.tables.size(); ++k)
        pull(membership.proxy, ClassId{static_cast<std::uint16_t>(k)}, proxy.pull_series);
      return;
    }
    control_plane_->remove_proxy(membership.proxy);
    disconnected_.insert(membership.proxy);
    trace_.add(checker::Cut{clock_.now(), proxy_name(membership.proxy), true});
    // A proxy whose reports continue is reachable, so the control plane refused the proxy. Other proxies
    // receive its requests then and count them.
    const Nanos now = clock_.now();
    proxy.forwards = std::any_of(history_.reports.begin(), history_.reports.end(), [&](const Report& report) {
      return report.proxy == membership.proxy && report.arrived > now + kForwardingDelay &&
             report.arrived < now + 2 * kForwardingDelay;
    });
  }

  // A proxy pulls the table of one class, and pulls again when the time to live of the answer has passed. A
  // proxy with pushed tables is modelled as a proxy that pulls every `push_time`.
  void pull(ProxyId id, ClassId cls, std::uint64_t series) {
    auto& proxy = proxies_[index(id)];
    if (!control_plane_ || proxy.pull_series != series || clock_.now() >= history_.length) return;
    const auto proxy_snapshot = control_plane_->pull(id);
    const bool pushed = deployment_.pushed[index(id)];
    Nanos next_pull_delay = pushed ? fleet_.push_time : kPullRetryInterval;
    if (proxy_snapshot) {
      install_table(id, cls, *proxy_snapshot);
      if (!pushed) next_pull_delay = control_plane_->query_ttl(id, cls);
    }
    clock_.schedule(clock_.now() + next_pull_delay, [this, id, cls, series] { pull(id, cls, series); });
  }

  void install_table(ProxyId id, ClassId cls, const routing_state::ProxySnapshot& proxy_snapshot) {
    auto& installed = proxies_[index(id)].tables[index(cls)];
    const auto& table = proxy_snapshot.routing_tables[index(cls)];
    checker::Answered answered{clock_.now(),
                               proxy_name(id),
                               deployment_.classes[index(cls)],
                               static_cast<std::uint64_t>(proxy_snapshot.changed_in),
                               {},
                               true};
    if (table) {
      for (const auto& line : table->entries) answered.names.push_back(name(line.replica));
    }
    installed = table;
    trace_.add(std::move(answered));
  }

  // --- Requests

  // Schedules as many requests as were reported, without those that clients repeated, at random times within
  // the report's span.
  void plan_arrivals() {
    boost::random::uniform_real_distribution<double> fraction(0, 1);
    for (const auto& report : history_.reports) {
      for (const auto& line : report.demand_lines) {
        const double first_requests = line.operations - fleet_.repeats[index(line.cls)] * line.unanswered;
        const double whole = std::floor(std::max(0.0, first_requests));
        const auto count =
            static_cast<std::uint32_t>(whole) + (fraction(random_) < first_requests - whole ? 1 : 0);
        for (std::uint32_t n = 0; n < count; ++n) {
          const Nanos time =
              report.from + Nanos(std::llround(seconds(report.to - report.from) * fraction(random_) * 1e9));
          clock_.schedule(time,
                          [this, proxy = report.proxy, cls = line.cls] { receive_request(proxy, cls); });
        }
      }
    }
  }

  struct Request {
    std::uint64_t id = 0;
    ProxyId proxy{};
    ClassId cls{};
    Nanos start_time{}, deadline{};
    double work = 0;
    int repeats = 0;
    std::vector<ReplicaId> attempted;
  };
  using RequestPtr = std::shared_ptr<Request>;

  void receive_request(ProxyId proxy, ClassId cls) {
    if (proxies_[index(proxy)].forwards || !served_.contains(proxy)) {
      ++result_.left_out;
      return;
    }
    const auto now = clock_.now();
    auto request = std::make_shared<Request>();
    *request = {++last_request_id_,      proxy, cls, now, now + class_settings(cls).request_deadline,
                fleet_.work[index(cls)], 0,     {}};
    admit(request);
  }

  const ClassSettings& class_settings(ClassId cls) const { return deployment_.settings.classes[index(cls)]; }

  void admit(const RequestPtr& request) {
    auto& proxy = proxies_[index(request->proxy)];
    ++proxy.demand_lines[index(request->cls)].operations;
    const auto& table = proxy.tables[index(request->cls)];
    const double admitted_fraction =
        table ? table->traffic_policies[index(request->cls)].admitted_fraction : 1;
    boost::random::uniform_real_distribution<double> share(0, 1);
    request->attempted.clear();
    if (share(random_) >= admitted_fraction) return unserved(request, Outcome::refused, false);
    attempt_next(request, Outcome::refused);
  }

  void attempt_next(const RequestPtr& request, Outcome last_outcome) {
    // Each attempt uses the proxy's table at the time of the attempt.
    const auto table = proxies_[index(request->proxy)].tables[index(request->cls)];
    const auto retry = table ? table->traffic_policies[index(request->cls)].retry : RetryMode::none;
    const std::size_t max_attempts = retry == RetryMode::twice ? 3 : retry == RetryMode::none ? 1 : 2;
    const auto target = table && request->attempted.size() < max_attempts && clock_.now() < request->deadline
                            ? pick(*table, request->attempted)
                            : std::nullopt;
    if (!target) return unserved(request, last_outcome, true);
    request->attempted.push_back(*target);
    const auto start_time = clock_.now();
    const Nanos attempt_deadline =
        std::min(request->deadline, start_time + class_settings(request->cls).latency_objective);
    const auto& replica_name = name(*target);
    trace_.add(checker::Sent{start_time, proxy_name(request->proxy), replica_name, request->id});
    auto& replica = replicas_[index(*target)];
    if (replica.running()) trace_.add(checker::Arrived{start_time, replica_name, request->id, request->work});
    replica.handle_attempt(
        request->work, attempt_deadline,
        [this, &replica_name, id = request->id] {
          trace_.add(checker::Effect{clock_.now(), replica_name, id});
        },
        [this, request, target = *target, start_time, retry](Outcome outcome) {
          end_attempt(request, target, start_time, retry, outcome);
        });
  }

  void end_attempt(const RequestPtr& request, ReplicaId target, Nanos start_time, RetryMode retry,
                   Outcome outcome) {
    auto& sums = proxies_[index(request->proxy)].replica_sums[target];
    ++sums.attempts;
    if (outcome == Outcome::done) {
      sums.handled_seconds += seconds(clock_.now() - start_time);
      sums.load = load_of(target, clock_.now() - start_time);
      return served(request);
    }
    ++sums.failed;
    const bool any_failure = retry == RetryMode::once || retry == RetryMode::twice;
    const bool may_retry = outcome == Outcome::refused || any_failure;
    may_retry ? attempt_next(request, outcome) : unserved(request, outcome, true);
  }

  std::optional<ReplicaId> pick(const routing_state::RoutingTable& table,
                                const std::vector<ReplicaId>& attempted) {
    double sum = 0;
    const auto is_candidate = [&](const routing_state::TableEntry& line) {
      return std::find(attempted.begin(), attempted.end(), line.replica) == attempted.end();
    };
    for (const auto& line : table.entries) sum += is_candidate(line) ? line.weight : 0;
    if (sum <= 0) return std::nullopt;
    double remaining = boost::random::uniform_real_distribution<double>(0, sum)(random_);
    std::optional<ReplicaId> last;
    for (const auto& line : table.entries) {
      if (!is_candidate(line)) continue;
      last = line.replica;
      remaining -= line.weight;
      if (remaining < 0) break;
    }
    return last;
  }

  std::vector<float> load_of(ReplicaId id, Nanos took) const {
    std::vector<float> load;
    const auto& replica = replicas_[index(id)];
    for (const auto column : deployment_.settings.load_columns) {
      switch (column) {
        case LoadMetric::util:
          load.push_back(static_cast<float>(replica.util()));
          break;
        case LoadMetric::inflight:
          load.push_back(static_cast<float>(replica.in_flight()));
          break;
        case LoadMetric::queue:
          load.push_back(static_cast<float>(replica.queued()));
          break;
        case LoadMetric::latency:
          load.push_back(static_cast<float>(seconds(took) * 1e3));
          break;
        default:
          return {};  // the model has no value for this column
      }
    }
    return load;
  }

  HealthCheckResult health_check_result(ReplicaId id) const {
    const auto& replica = replicas_[index(id)];
    HealthCheckResult result{id, replica.running(), !replica.running(), kHealthCheckDuration, {}};
    if (replica.running()) result.load = load_of(id, kHealthCheckDuration);
    return result;
  }

  void served(const RequestPtr& request) {
    trace_.add(checker::Operation{request->start_time, request->id, deployment_.classes[index(request->cls)],
                                  clock_.now()});
  }

  void unserved(const RequestPtr& request, Outcome outcome, bool admitted) {
    if (admitted) ++proxies_[index(request->proxy)].demand_lines[index(request->cls)].unanswered;
    const bool safe =
        outcome == Outcome::refused || class_settings(request->cls).effect == Idempotency::idempotent;
    const Nanos repeat_time = clock_.now() + kClientBackoff * (1 << request->repeats);
    boost::random::uniform_real_distribution<double> share(0, 1);
    const bool client_repeats = safe && request->repeats < kMaxRepeats && repeat_time < request->deadline &&
                                share(random_) < fleet_.repeats[index(request->cls)];
    if (!client_repeats) {
      trace_.add(checker::Operation{request->start_time, request->id,
                                    deployment_.classes[index(request->cls)], std::nullopt});
      return;
    }
    ++request->repeats;
    clock_.schedule(repeat_time, [this, request] { admit(request); });
  }

  // --- Reports, which arrive at their recorded times

  void plan_reports() {
    const Nanos interval = deployment_.settings.report_interval;
    std::map<ProxyId, std::vector<const Report*>> by_proxy;
    std::vector<double> spans;
    for (const auto& report : history_.reports) {
      by_proxy[report.proxy].push_back(&report);
      spans.push_back(report.seconds());
    }
    if (spans.empty()) return;
    std::nth_element(spans.begin(), spans.begin() + static_cast<std::ptrdiff_t>(spans.size() / 2),
                     spans.end());
    const double recorded_interval = spans[spans.size() / 2];
    const bool as_recorded = std::abs(seconds(interval) - recorded_interval) < 0.2 * recorded_interval;
    for (auto& [proxy, reports] : by_proxy) {
      std::sort(reports.begin(), reports.end(), [](auto* a, auto* b) { return a->from < b->from; });
      // With another report interval, the reported time is divided into new spans. Each new report has the
      // transit time of the recorded report in whose span it ends.
      Nanos span_begin = reports.front()->from, end = span_begin;
      for (const auto* report : reports) {
        const bool gap = report->from > end + (report->to - report->from) / 10;
        if (gap || report == reports.front()) {
          span_begin = report->from;
          // Requests in a gap between reports are in no report.
          clock_.schedule(span_begin, [this, id = proxy] { clear_sums(id); });
        }
        end = report->to;
        const Nanos transit_time = report->arrived - report->to;
        const Nanos step = as_recorded ? end - span_begin : interval;
        for (; step > Nanos{} && end - span_begin >= step; span_begin += step)
          plan_report(proxy, span_begin, span_begin + step, span_begin + step + transit_time);
      }
    }
  }

  void plan_report(ProxyId id, Nanos from, Nanos to, Nanos arrival) {
    clock_.schedule(to, [this, id, span = to - from, arrival] {
      auto& proxy = proxies_[index(id)];
      auto replica_sums = std::move(proxy.replica_sums);
      auto demand_lines = proxy.demand_lines;
      clear_sums(id);
      clock_.schedule(std::max(arrival, clock_.now()),
                      [this, id, span, to = clock_.now(), replica_sums, demand_lines] {
                        deliver_report(id, span, to, replica_sums, demand_lines);
                      });
    });
  }
  void clear_sums(ProxyId id) {
    proxies_[index(id)].replica_sums.clear();
    for (auto& line : proxies_[index(id)].demand_lines) line.operations = line.unanswered = 0;
  }

  void deliver_report(ProxyId id, Nanos span, Nanos to,
                      const std::map<ReplicaId, ModelledProxy::ReplicaSums>& replica_sums,
                      const std::vector<DemandLine>& demand_lines) {
    Report report{id, to - span, to, clock_.now(), {}, demand_lines};
    for (const auto& [replica, sums] : replica_sums) {
      const auto handled = sums.attempts - sums.failed;
      report.replica_lines.push_back({replica, sums.attempts, sums.failed, {}, sums.load});
      if (handled > 0)
        report.replica_lines.back().mean_latency = Nanos(std::llround(sums.handled_seconds / handled * 1e9));
    }
    result_.reports.push_back(report);
    if (!control_plane_) return;
    const auto known = served_.find(id);
    const auto zone = known == served_.end() ? ZoneId{} : known->second;
    for (const auto& line : report.replica_lines) {
      const ReplicaLoadReport load_report{zone, line.replica, line.attempts, line.failed, line.mean_latency,
                                          span, line.load};
      control_plane_->call(
          [&](Controller& controller, Nanos now) { controller.on_replica_load_report(now, load_report); });
    }
    for (const auto& line : demand_lines) {
      control_plane_->call([&](Controller& controller, Nanos now) {
        controller.on_demand_report(now, id, {line.cls, line.operations, line.unanswered, span});
      });
    }
  }

  // --- Samples and results

  void sample_shares() {
    if (!control_plane_ || !control_plane_->snapshot()) return;
    TableShares shares{clock_.now(), std::vector<double>(replicas_.size())};
    double table_count = 0;
    for (const auto& [proxy, proxy_snapshot] : control_plane_->snapshot()->proxy_snapshots) {
      for (const auto& table : proxy_snapshot->routing_tables) {
        if (!table) continue;
        double sum = 0;
        for (const auto& line : table->entries) sum += line.weight;
        for (const auto& line : table->entries) shares.by_replica[index(line.replica)] += line.weight / sum;
        table_count += table->entries.empty() ? 0 : 1;
      }
    }
    for (auto& share : shares.by_replica) share = table_count > 0 ? share / table_count : 0;
    result_.shares.push_back(std::move(shares));
  }

  void finish() {
    add_delivery_counts();
    result_.reported = count(result_.reports, history_.length, served_, deployment_.settings);
    result_.verdict =
        checker::check_invariants(trace_, deployment_.limits, history_.length, result_.worst_waiting);
    result_.service = checker::service_by_second(trace_, deployment_.limits, Nanos{}, history_.length);
  }

  const std::string& name(ReplicaId id) const { return history_.replicas[index(id)]; }
  const std::string& proxy_name(ProxyId id) const { return deployment_.proxies[index(id)]; }

  const History& history_;
  const Deployment& deployment_;
  const Fleet& fleet_;
  std::mt19937 random_;
  EventQueue clock_;
  std::deque<ModelledReplica> replicas_;
  std::vector<EndpointPhase> listed_;
  std::vector<ModelledProxy> proxies_;
  const std::map<ProxyId, ZoneId> served_;
  std::set<ProxyId> disconnected_;
  std::optional<ControlPlane> control_plane_;
  checker::Trace trace_;
  std::uint64_t last_request_id_ = 0;
  SimulatedRun result_;
};

}  // namespace

SimulatedRun simulate(const History& history, const Deployment& deployment, const Fleet& fleet,
                      std::uint32_t seed) {
  return Simulation(history, deployment, fleet, seed).run();
}

std::vector<ReportedService> reported_service(const History& history, const Deployment& deployment) {
  return count(history.reports, history.length, zones_of_served(history), deployment.settings);
}

}  // namespace ospreypost::simulation
