#include "checker/invariant_checker.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <set>

namespace ospreypost::checker {
namespace {

constexpr Time kWindow = std::chrono::seconds(10);  // the worst one counts for the service
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

// When something held: from each record that says yes to the next that says no.
template <typename Record, typename Says>
std::vector<Interval> intervals(const std::vector<Record>& records, Says says) {
  std::vector<Interval> found;
  bool holds = false;
  for (const auto& record : records) {
    if (says(record) == holds) continue;
    holds = !holds;
    holds ? void(found.push_back({record.at, kNever})) : void(found.back().to = record.at);
  }
  return found;
}

// The trace in order, with what several rules need of it.
struct Facts {
  explicit Facts(const Trace& trace) {
    governed = intervals(in_order(trace.governing), [](const GovernorStatus& g) { return g.up; });
    for (auto& listed : in_order(trace.listed)) lists[listed.replica].push_back(listed);
    for (auto& started : in_order(trace.started)) lives[started.replica].push_back(started);
    std::map<std::string, std::vector<Cut>> cuts;
    for (auto& cut : in_order(trace.cuts)) cuts[cut.proxy].push_back(cut);
    for (const auto& [proxy, of] : cuts) cut_off[proxy] = intervals(of, [](const Cut& c) { return c.cut; });
    answers = in_order(trace.answered);
  }
  // Since when the governor that runs at `at` has run; it has read the list from then on. Empty if none runs.
  std::optional<Time> governed_since(Time at) const {
    for (const auto& up : governed) {
      if (up.from <= at && at < up.to) return up.from;
    }
    return std::nullopt;
  }
  bool is_cut(const std::string& proxy, Time from, Time to) const {
    const auto known = cut_off.find(proxy);
    if (known == cut_off.end()) return false;
    return std::any_of(known->second.begin(), known->second.end(),
                       [&](const Interval& cut) { return cut.from < to && from < cut.to; });
  }

  // How much of a span the proxy was not cut off.
  Time reachable(const std::string& proxy, Time from, Time to) const {
    Time span = to - from;
    const auto known = cut_off.find(proxy);
    if (known == cut_off.end()) return span;
    for (const auto& cut : known->second)
      span -= std::max<Time>(Time{}, std::min(cut.to, to) - std::max(cut.from, from));
    return span;
  }

  std::vector<Interval> governed;
  std::map<std::string, std::vector<Listed>> lists;
  std::map<std::string, std::vector<Started>> lives;
  std::map<std::string, std::vector<Interval>> cut_off;
  std::vector<Answered> answers;
};

// Rule 1. Bare is a proxy whose newest answer for a class names nobody, while some replica is listed ready
// and is warm, and a governor runs that has known so since.
Rule nobody_bare(const Facts& facts, const Limits& limits, Time end) {
  // When some replica was ready and warm, in pieces that may overlap.
  std::vector<Interval> servable;
  for (const auto& [replica, listed] : facts.lists) {
    for (auto& ready : intervals(listed, [](const Listed& l) { return l.phase == EndpointPhase::ready; })) {
      const auto lives = facts.lives.find(replica);
      if (lives == facts.lives.end()) continue;
      Time warm = kNever;
      for (const auto& life : lives->second) {
        if (life.at < ready.to) warm = life.at + life.warm_up_duration;
      }
      const Interval piece{std::max(ready.from, warm), ready.to};
      if (piece.from < piece.to) servable.push_back(piece);
    }
  }
  std::sort(servable.begin(), servable.end(), [](auto& a, auto& b) { return a.from < b.from; });
  std::vector<Interval> merged;
  for (const auto& piece : servable) {
    if (!merged.empty() && piece.from <= merged.back().to) {
      merged.back().to = std::max(merged.back().to, piece.to);
    } else {
      merged.push_back(piece);
    }
  }

  Time worst{};
  std::string whose;
  const auto count = [&](const std::string& proxy, Interval bare) {
    for (const auto& could : merged) {
      for (const auto& up : facts.governed) {
        const Time from = std::max({bare.from, could.from, up.from});
        const Time to = std::min({bare.to, could.to, up.to, end});
        if (to - from > worst && !facts.is_cut(proxy, from, to)) worst = to - from, whose = proxy;
      }
    }
  };
  std::map<std::pair<std::string, std::string>, Time> bare_since;
  for (const auto& answer : facts.answers) {
    const std::pair key{answer.proxy, answer.cls};
    const auto bare = bare_since.find(key);
    const bool vouched =
        std::find(limits.vouched.begin(), limits.vouched.end(), answer.proxy) != limits.vouched.end();
    if (answer.names.empty() && bare == bare_since.end() && vouched) bare_since[key] = answer.at;
    if (!answer.names.empty() && bare != bare_since.end()) {
      count(answer.proxy, {bare->second, answer.at});
      bare_since.erase(bare);
    }
  }
  for (const auto& [key, since] : bare_since) count(key.first, {since, end});
  return {
      "no proxy bare", worst <= limits.max_time_without_endpoints,
      text("longest %.2f s of %.2f s allowed", seconds(worst), seconds(limits.max_time_without_endpoints)) +
          (whose.empty() ? "" : ", " + whose)};
}

// Rule 2.
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

// Rule 3. From when a governor knew that a replica drains or is gone, until it is listed ready again; only
// the time counts in which it could reach the proxy.
Rule drains_kept(const Trace& trace, const Facts& facts, const Limits& limits) {
  Time worst{};
  std::string where;
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
      // The proxy's joining, or the governor's knowing, whichever is later.
      const auto joined = first_answer.find(sent.proxy);
      const auto governed = facts.governed_since(sent.at);
      if (joined == first_answer.end() || !governed) continue;
      const Time from = std::max({drain.from, *governed, joined->second});
      if (facts.is_cut(sent.proxy, sent.at, sent.at + Time{1})) continue;
      const Time late = facts.reachable(sent.proxy, from, sent.at);
      if (late > worst) worst = late, where = sent.proxy + " to " + sent.replica;
    }
  }
  return {"drains kept", worst <= limits.drain_grace,
          text("last operation after %.2f s of %.2f s allowed", seconds(worst), seconds(limits.drain_grace)) +
              (where.empty() ? "" : ", " + where)};
}

// What a replica could do over a span of its life, in seconds of work, warming evenly.
double could_do(const Started& life, Time from, Time to) {
  double done = 0;
  constexpr int steps = 20;
  const Time step = (to - from) / steps;
  for (int n = 0; n < steps; ++n) {
    const Time middle = from + n * step + step / 2;
    const double age =
        life.warm_up_duration > Time{} ? seconds(middle - life.at) / seconds(life.warm_up_duration) : 1;
    done += seconds(step) * life.capacity *
            (life.initial_warm_up_capacity + (1 - life.initial_warm_up_capacity) * std::clamp(age, 0.0, 1.0));
  }
  return done;
}

// Who sent what where: an operation may be tried by several proxies in turn, at a replica by the last of
// them.
using Senders = std::map<std::pair<std::string, std::uint64_t>, Sent>;

// Whether an arrival was sent in knowledge of a start: by an answer that was made after the list told of it,
// or so long after that its sender must have had one.
class Knowing {
 public:
  Knowing(const Trace& trace, const Facts& facts, const Limits& limits) : facts_(facts), limits_(limits) {
    for (const auto& sent : in_order(trace.sent)) senders_[{sent.replica, sent.operation}] = sent;
    for (const auto& answer : facts.answers) answers_[answer.proxy].push_back(answer.at);
  }
  bool operator()(const Started& life, const Arrived& arrived) const {
    const auto sender = senders_.find({arrived.replica, arrived.operation});
    const auto listed = facts_.lists.find(arrived.replica);
    if (sender == senders_.end() || listed == facts_.lists.end()) return false;
    for (const auto& told : listed->second) {
      if (told.at < life.at || told.phase != EndpointPhase::ready) continue;
      const Time sent = sender->second.at;
      if (sent >= told.at + limits_.drain_grace) return true;
      const auto known = answers_.find(sender->second.proxy);
      if (known == answers_.end()) return false;
      const auto next = std::upper_bound(known->second.begin(), known->second.end(), told.at);
      return next != known->second.end() && *next <= sent;
    }
    return false;
  }

 private:
  const Facts& facts_;
  const Limits& limits_;
  Senders senders_;
  std::map<std::string, std::vector<Time>> answers_;
};

// The worst multiple of what a replica could do in one of its cold lives that it was sent within the stated
// time, by two thirds or more in knowledge of its start.
double worst_multiple(const Started& life, const std::vector<Arrived>& arrivals, const Knowing& knowing,
                      const Limits& limits) {
  double worst = 0, work = 0, known = 0;
  std::deque<std::pair<Arrived, bool>> window;
  for (const auto& arrived : arrivals) {
    if (arrived.at < life.at || arrived.at >= life.at + life.warm_up_duration) continue;
    window.emplace_back(arrived, knowing(life, arrived));
    work += arrived.work_seconds;
    known += window.back().second ? arrived.work_seconds : 0;
    while (window.front().first.at < arrived.at - limits.overload_duration) {
      work -= window.front().first.work_seconds;
      known -= window.front().second ? window.front().first.work_seconds : 0;
      window.pop_front();
    }
    if (known < work * 2 / 3) continue;
    // Chance: an operation more or less than the budget is no fall.
    const double slack = 2 * arrived.work_seconds;
    const Time from = std::max(life.at, arrived.at - limits.overload_duration);
    worst =
        std::max(worst, std::max(0.0, work - slack) / could_do(life, from, from + limits.overload_duration));
  }
  return worst;
}

// Rule 4. Counted as a budget over spans of the stated time, all proxies together, while the replica is cold.
Rule no_cold_replica_pushed_over(const Trace& trace, const Facts& facts, const Limits& limits) {
  std::map<std::string, std::vector<Arrived>> arrivals;
  for (auto& arrived : in_order(trace.arrived)) arrivals[arrived.replica].push_back(arrived);
  const Knowing knowing(trace, facts, limits);
  double worst = 0;
  std::string where;
  for (const auto& [replica, lives] : facts.lives) {
    for (const auto& life : lives) {
      if (life.initial_warm_up_capacity >= 1) continue;
      const double multiple = worst_multiple(life, arrivals[replica], knowing, limits);
      if (multiple > worst) worst = multiple, where = replica;
    }
  }
  return {"no cold replica pushed over", worst <= limits.overload_multiple,
          text("at most %.2f times what it could do, of %.2f allowed", worst, limits.overload_multiple) +
              (where.empty() ? "" : ", " + where)};
}

// Rule 5. A message is the first answer that shows a proxy a version.
Rule short_queue(const Facts& facts, const Limits& limits, double worst_waiting) {
  std::map<std::string, std::uint64_t> shown;
  std::map<std::string, std::deque<Time>> messages;
  std::size_t most = 0;
  for (const auto& answer : facts.answers) {
    if (answer.version == 0) continue;
    auto& last = shown[answer.proxy];
    if (last == answer.version) continue;
    last = answer.version;
    auto& window = messages[answer.proxy];
    window.push_back(answer.at);
    while (window.front() <= answer.at - limits.message_window) window.pop_front();
    most = std::max(most, window.size());
  }
  const bool few = limits.max_messages_per_window == 0 || most <= limits.max_messages_per_window;
  return {"the queue short", few && worst_waiting <= limits.max_queued_entries,
          text("%.0f lines waiting at most, of %.0f allowed; ", worst_waiting, limits.max_queued_entries) +
              std::to_string(most) + " messages to one proxy in a window, of " +
              std::to_string(limits.max_messages_per_window) + " allowed"};
}

Service service_of(const Trace& trace, const Limits& limits, Time end) {
  struct Sum {
    double asked = 0, earned = 0;
    double share() const { return asked > 0 ? earned / asked : 1; }
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
    if (operation.answered) {
      const Time took = *operation.answered - operation.asked;
      if (took <= cls.request_deadline) earned = cls.late_priority_weight * cls.priority_weight;
      if (took <= cls.latency_objective) earned = cls.priority_weight;
    }
    begin = std::min(begin, operation.asked);
    for (auto* sum : {&whole, &by_class[operation.cls],
                      &by_second[std::chrono::floor<std::chrono::seconds>(operation.asked)]}) {
      sum->asked += cls.priority_weight;
      sum->earned += earned;
    }
  }
  Service service{whole.share(), whole.share(), whole.share()};
  for (const auto& [cls, sum] : by_class) service.worst_class = std::min(service.worst_class, sum.share());
  for (const auto& [from, unused] : by_second) {
    if (from < begin || from + kWindow > end) continue;
    Sum window;
    for (auto at = by_second.lower_bound(from); at != by_second.end() && at->first < from + kWindow; ++at)
      window.asked += at->second.asked, window.earned += at->second.earned;
    service.worst_window = std::min(service.worst_window, window.share());
  }
  return service;
}

}  // namespace

bool CheckResult::kept() const {
  return std::all_of(rules.begin(), rules.end(), [](const Rule& rule) { return rule.kept; });
}

CheckResult check_invariants(const Trace& trace, const Limits& limits, Time end, double worst_waiting) {
  const Facts facts(trace);
  CheckResult verdict;
  verdict.rules = {nobody_bare(facts, limits, end), no_effect_twice(trace, limits),
                   drains_kept(trace, facts, limits), no_cold_replica_pushed_over(trace, facts, limits),
                   short_queue(facts, limits, worst_waiting)};
  verdict.service = service_of(trace, limits, end);
  verdict.operations = trace.operations.size();
  verdict.answered =
      static_cast<std::size_t>(std::count_if(trace.operations.begin(), trace.operations.end(),
                                             [](const Operation& o) { return o.answered.has_value(); }));
  return verdict;
}

std::vector<double> service_by_second(const Trace& trace, const Limits& limits, Time begin, Time end) {
  constexpr Time second = std::chrono::seconds(1);
  std::vector<double> asked(static_cast<std::size_t>((end - begin) / second)), earned(asked.size());
  for (const auto& operation : trace.operations) {
    const auto terms = limits.classes.find(operation.cls);
    const auto at = static_cast<std::size_t>(std::max(operation.asked - begin, Time{}) / second);
    if (at >= asked.size() || terms == limits.classes.end()) continue;
    asked[at] += terms->second.priority_weight;
    const bool in_time =
        operation.answered && *operation.answered - operation.asked <= terms->second.latency_objective;
    if (in_time) earned[at] += terms->second.priority_weight;
  }
  for (std::size_t n = 0; n < asked.size(); ++n) earned[n] = asked[n] > 0 ? earned[n] / asked[n] : 1;
  return earned;
}

}  // namespace ospreypost::checker
