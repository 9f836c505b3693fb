#include "policy/control_loop.h"

#include <algorithm>

namespace ospreypost {
namespace {

using namespace std::chrono_literals;
using policy::TablePublisher;

constexpr TimerId kIterationTimer{1};
constexpr TimerId kWatchTimer{2};

constexpr Nanos kMinInterval = 100ms;
/// Number of iterations between two health checks of a replica, where load is reported by health checks.
constexpr unsigned kIterationsBetweenHealthChecks = 4;
/// Number of iterations between two updates of admission. Two iterations last one report interval.
constexpr unsigned kIterationsBetweenAdmissions = 2;
/// Maximum number of proxies of a zone that migrate in one iteration.
constexpr std::size_t kMaxMigrations = 8;

/// Base of the backoff before a failed endpoint list is watched again. Each consecutive failure doubles the
/// backoff, starting with the first.
constexpr double kWatchBackoffSeconds = 0.5;
/// Number of consecutive failures after which the backoff doubles no further.
constexpr int kMaxListFailures = 3;
// Range of the random factor of the backoff.
constexpr double kMinBackoffJitter = 0.3;
constexpr double kMaxBackoffJitter = 1.0;

}  // namespace

Controller::ControlLoop::ControlLoop(const Settings& settings, std::uint64_t seed, Nanos now,
                                     ActionSink& actions)
    : actions_(actions),
      interval_(std::max<Nanos>(settings.report_interval / 2, kMinInterval)),
      random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32U))),
      clock_(now, interval_),
      classes_(settings),
      load_signal_(settings),
      slow_start_(settings),
      membership_(settings),
      outlier_detector_(settings, load_signal_, clock_, actions),
      load_feedback_(load_signal_),
      admission_(settings),
      assignment_(settings, classes_),
      planner_(settings),
      warm_up_limiter_(settings),
      channel_(settings),
      publisher_(settings, channel_, actions),
      fleet_(zones()),
      demand_(classes_.groups().size(), zones()) {
  if (settings.poll_endpoint_list) actions_.watch_endpoint_list(true);
  actions_.start_timer(interval_, kIterationTimer);
}

// --- The iteration of the control loop

void Controller::ControlLoop::run_iteration() {
  actions_.start_timer(interval_, kIterationTimer);
  forget_expired_replicas();
  ++iteration_;
  request_health_checks();
  collect_statistics();
  if (outlier_detector_.evaluate(replicas(), fleet_)) publisher_.request_urgent_publication();
  restore_endpoints();
  load_feedback_.adjust(replicas(), clock_.evidence_time(), iteration_);
  if (iteration_ % kIterationsBetweenAdmissions == 0) admission_.update(fleet_);
  bind_unassigned_proxies();
  migrate_proxies();
  if (publisher_.is_due(clock_.now())) publish();
  channel_.request_acknowledgement(clock_.now(), actions_);
}

/// Forgets replicas that have been gone for long, so that memory does not grow with every replica that ever
/// existed. A replica is kept while any subset's table has an entry of it, and while any proxy is bound to no
/// subset, since such a proxy may still hold an entry of any replica.
void Controller::ControlLoop::forget_expired_replicas() {
  for (const auto id : membership_.collect_expired(clock_.now())) {
    if (assignment_.unassigned_proxies() > 0 || !publisher_.subsets_holding(id).empty()) continue;
    actions_.set_ejected(id, false);
    membership_.forget(id);
  }
}

void Controller::ControlLoop::request_health_checks() {
  if (!load_signal_.needs_health_checks()) return;
  for (const auto& [id, replica] : replicas()) {
    const unsigned turn = static_cast<std::uint32_t>(id) + iteration_;
    if (turn % kIterationsBetweenHealthChecks != 0) continue;
    if (slow_start_.may_serve(replica, clock_.now())) actions_.request_health_check(id);
  }
}

void Controller::ControlLoop::collect_statistics() {
  // The capacities depend on the pressure, and on the zones in which replicas that are warming up are kept
  // out of service, as of the previous collection of statistics.
  warm_up_limiter_.record_listed_weight(replicas(), clock_.now());
  assignment_.update_capacities(replicas(), slow_start_, clock_.now(), fleet_.pressure);
  const policy::FleetView view{replicas(), slow_start_, load_signal_, classes_, clock_};
  fleet_ = collect_fleet_statistics(view, fleet_);
  slow_start_.update_holds(fleet_.attempts_per_success, actions_);
  demand_ = assignment_.update_demand(clock_.evidence_time());
}

void Controller::ControlLoop::restore_endpoints() {
  outlier_detector_.restore_endpoints(replicas(), classes_.groups(), zones(), slow_start_);
}

void Controller::ControlLoop::bind_unassigned_proxies() {
  if (assignment_.subsets().empty()) return;
  for (const auto& [id, proxy] : assignment_.proxies()) {
    if (!proxy.subset) bind(id, assignment_.least_loaded(proxy.zone), TablePublisher::Binding::joining);
  }
}

void Controller::ControlLoop::migrate_proxies() {
  if (assignment_.subsets().empty()) return;
  const auto may_migrate = [&](ProxyId proxy) { return publisher_.may_migrate(proxy, clock_.now()); };
  for (std::size_t turn = 0; turn < kMaxMigrations; ++turn) {
    for (std::size_t zone = 0; zone < zones(); ++zone) {
      const auto migration = assignment_.find_migration(zone, may_migrate);
      if (migration) bind(migration->proxy, migration->subset, TablePublisher::Binding::migration);
    }
  }
}

void Controller::ControlLoop::bind(ProxyId proxy, std::size_t subset, TablePublisher::Binding binding) {
  const bool is_bound = publisher_.bind(proxy, subset, classes_.groups(), replicas(), binding, clock_.now());
  if (!is_bound) return;
  assignment_.assign(proxy, subset, clock_.evidence_time());
  // The limit of a table's load goes by the demand of its proxies, which this proxy adds to.
  if (publisher_.has_limited_table(subset)) publisher_.request_urgent_publication();
}

void Controller::ControlLoop::publish() {
  if (assignment_.subsets().empty()) return;
  const policy::WantedState wanted{plan_tables(),
                                   admission_.admitted_fractions(classes_, clock_.evidence_time()),
                                   admission_.retry_mode()};
  publisher_.publish(wanted, replicas(), slow_start_, assignment_, clock_.now());
}

policy::TableSet Controller::ControlLoop::plan_tables() {
  warm_up_limiter_.update_usual_load(demand_, assignment_, admission_.admitted_work(), clock_.now());
  const policy::PlanningView view{replicas(), slow_start_, classes_.groups(), assignment_,
                                  fleet_,     demand_,     clock_.now(),      warm_up_limiter_.max_load()};
  policy::WarmUpLimiter::release(replicas());
  auto tables = planner_.plan(view);
  // Each turn keeps more replicas out of service, so that the loop ends.
  while (warm_up_limiter_.limit(tables, view, replicas())) tables = planner_.plan(view);
  return tables;
}

// --- The events of the fleet

void Controller::ControlLoop::on_endpoint_list(Nanos now, EndpointListKind kind,
                                               const std::vector<EndpointUpdate>& entries) {
  clock_.advance(now);
  list_failures_ = 0;
  const bool known_before_start = kind == EndpointListKind::cached;
  for (const auto& entry : entries) {
    if (entry.phase != EndpointPhase::gone) apply(entry, known_before_start);
  }
  if (membership_.remove(membership_.removed_by(kind, entries), actions_))
    publisher_.request_urgent_publication();
  assignment_.lay_out(replicas(), {channel_.entries_per_second(), publisher_.message_overhead()});
  publisher_.set_table_count(assignment_.subsets().size(), classes_.groups().size());
  collect_statistics();
  restore_endpoints();
  if (publisher_.is_urgent() || known_before_start) publish();
  channel_.request_acknowledgement(now, actions_);
}

void Controller::ControlLoop::apply(const EndpointUpdate& update, bool known_before_start) {
  const auto applied = membership_.apply(update, known_before_start, slow_start_, clock_.now());
  if (applied.needs_block) assignment_.assign_block(applied.replica, replicas());
  if (applied.stopped_serving) publisher_.request_urgent_publication();
  if (applied.must_recover) outlier_detector_.half_open(update.replica, applied.replica);
}

void Controller::ControlLoop::on_endpoint_list_failed() {
  // A backoff with jitter keeps all instances from returning at once to an overloaded source of the list.
  list_failures_ = std::min(list_failures_ + 1, kMaxListFailures);
  std::uniform_real_distribution<double> jitter(kMinBackoffJitter, kMaxBackoffJitter);
  const double backoff = kWatchBackoffSeconds * (1 << list_failures_);
  actions_.start_timer(policy::from_seconds(backoff * jitter(random_)), kWatchTimer);
}

void Controller::ControlLoop::on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone,
                                              double usual_requests_per_second) {
  clock_.advance(now);
  on_proxy_left(proxy);
  assignment_.add_proxy(proxy, membership_.zone_of(zone), usual_requests_per_second, clock_.evidence_time());
  bind_unassigned_proxies();
  channel_.request_acknowledgement(now, actions_);
}

void Controller::ControlLoop::on_proxy_left(ProxyId proxy) {
  if (!assignment_.proxies().contains(proxy)) return;
  assignment_.remove_proxy(proxy);
  if (assignment_.proxies().empty()) channel_.on_all_proxies_left();
}

void Controller::ControlLoop::on_replica_load_report(Nanos now, const ReplicaLoadReport& report) {
  clock_.advance(now);
  clock_.add_report(report.attempts, report.span);
  const auto known = replicas().find(report.replica);
  if (known == replicas().end() || now < known->second.reports_accepted_from) return;
  auto& replica = known->second;
  auto& outcomes = replica.outcomes;
  const Nanos evidence_time = clock_.evidence_time();
  const double successes =
      static_cast<double>(report.attempts) - static_cast<double>(std::min(report.failed, report.attempts));
  outcomes.attempts.add(evidence_time, report.attempts);
  outcomes.failed.add(evidence_time, report.failed);
  outcomes.successes += successes;
  if (successes > 0 && report.mean_latency > Nanos{}) {
    outcomes.latency_seconds.add(evidence_time, successes * policy::to_seconds(report.mean_latency));
    outcomes.latency_weight.add(evidence_time, successes);
  }
  load_signal_.record(replica, report.load, clock_);
  if (!slow_start_.is_warming_up(replica, now)) warm_up_limiter_.record_outcomes(report, now);
}

void Controller::ControlLoop::on_demand_report(Nanos now, ProxyId proxy, const DemandReport& demand) {
  clock_.advance(now);
  const auto cls = static_cast<std::size_t>(demand.cls);
  if (!assignment_.proxies().contains(proxy) || cls >= classes_.count()) return;
  assignment_.add_demand(proxy, cls, demand.operations, clock_.evidence_time());
  classes_.add_demand(cls, demand.operations, clock_.evidence_time());
}

void Controller::ControlLoop::on_acknowledged(Nanos now, AckRequestId request) {
  clock_.advance(now);
  channel_.on_acknowledged(now, request);
}

/// Records the load that a health check reports. A missing answer is not evidence against the replica,
/// because the network path from this instance to the replica may be at fault.
void Controller::ControlLoop::on_health_check_result(Nanos now, const HealthCheckResult& result) {
  clock_.advance(now);
  const auto known = replicas().find(result.replica);
  if (known != replicas().end() && result.answered) load_signal_.record(known->second, result.load, clock_);
}

void Controller::ControlLoop::on_timer(Nanos now, TimerId timer) {
  clock_.advance(now);
  if (timer == kIterationTimer) run_iteration();
  if (timer == kWatchTimer) actions_.watch_endpoint_list(true);
}

}  // namespace ospreypost
