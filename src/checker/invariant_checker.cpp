#include "checker/invariant_checker.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <set>

namespace ospreypost::checker {
namespace {

// Length of the windows of which the worst one counts in the service score.
constexpr Time kWindow = std::chrono::seconds(10);
constexpr Time kNever = Time::max();

double seconds(Time time) { return std::chrono::duration<double>(time).count(); }

std::string text(const char* format, double a, double b) {
  char buffer[160];
  std::snprintf(buffer, sizeof(buffer), format, a, b);
  return buffer;
}

template <typename Record>
std::vector<Record> in_order(std::vector<Record> records) {
  std::stable_sort(records.begin(), records.end(),
                   [](const Record& a, const Record& b) { return a.at < b.at; });
  return records;
}

struct Interval {
  Time from{}, to = kNever;
};

// Returns the spans in which `predicate` held: each begins at a record for which it is true and ends at the
// next record for which `predicate` is false. The records are in order of time.
template <typename Record, typename Predicate>
std::vector<Interval> intervals(const std::vector<Record>& records, Predicate predicate) {
  std::vector<Interval> found;
  bool holds = false;
  for (const auto& record : records) {
    if (predicate(record) == holds) continue;
    holds = !holds;
    holds ? void(found.push_back({record.at, kNever})) : void(found.back().to = record.at);
  }
  return found;
}

// Data that several rules need, from the trace in order of time.
struct Facts {
  explicit Facts(const Trace& trace) {
    governed = intervals(in_order(trace.governor_status), [](const GovernorStatus& g) { return g.up; });
    for (auto& listed : in_order(trace.listed)) lists[listed.replica].push_back(listed);
    for (auto& started : in_order(trace.started)) starts[started.replica].push_back(started);
    std::map<std::string, std::vector<Cut>> cuts;
    for (auto& cut : in_order(trace.cuts)) cuts[cut.proxy].push_back(cut);
    for (const auto& [proxy, changes] : cuts)
      cut_off[proxy] = intervals(changes, [](const Cut& c) { return c.cut; });
    answers = in_order(trace.answered);
  }
  // Returns when the control plane that runs at `at` started; empty if none runs. A control plane reads the
  // endpoint list from its start on.
  std::optional<Time> governed_since(Time at) const {
    for (const auto& up : governed) {
      if (up.from <= at && at < up.to) return up.from;
    }
    return std::nullopt;
  }
  bool is_cut(const std::string& proxy, Time from, Time to) const {
    const auto cuts = cut_off.find(proxy);
    if (cuts == cut_off.end()) return false;
    return std::any_of(cuts->second.begin(), cuts->second.end(),
                       [&](const Interval& cut) { return cut.from < to && from < cut.to; });
  }

  // Returns for how much of the span the proxy was connected to the control plane.
  Time reachable(const std::string& proxy, Time from, Time to) const {
    Time span = to - from;
    const auto cuts = cut_off.find(proxy);
    if (cuts == cut_off.end()) return span;
    for (const auto& cut : cuts->second)
      span -= std::max<Time>(Time{}, std::min(cut.to, to) - std::max(cut.from, from));
    return span;
  }

  std::vector<Interval> governed;
  std::map<std::string, std::vector<Listed>> lists;
  std::map<std::string, std::vector<Started>> starts;
  std::map<std::string, std::vector<Interval>> cut_off;
  std::vector<Answered> answers;
};

// Rule 1: no proxy stays without endpoints for longer than the limit. Time counts from the table without
// endpoints on, while some replica is listed as ready and is warm, a control plane runs and the proxy is
// connected to it.
Rule no_proxy_without_endpoints(const Facts& facts, const Limits& limits, Time end) {
  // Spans in which some replica was ready and warm; they may overlap.
  std::vector<Interval> available_pieces;
  for (const auto& [replica, listed] : facts.lists) {
    for (auto& ready : intervals(listed, [](const Listed& l) { return l.phase == EndpointPhase::ready; })) {
      const auto starts = facts.starts.find(replica);
      if (starts == facts.starts.end()) continue;
      Time warm = kNever;
      for (const auto& start : starts->second) {
        if (start.at < ready.to) warm = start.at + start.warm_up_duration;
      }
      const Interval piece{std::max(ready.from, warm), ready.to};
      if (piece.from < piece.to) available_pieces.push_back(piece);
    }
  }
  std::sort(available_pieces.begin(), available_pieces.end(),
            [](auto& a, auto& b) { return a.from < b.from; });
  std::vector<Interval> available_spans;
  for (const auto& piece : available_pieces) {
    if (!available_spans.empty() && piece.from <= available_spans.back().to) {
      available_spans.back().to = std::max(available_spans.back().to, piece.to);
    } else {
      available_spans.push_back(piece);
    }
  }

  Time worst{};
  std::string worst_proxy;
  const auto count = [&](const std::string& proxy, Interval gap) {
    for (const auto& available : available_spans) {
      for (const auto& up : facts.governed) {
        const Time from = std::max({gap.from, available.from, up.from});
        const Time to = std::min({gap.to, available.to, up.to, end});
        if (to - from > worst && !facts.is_cut(proxy, from, to)) worst = to - from, worst_proxy = proxy;
      }
    }
  };
  std::map<std::pair<std::string, std::string>, Time> empty_since;
  for (const auto& answer : facts.answers) {
    const std::pair key{answer.proxy, answer.cls};
    const auto gap = empty_since.find(key);
    const bool vouched =
        std::find(limits.vouched.begin(), limits.vouched.end(), answer.proxy) != limits.vouched.end();
    if (answer.names.empty() && gap == empty_since.end() && vouched) empty_since[key] = answer.at;
    if (!answer.names.empty() && gap != empty_since.end()) {
      count(answer.proxy, {gap->second, answer.at});
      empty_since.erase(gap);
    }
  }
  for (const auto& [key, since] : empty_since) count(key.first, {since, end});
  return {
      "no proxy bare", worst <= limits.max_time_without_endpoints,
      text("longest %.2f s of %.2f s allowed", seconds(worst), seconds(limits.max_time_without_endpoints)) +
          (worst_proxy.empty() ? "" : ", " + worst_proxy)};
}

// Rule 2: no at-most-once operation takes effect more than once.
Rule no_effect_twice(const Trace& trace, const Limits& limits) {
  std::set<std::uint64_t> once_only;
  for (const auto& operation : trace.operations) {
    const auto cls = limits.classes.find(operation.cls);
    if (cls != limits.classes.end() && cls->second.at_most_once) once_only.insert(operation.id);
  }
  std::map<std::uint64_t, int> effects;
  std::size_t twice = 0;
  for (const auto& effect : trace.effects) {
    if (once_only.contains(effect.operation)) twice += ++effects[effect.operation] == 2;
  }
  return {"no effect twice", twice == 0,
          std::to_string(twice) + " of " + std::to_string(effects.size()) + " ran more than once"};
}

// Rule 3: proxies stop sending to a replica that is draining or gone. The last attempt must start within the
// grace period after the control plane read that phase; after the replica is listed as ready again, it may be
// used. Time in which the proxy is cut off from the control plane doesn't count.
Rule drains_kept(const Trace& trace, const Facts& facts, const Limits& limits) {
  Time worst{};
  std::string worst_attempt;
  std::map<std::string, std::vector<Interval>> closed;
  for (const auto& [replica, listed] : facts.lists) {
    closed[replica] = intervals(listed, [&](const Listed& l) {
      return l.phase == EndpointPhase::draining ||
             (l.phase == EndpointPhase::gone && !limits.only_draining_is_binding);
    });
  }
  std::map<std::string, Time> first_answer;
  for (const auto& answer : facts.answers) first_answer.try_emplace(answer.proxy, answer.at);
  for (const auto& sent : trace.sent) {
    for (const auto& drain : closed[sent.replica]) {
      if (sent.at < drain.from || sent.at >= drain.to) continue;
      // The grace period starts when the list changes, the control plane starts or the proxy receives its
      // first table, whichever is last.
      const auto joined = first_answer.find(sent.proxy);
      const auto governed = facts.governed_since(sent.at);
      if (joined == first_answer.end() || !governed) continue;
      const Time from = std::max({drain.from, *governed, joined->second});
      if (facts.is_cut(sent.proxy, sent.at, sent.at + Time{1})) continue;
      const Time late = facts.reachable(sent.proxy, from, sent.at);
      if (late > worst) worst = late, worst_attempt = sent.proxy + " to " + sent.replica;
    }
  }
  return {"drains kept", worst <= limits.drain_grace,
          text("last operation after %.2f s of %.2f s allowed", seconds(worst), seconds(limits.drain_grace)) +
              (worst_attempt.empty() ? "" : ", " + worst_attempt)};
}

// Returns the work, in seconds, that a replica can do in a span after `start`. Its capacity rises linearly in
// warm-up.
double achievable_work(const Started& start, Time from, Time to) {
  double done = 0;
  constexpr int steps = 20;
  const Time step = (to - from) / steps;
  for (int n = 0; n < steps; ++n) {
    const Time middle = from + n * step + step / 2;
    const double progress =
        start.warm_up_duration > Time{} ? seconds(middle - start.at) / seconds(start.warm_up_duration) : 1;
    done += seconds(step) * start.capacity *
            (start.initial_warm_up_capacity +
             (1 - start.initial_warm_up_capacity) * std::clamp(progress, 0.0, 1.0));
  }
  return done;
}

// Last attempt of each operation at each replica: several proxies may try an operation one after the other.
using Senders = std::map<std::pair<std::string, std::uint64_t>, Sent>;

// Decides whether a proxy knew of a replica's start when it sent an operation there: it had received a table
// after the list named the started replica, or the grace period for receiving one had passed.
class InformedAttempts {
 public:
  InformedAttempts(const Trace& trace, const Facts& facts, const Limits& limits)
      : facts_(facts), limits_(limits) {
    for (const auto& sent : in_order(trace.sent)) senders_[{sent.replica, sent.operation}] = sent;
    for (const auto& answer : facts.answers) answers_[answer.proxy].push_back(answer.at);
  }
  bool operator()(const Started& start, const Arrived& arrived) const {
    const auto sender = senders_.find({arrived.replica, arrived.operation});
    const auto listed = facts_.lists.find(arrived.replica);
    if (sender == senders_.end() || listed == facts_.lists.end()) return false;
    for (const auto& listing : listed->second) {
      if (listing.at < start.at || listing.phase != EndpointPhase::ready) continue;
      const Time sent = sender->second.at;
      if (sent >= listing.at + limits_.drain_grace) return true;
      const auto received = answers_.find(sender->second.proxy);
      if (received == answers_.end()) return false;
      const auto next = std::upper_bound(received->second.begin(), received->second.end(), listing.at);
      return next != received->second.end() && *next <= sent;
    }
    return false;
  }

 private:
  const Facts& facts_;
  const Limits& limits_;
  Senders senders_;
  std::map<std::string, std::vector<Time>> answers_;
};

// Returns the largest ratio of the work that a replica received within `overload_duration` to the work that
// it could do, while it warmed up after `start`. Only windows in which at least two thirds of the work came
// from informed attempts count.
double worst_multiple(const Started& start, const std::vector<Arrived>& arrivals,
                      const InformedAttempts& is_informed, const Limits& limits) {
  double worst = 0, work = 0, informed_work = 0;
  std::deque<std::pair<Arrived, bool>> window;
  for (const auto& arrived : arrivals) {
    if (arrived.at < start.at || arrived.at >= start.at + start.warm_up_duration) continue;
    window.emplace_back(arrived, is_informed(start, arrived));
    work += arrived.work_seconds;
    informed_work += window.back().second ? arrived.work_seconds : 0;
    while (window.front().first.at < arrived.at - limits.overload_duration) {
      work -= window.front().first.work_seconds;
      informed_work -= window.front().second ? window.front().first.work_seconds : 0;
      window.pop_front();
    }
    if (informed_work < work * 2 / 3) continue;
    // Two operations of slack: arrivals are random, and an operation or two above the budget are no overload.
    const double slack = 2 * arrived.work_seconds;
    const Time from = std::max(start.at, arrived.at - limits.overload_duration);
    worst = std::max(
        worst, std::max(0.0, work - slack) / achievable_work(start, from, from + limits.overload_duration));
  }
  return worst;
}

// Rule 4: no replica that is warming up receives more work within `overload_duration` than the allowed
// multiple of what it can do. The work from all proxies is added up.
Rule no_cold_replica_overloaded(const Trace& trace, const Facts& facts, const Limits& limits) {
  std::map<std::string, std::vector<Arrived>> arrivals;
  for (auto& arrived : in_order(trace.arrived)) arrivals[arrived.replica].push_back(arrived);
  const InformedAttempts is_informed(trace, facts, limits);
  double worst = 0;
  std::string worst_replica;
  for (const auto& [replica, starts] : facts.starts) {
    for (const auto& start : starts) {
      if (start.initial_warm_up_capacity >= 1) continue;
      const double multiple = worst_multiple(start, arrivals[replica], is_informed, limits);
      if (multiple > worst) worst = multiple, worst_replica = replica;
    }
  }
  return {"no cold replica pushed over", worst <= limits.overload_multiple,
          text("at most %.2f times what it could do, of %.2f allowed", worst, limits.overload_multiple) +
              (worst_replica.empty() ? "" : ", " + worst_replica)};
}

// Rule 5: the queue of table entries and the messages to each proxy stay within their limits. The first table
// that gives a proxy a new version counts as a message.
Rule queue_within_limits(const Facts& facts, const Limits& limits, double max_queued_entries) {
  std::map<std::string, std::uint64_t> last_versions;
  std::map<std::string, std::deque<Time>> messages;
  std::size_t max_messages = 0;
  for (const auto& answer : facts.answers) {
    if (answer.version == 0) continue;
    auto& last = last_versions[answer.proxy];
    if (last == answer.version) continue;
    last = answer.version;
    auto& window = messages[answer.proxy];
    window.push_back(answer.at);
    while (window.front() <= answer.at - limits.message_window) window.pop_front();
    max_messages = std::max(max_messages, window.size());
  }
  const bool few_messages =
      limits.max_messages_per_window == 0 || max_messages <= limits.max_messages_per_window;
  return {
      "the queue short", few_messages && max_queued_entries <= limits.max_queued_entries,
      text("%.0f lines waiting at most, of %.0f allowed; ", max_queued_entries, limits.max_queued_entries) +
          std::to_string(max_messages) + " messages to one proxy in a window, of " +
          std::to_string(limits.max_messages_per_window) + " allowed"};
}

Service service_of(const Trace& trace, const Limits& limits, Time end) {
  struct Sum {
    double requested = 0, earned = 0;
    double share() const { return requested > 0 ? earned / requested : 1; }
  };
  Sum whole;
  std::map<std::string, Sum> by_class;
  std::map<Time, Sum> by_second;
  Time begin = end;
  for (const auto& operation : trace.operations) {
    const auto terms = limits.classes.find(operation.cls);
    if (terms == limits.classes.end()) continue;
    const auto& cls = terms->second;
    double earned = 0;
    if (operation.answered_at) {
      const Time took = *operation.answered_at - operation.requested_at;
      if (took <= cls.request_deadline) earned = cls.late_priority_weight * cls.priority_weight;
      if (took <= cls.latency_objective) earned = cls.priority_weight;
    }
    begin = std::min(begin, operation.requested_at);
    for (auto* sum : {&whole, &by_class[operation.cls],
                      &by_second[std::chrono::floor<std::chrono::seconds>(operation.requested_at)]}) {
      sum->requested += cls.priority_weight;
      sum->earned += earned;
    }
  }
  Service service{whole.share(), whole.share(), whole.share()};
  for (const auto& [cls, sum] : by_class) service.worst_class = std::min(service.worst_class, sum.share());
  for (const auto& [from, unused] : by_second) {
    if (from < begin || from + kWindow > end) continue;
    Sum window;
    for (auto at = by_second.lower_bound(from); at != by_second.end() && at->first < from + kWindow; ++at)
      window.requested += at->second.requested, window.earned += at->second.earned;
    service.worst_window = std::min(service.worst_window, window.share());
  }
  return service;
}

}  // namespace

bool CheckResult::kept() const {
  return std::all_of(rules.begin(), rules.end(), [](const Rule& rule) { return rule.kept; });
}

CheckResult check_invariants(const Trace& trace, const Limits& limits, Time end, double max_queued_entries) {
  const Facts facts(trace);
  CheckResult result;
  result.rules = {no_proxy_without_endpoints(facts, limits, end), no_effect_twice(trace, limits),
                  drains_kept(trace, facts, limits), no_cold_replica_overloaded(trace, facts, limits),
                  queue_within_limits(facts, limits, max_queued_entries)};
  result.service = service_of(trace, limits, end);
  result.operations = trace.operations.size();
  result.answered =
      static_cast<std::size_t>(std::count_if(trace.operations.begin(), trace.operations.end(),
                                             [](const Operation& o) { return o.answered_at.has_value(); }));
  return result;
}

std::vector<double> service_by_second(const Trace& trace, const Limits& limits, Time begin, Time end) {
  constexpr Time second = std::chrono::seconds(1);
  std::vector<double> requested(static_cast<std::size_t>((end - begin) / second)), earned(requested.size());
  for (const auto& operation : trace.operations) {
    const auto terms = limits.classes.find(operation.cls);
    const auto at = static_cast<std::size_t>(std::max(operation.requested_at - begin, Time{}) / second);
    if (at >= requested.size() || terms == limits.classes.end()) continue;
    requested[at] += terms->second.priority_weight;
    const bool in_time = operation.answered_at &&
                         *operation.answered_at - operation.requested_at <= terms->second.latency_objective;
    if (in_time) earned[at] += terms->second.priority_weight;
  }
  for (std::size_t n = 0; n < requested.size(); ++n)
    earned[n] = requested[n] > 0 ? earned[n] / requested[n] : 1;
  return earned;
}

}  // namespace ospreypost::checker
