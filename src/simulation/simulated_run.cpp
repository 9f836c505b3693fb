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

constexpr int kRepeats = 2;         // of one client
constexpr Nanos kBackOff = 100ms;   // of a client, doubling
constexpr Nanos kAskAgain = 250ms;  // of a proxy that was told nothing
constexpr Nanos kProbeTime = 2ms;
constexpr Nanos kQuiet = 3s;  // a proxy that left and still reports after so long is served with proxies

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

template <typename Id>
std::size_t index(Id id) {
  return static_cast<std::size_t>(id);
}

// Who ever got a table in the record, and in which zone; the others are served by others.
std::map<ProxyId, ZoneId> zones_of_served(const History& history) {
  std::map<ProxyId, ZoneId> zones;
  for (const auto& of : history.memberships) {
    if (of.joined) zones.try_emplace(of.proxy, of.zone);
  }
  return zones;
}

std::vector<ReportedService> count(const std::vector<Report>& reports, Nanos length,
                                   const std::map<ProxyId, ZoneId>& served, const Settings& settings) {
  std::vector<ReportedService> counts(static_cast<std::size_t>(length / 1s) + 1);
  for (const auto& report : reports) {
    const auto second = static_cast<std::size_t>(std::max(report.to - 1ns, Nanos{}) / 1s);
    if (second >= counts.size() || !served.contains(report.proxy)) continue;
    for (const auto& of : report.demand_lines) {
      const double priority_weight = settings.classes[index(of.cls)].priority_weight;
      counts[second].worth += of.operations * priority_weight;
      counts[second].unanswered += of.unanswered * priority_weight;
    }
  }
  return counts;
}

// One governor, from a recorded start to its end.
class Governing : private ActionHandler {
 public:
  Governing(const Deployment& deployment, EventQueue& clock)
      : deployment_(deployment),
        clock_(clock),
        routing_state_(deployment.settings.classes.size()),
        pull_delivery_({deployment.settings.message_overhead_entries,
                        deployment.limits.max_messages_per_window, deployment.limits.message_window}),
        ttl_policy_(deployment.lifetimes) {
    for (std::size_t p = 0; p < deployment.proxies.size(); ++p)
      ttl_policy_.add_known(ProxyId{static_cast<std::uint16_t>(p)}, true);
    governor_.emplace(deployment.settings, deployment.seed, clock.now(), static_cast<ActionSink&>(*this));
    publish();
  }

  template <typename Call>
  void call(Call made) {
    made(*governor_, clock_.now());
    publish();
  }
  void joined(const Membership& of) {
    routing_state_.add_proxy(of.proxy);
    pull_delivery_.add_proxy(clock_.now(), of.proxy);
    call([&](Controller& governor, Nanos now) {
      governor.on_proxy_joined(now, of.proxy, of.zone, of.usual_rate, of.fresh);
    });
  }
  void left(ProxyId proxy) {
    governor_->on_proxy_left(clock_.now(), proxy);
    routing_state_.remove_proxy(proxy);
    pull_delivery_.remove_proxy(proxy);
    publish();
  }
  // What the proxy is told when it asks; null: nothing.
  std::shared_ptr<const routing_state::ProxySnapshot> asked(ProxyId proxy) {
    const auto now = clock_.now();
    auto proxy_snapshot = pull_delivery_.take_answer(now, proxy);
    for (const auto& mark : pull_delivery_.take_acknowledged(now, proxy)) {
      call([&](Controller& governor, Nanos at) {
        governor.on_acknowledged(at, mark.proxy, mark.request, mark.latency);
      });
    }
    return proxy_snapshot;
  }
  Nanos lifetime(ProxyId proxy, ClassId cls) { return ttl_policy_.on_query(clock_.now(), proxy, cls).ttl; }
  const routing_state::PullDelivery::Counts& counts() const { return pull_delivery_.counts(); }
  const routing_state::RoutingSnapshot* version() const { return version_.get(); }

  std::function<void(Withdrawal)> on_withdrawal;
  std::function<HealthCheckResult(ReplicaId)> on_probe;

 private:
  void publish() {
    const auto now = clock_.now();
    if (const auto published = routing_state_.publish(now)) {
      version_ = published->snapshot;
      for (const auto& pending : published->changes)
        pull_delivery_.on_published(now, pending.proxy, version_->snapshot_of(pending.proxy),
                                    pending.entries);
    }
    for (const auto& [mark, reach_all] : std::exchange(marks_, {}))
      pull_delivery_.request_acknowledgement(now, mark, version_->version,
                                             version_->acknowledgement_recipients(reach_all));
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
    if (on_withdrawal) on_withdrawal({clock_.now(), action.replica, action.ejected});
  }
  void handle(const SetAdmittedFraction& action) override {
    routing_state_.set_admitted_fraction(action.table, action.classes, action.fraction, action.retry);
  }
  void handle(const RequestAcknowledgement& action) override {
    marks_.emplace_back(action.request, action.reach_all);
  }
  void handle(const StartTimer& action) override {
    clock_.at(clock_.now() + action.delay, [this, timer = action.timer, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) call([&](Controller& governor, Nanos now) { governor.on_timer(now, timer); });
    });
  }
  void handle(const RequestHealthCheck& action) override {
    clock_.at(clock_.now() + kProbeTime, [this, replica = action.replica,
                                          alive = std::weak_ptr<int>(alive_)] {
      if (alive.expired() || !on_probe) return;
      call([&](Controller& governor, Nanos now) { governor.on_health_check_result(now, on_probe(replica)); });
    });
  }

  const Deployment& deployment_;
  EventQueue& clock_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  routing_state::RoutingState routing_state_;
  routing_state::PullDelivery pull_delivery_;
  dns::ClientTtlPolicy ttl_policy_;
  std::vector<std::pair<AckRequestId, bool>> marks_;
  std::shared_ptr<const routing_state::RoutingSnapshot> version_ =
      std::make_shared<routing_state::RoutingSnapshot>();
  std::optional<Controller> governor_;
};

struct ModelledProxy {
  // What it goes by, for each class.
  std::vector<std::shared_ptr<const routing_state::RoutingTable>> tables;
  struct Met {
    std::uint32_t attempts = 0, failed = 0;
    double handled_seconds = 0;
    std::vector<float> load;
  };
  std::map<ReplicaId, Met> met;
  std::vector<DemandLine> asked;
  bool joined = false, forwards = false;
  std::uint64_t asking = 0;  // counts its series of questions
};

class Day {
 public:
  Day(const History& history, const Deployment& deployment, const Fleet& fleet, std::uint32_t seed)
      : history_(history),
        deployment_(deployment),
        fleet_(fleet),
        chance_(seed),
        proxies_(deployment.proxies.size()),
        served_(zones_of_served(history)) {
    check_history(history, deployment);
    for (const auto& model : fleet.replicas) replicas_.emplace_back(model, fleet, clock_, chance_);
    listed_.resize(replicas_.size(), EndpointPhase::gone);
    for (auto& proxy : proxies_) {
      proxy.tables.resize(deployment.classes.size());
      for (std::size_t k = 0; k < deployment.classes.size(); ++k)
        proxy.asked.push_back({ClassId{static_cast<std::uint16_t>(k)}, 0, 0});
    }
  }

  SimulatedRun play() {
    plan_lives();
    plan_lists();
    plan_memberships();
    plan_reports();
    plan_arrivals();
    for (Nanos at{}; at < history_.length; at += 1s) clock_.at(at, [this] { sample(); });
    // What is under way at the end is answered or given up on.
    Nanos longest{};
    for (const auto& cls : deployment_.settings.classes) longest = std::max(longest, cls.request_deadline);
    clock_.run_until(history_.length + longest);
    finish();
    return std::move(played_);
  }

 private:
  // --- What the record gives

  void plan_lives() {
    for (std::size_t n = 0; n < history_.lives.size(); ++n) {
      const auto& life = history_.lives[n];
      clock_.at(life.from, [this] { raise(); });
      if (n + 1 < history_.lives.size()) clock_.at(life.to + 1ns, [this] { fall(); });
    }
    clock_.at(history_.length, [this] { trace_.add(checker::Governing{clock_.now(), false}); });
  }

  void raise() {
    governing_.emplace(deployment_, clock_);
    governing_->on_withdrawal = [this](const Withdrawal& withdrawal) {
      played_.withdrawals.push_back(withdrawal);
    };
    governing_->on_probe = [this](ReplicaId replica) { return probed(replica); };
    trace_.add(checker::Governing{clock_.now(), true});
  }
  void fall() {
    note_counts();
    governing_.reset();
    for (auto& proxy : proxies_) proxy.joined = false, ++proxy.asking;
    trace_.add(checker::Governing{clock_.now(), false});
  }
  void note_counts() {
    if (!governing_) return;
    played_.messages += governing_->counts().messages;
    played_.worst_waiting = std::max(played_.worst_waiting, governing_->counts().max_queued_entries);
  }

  void plan_lists() {
    for (const auto& news : history_.lists) clock_.at(news.at, [this, &news] { list(news); });
  }

  void list(const ListEvent& news) {
    if (news.failed) {
      if (governing_)
        governing_->call([](Controller& governor, Nanos now) { governor.on_endpoint_list_failed(now); });
      return;
    }
    if (news.kind != EndpointListKind::changes) {
      // Whom a whole list does not name is gone; a fresh governor is not told of those.
      std::set<ReplicaId> named;
      for (const auto& entry : news.entries) named.insert(entry.replica);
      for (std::size_t n = 0; n < listed_.size(); ++n) {
        const ReplicaId id{static_cast<std::uint32_t>(n)};
        if (listed_[n] != EndpointPhase::gone && !named.contains(id)) set_phase(id, EndpointPhase::gone, {});
      }
    }
    for (const auto& entry : news.entries) set_phase(entry.replica, entry.phase, entry.started);
    if (governing_) {
      governing_->call(
          [&](Controller& governor, Nanos now) { governor.on_endpoint_list(now, news.kind, news.entries); });
    }
  }

  // The list tells what became of processes: gone is dead, a later start is another process.
  void set_phase(ReplicaId id, EndpointPhase phase, std::optional<Nanos> started) {
    const auto n = index(id);
    auto& replica = replicas_[n];
    const auto now = clock_.now();
    if (phase == EndpointPhase::gone) {
      replica.die();
    } else if (!replica.alive() || (started && *started > replica.begun() + 1ms)) {
      const bool cold = started && *started + fleet_.warm_up_duration > now;
      const Nanos begun = cold ? std::max(*started, Nanos{}) : now;
      replica.start(begun, cold);
      const auto& model = fleet_.replicas[n];
      trace_.add(checker::Started{begun, name(id), model.cores / model.slowness,
                                  cold ? fleet_.initial_warm_up_capacity : 1, fleet_.warm_up_duration});
    }
    listed_[n] = phase;
    trace_.add(checker::Listed{now, name(id),
                               phase == EndpointPhase::ready      ? checker::EndpointPhase::ready
                               : phase == EndpointPhase::draining ? checker::EndpointPhase::draining
                                                                  : checker::EndpointPhase::gone});
  }

  void plan_memberships() {
    for (const auto& of : history_.memberships) clock_.at(of.at, [this, &of] { member(of); });
  }

  void member(const Membership& of) {
    auto& proxy = proxies_[index(of.proxy)];
    if (!governing_ || proxy.joined == of.joined) return;
    proxy.joined = of.joined;
    ++proxy.asking;
    if (of.joined) {
      proxy.forwards = false;
      if (away_.erase(of.proxy) > 0) trace_.add(checker::Cut{clock_.now(), proxy_name(of.proxy), false});
      governing_->joined(of);
      for (std::size_t k = 0; k < proxy.tables.size(); ++k)
        ask(of.proxy, ClassId{static_cast<std::uint16_t>(k)}, proxy.asking);
      return;
    }
    governing_->left(of.proxy);
    away_.insert(of.proxy);
    trace_.add(checker::Cut{clock_.now(), proxy_name(of.proxy), true});
    // One that goes on reporting can be reached and was refused: others take its operations, who count them.
    const Nanos now = clock_.now();
    proxy.forwards = std::any_of(history_.reports.begin(), history_.reports.end(), [&](const Report& report) {
      return report.proxy == of.proxy && report.arrived > now + kQuiet && report.arrived < now + 2 * kQuiet;
    });
  }

  // A proxy asks for one class, and again when its answer's lifetime is over.
  void ask(ProxyId id, ClassId cls, std::uint64_t asking) {
    auto& proxy = proxies_[index(id)];
    if (!governing_ || proxy.asking != asking || clock_.now() >= history_.length) return;
    const auto proxy_snapshot = governing_->asked(id);
    const bool pushed = deployment_.pushed[index(id)];
    Nanos again = pushed ? fleet_.push_time : kAskAgain;
    if (proxy_snapshot) {
      put(id, cls, *proxy_snapshot);
      if (!pushed) again = governing_->lifetime(id, cls);
    }
    clock_.at(clock_.now() + again, [this, id, cls, asking] { ask(id, cls, asking); });
  }

  void put(ProxyId id, ClassId cls, const routing_state::ProxySnapshot& proxy_snapshot) {
    auto& table = proxies_[index(id)].tables[index(cls)];
    const auto& view = proxy_snapshot.routing_tables[index(cls)];
    checker::Answered answered{clock_.now(),
                               proxy_name(id),
                               deployment_.classes[index(cls)],
                               static_cast<std::uint64_t>(proxy_snapshot.changed_in),
                               {},
                               true};
    if (view) {
      for (const auto& line : view->entries) answered.names.push_back(name(line.replica));
    }
    table = view;
    trace_.add(std::move(answered));
  }

  // --- Operations

  // As many as were reported, less those that clients repeated, at any moment of the report's span.
  void plan_arrivals() {
    boost::random::uniform_real_distribution<double> moment(0, 1);
    for (const auto& report : history_.reports) {
      for (const auto& of : report.demand_lines) {
        const double fresh = of.operations - fleet_.repeats[index(of.cls)] * of.unanswered;
        const double whole = std::floor(std::max(0.0, fresh));
        const auto count = static_cast<std::uint32_t>(whole) + (moment(chance_) < fresh - whole ? 1 : 0);
        for (std::uint32_t n = 0; n < count; ++n) {
          const Nanos at =
              report.from + Nanos(std::llround(seconds(report.to - report.from) * moment(chance_) * 1e9));
          clock_.at(at, [this, proxy = report.proxy, cls = of.cls] { arrive(proxy, cls); });
        }
      }
    }
  }

  struct Running {
    std::uint64_t id = 0;
    ProxyId proxy{};
    ClassId cls{};
    Nanos asked{}, until{};
    double work = 0;
    int repeats = 0;
    std::vector<ReplicaId> tried;
  };
  using RunningPtr = std::shared_ptr<Running>;

  void arrive(ProxyId proxy, ClassId cls) {
    if (proxies_[index(proxy)].forwards || !served_.contains(proxy)) {
      ++played_.left_out;
      return;
    }
    const auto now = clock_.now();
    auto running = std::make_shared<Running>();
    *running = {++last_, proxy, cls, now, now + terms(cls).request_deadline, fleet_.work[index(cls)], 0, {}};
    perform(running);
  }

  const ClassSettings& terms(ClassId cls) const { return deployment_.settings.classes[index(cls)]; }

  void perform(const RunningPtr& running) {
    auto& proxy = proxies_[index(running->proxy)];
    ++proxy.asked[index(running->cls)].operations;
    const auto& table = proxy.tables[index(running->cls)];
    const double level = table ? table->traffic_policies[index(running->cls)].admitted_fraction : 1;
    boost::random::uniform_real_distribution<double> share(0, 1);
    running->tried.clear();
    if (share(chance_) >= level) return unserved(running, Outcome::refused, false);
    try_one(running, Outcome::refused);
  }

  void try_one(const RunningPtr& running, Outcome before) {
    // By the table of its own moment.
    const auto table = proxies_[index(running->proxy)].tables[index(running->cls)];
    const auto retry = table ? table->traffic_policies[index(running->cls)].retry : RetryMode::none;
    const std::size_t most = retry == RetryMode::twice ? 3 : retry == RetryMode::none ? 1 : 2;
    const auto target = table && running->tried.size() < most && clock_.now() < running->until
                            ? pick(*table, running->tried)
                            : std::nullopt;
    if (!target) return unserved(running, before, true);
    running->tried.push_back(*target);
    const auto begun = clock_.now();
    const Nanos patience = std::min(running->until, begun + terms(running->cls).latency_objective);
    const auto& who = name(*target);
    trace_.add(checker::Sent{begun, proxy_name(running->proxy), who, running->id});
    auto& replica = replicas_[index(*target)];
    if (replica.alive()) trace_.add(checker::Arrived{begun, who, running->id, running->work});
    replica.take(
        running->work, patience,
        [this, &who, id = running->id] {
          trace_.add(checker::Effect{clock_.now(), who, id});
        },
        [this, running, target = *target, begun, retry](Outcome outcome) {
          tried(running, target, begun, retry, outcome);
        });
  }

  void tried(const RunningPtr& running, ReplicaId target, Nanos begun, RetryMode retry, Outcome outcome) {
    auto& met = proxies_[index(running->proxy)].met[target];
    ++met.attempts;
    if (outcome == Outcome::done) {
      met.handled_seconds += seconds(clock_.now() - begun);
      met.load = load_of(target, clock_.now() - begun);
      return served(running);
    }
    ++met.failed;
    const bool any_failure = retry == RetryMode::once || retry == RetryMode::twice;
    const bool may = outcome == Outcome::refused || any_failure;
    may ? try_one(running, outcome) : unserved(running, outcome, true);
  }

  std::optional<ReplicaId> pick(const routing_state::RoutingTable& view,
                                const std::vector<ReplicaId>& tried) {
    double sum = 0;
    const auto may = [&](const routing_state::TableEntry& line) {
      return std::find(tried.begin(), tried.end(), line.replica) == tried.end();
    };
    for (const auto& line : view.entries) sum += may(line) ? line.weight : 0;
    if (sum <= 0) return std::nullopt;
    double at = boost::random::uniform_real_distribution<double>(0, sum)(chance_);
    std::optional<ReplicaId> last;
    for (const auto& line : view.entries) {
      if (!may(line)) continue;
      last = line.replica;
      at -= line.weight;
      if (at < 0) break;
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
          load.push_back(static_cast<float>(replica.in_hand()));
          break;
        case LoadMetric::queue:
          load.push_back(static_cast<float>(replica.queued()));
          break;
        case LoadMetric::latency:
          load.push_back(static_cast<float>(seconds(took) * 1e3));
          break;
        default:
          return {};  // nothing here tells it
      }
    }
    return load;
  }

  HealthCheckResult probed(ReplicaId id) const {
    const auto& replica = replicas_[index(id)];
    HealthCheckResult answer{id, replica.alive(), !replica.alive(), kProbeTime, {}};
    if (replica.alive()) answer.load = load_of(id, kProbeTime);
    return answer;
  }

  void served(const RunningPtr& running) {
    trace_.add(checker::Operation{running->asked, running->id, deployment_.classes[index(running->cls)],
                                  clock_.now()});
  }

  void unserved(const RunningPtr& running, Outcome outcome, bool let_in) {
    if (let_in) ++proxies_[index(running->proxy)].asked[index(running->cls)].unanswered;
    const bool safe = outcome == Outcome::refused || terms(running->cls).effect == Idempotency::idempotent;
    const Nanos again = clock_.now() + kBackOff * (1 << running->repeats);
    boost::random::uniform_real_distribution<double> share(0, 1);
    const bool comes = safe && running->repeats < kRepeats && again < running->until &&
                       share(chance_) < fleet_.repeats[index(running->cls)];
    if (!comes) {
      trace_.add(checker::Operation{running->asked, running->id, deployment_.classes[index(running->cls)],
                                    std::nullopt});
      return;
    }
    ++running->repeats;
    clock_.at(again, [this, running] { perform(running); });
  }

  // --- Reports, which come when they came

  void plan_reports() {
    const Nanos every = deployment_.settings.report_interval;
    std::map<ProxyId, std::vector<const Report*>> by_proxy;
    std::vector<double> spans;
    for (const auto& report : history_.reports) {
      by_proxy[report.proxy].push_back(&report);
      spans.push_back(report.seconds());
    }
    if (spans.empty()) return;
    std::nth_element(spans.begin(), spans.begin() + static_cast<std::ptrdiff_t>(spans.size() / 2),
                     spans.end());
    const double recorded = spans[spans.size() / 2];
    const bool as_recorded = std::abs(seconds(every) - recorded) < 0.2 * recorded;
    for (auto& [proxy, reports] : by_proxy) {
      std::sort(reports.begin(), reports.end(), [](auto* a, auto* b) { return a->from < b->from; });
      // Another interval: the spans that were reported are dealt anew, each as late as the one it ends in.
      Nanos begun = reports.front()->from, end = begun;
      for (const auto* report : reports) {
        const bool gap = report->from > end + (report->to - report->from) / 10;
        if (gap || report == reports.front()) {
          begun = report->from;
          // What came before is in no report.
          clock_.at(begun, [this, id = proxy] { clear(id); });
        }
        end = report->to;
        const Nanos way = report->arrived - report->to;
        const Nanos step = as_recorded ? end - begun : every;
        for (; step > Nanos{} && end - begun >= step; begun += step)
          plan_report(proxy, begun, begun + step, begun + step + way);
      }
    }
  }

  void plan_report(ProxyId id, Nanos from, Nanos to, Nanos arrives) {
    clock_.at(to, [this, id, span = to - from, arrives] {
      auto& proxy = proxies_[index(id)];
      auto met = std::move(proxy.met);
      auto asked = proxy.asked;
      clear(id);
      clock_.at(std::max(arrives, clock_.now()),
                [this, id, span, to = clock_.now(), met, asked] { deliver(id, span, to, met, asked); });
    });
  }
  // What came between two reports is in none.
  void clear(ProxyId id) {
    proxies_[index(id)].met.clear();
    for (auto& asked : proxies_[index(id)].asked) asked.operations = asked.unanswered = 0;
  }

  void deliver(ProxyId id, Nanos span, Nanos to, const std::map<ReplicaId, ModelledProxy::Met>& met,
               const std::vector<DemandLine>& asked) {
    Report report{id, to - span, to, clock_.now(), {}, asked};
    for (const auto& [replica, of] : met) {
      const auto handled = of.attempts - of.failed;
      report.replica_lines.push_back({replica, of.attempts, of.failed, {}, of.load});
      if (handled > 0)
        report.replica_lines.back().mean_latency = Nanos(std::llround(of.handled_seconds / handled * 1e9));
    }
    played_.reports.push_back(report);
    if (!governing_) return;
    const auto known = served_.find(id);
    const auto zone = known == served_.end() ? ZoneId{} : known->second;
    for (const auto& of : report.replica_lines) {
      const ReplicaLoadReport sum{zone, of.replica, of.attempts, of.failed, of.mean_latency, span, of.load};
      governing_->call([&](Controller& governor, Nanos now) { governor.on_replica_load_report(now, sum); });
    }
    for (const auto& of : asked) {
      governing_->call([&](Controller& governor, Nanos now) {
        governor.on_demand_report(now, id, {of.cls, of.operations, of.unanswered, span});
      });
    }
  }

  // --- What is looked at

  void sample() {
    if (!governing_ || !governing_->version()) return;
    TableShares shares{clock_.now(), std::vector<double>(replicas_.size())};
    double all = 0;
    for (const auto& [proxy, proxy_snapshot] : governing_->version()->proxy_snapshots) {
      for (const auto& view : proxy_snapshot->routing_tables) {
        if (!view) continue;
        double sum = 0;
        for (const auto& line : view->entries) sum += line.weight;
        for (const auto& line : view->entries) shares.by_replica[index(line.replica)] += line.weight / sum;
        all += view->entries.empty() ? 0 : 1;
      }
    }
    for (auto& share : shares.by_replica) share = all > 0 ? share / all : 0;
    played_.shares.push_back(std::move(shares));
  }

  void finish() {
    note_counts();
    played_.reported = count(played_.reports, history_.length, served_, deployment_.settings);
    played_.verdict = checker::judge(trace_, deployment_.limits, history_.length, played_.worst_waiting);
    played_.service = checker::service_by_second(trace_, deployment_.limits, Nanos{}, history_.length);
  }

  const std::string& name(ReplicaId id) const { return history_.replicas[index(id)]; }
  const std::string& proxy_name(ProxyId id) const { return deployment_.proxies[index(id)]; }

  const History& history_;
  const Deployment& deployment_;
  const Fleet& fleet_;
  std::mt19937 chance_;
  EventQueue clock_;
  std::deque<ModelledReplica> replicas_;
  std::vector<EndpointPhase> listed_;
  std::vector<ModelledProxy> proxies_;
  const std::map<ProxyId, ZoneId> served_;
  std::set<ProxyId> away_;
  std::optional<Governing> governing_;
  checker::Trace trace_;
  std::uint64_t last_ = 0;
  SimulatedRun played_;
};

}  // namespace

SimulatedRun simulate(const History& history, const Deployment& deployment, const Fleet& fleet,
                      std::uint32_t seed) {
  return Day(history, deployment, fleet, seed).play();
}

std::vector<ReportedService> reported_service(const History& history, const Deployment& deployment) {
  return count(history.reports, history.length, zones_of_served(history), deployment.settings);
}

}  // namespace ospreypost::simulation
