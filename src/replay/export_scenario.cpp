#include "replay/export_scenario.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <tuple>
#include <vector>

#include "simulation/check.h"

namespace ospreypost::replay {
namespace {

using namespace std::chrono_literals;

constexpr Nanos kLongest = 1h;  // of a day file
constexpr std::size_t kMostTroubles = 190;
constexpr double kIll = 0.2;      // share of failures that is a trouble
constexpr Nanos kLate = 500ms;    // a report that comes later is late
constexpr Nanos kNotice = 100ms;  // the least between a death and the list's news of it
constexpr Nanos kLongestNotice = 30s;
constexpr double kBurst = 1.4;  // times the usual operations
constexpr Nanos kBurstSpan = 2s;

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

std::string number(double value) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.3f", value);
  return text;
}
std::string time_text(Nanos time) { return number(std::max(0.0, seconds(time))) + " s"; }

// One element, with its place in the day.
struct Element {
  Nanos at{}, lasts{};
  std::string name, more;  // attributes beyond at and for
};

class Exporting {
 public:
  Exporting(const simulation::History& history, const simulation::Deployment& deployment,
            const simulation::Fleet& fleet, const std::vector<std::string>& kinds)
      : history_(history), deployment_(deployment), fleet_(fleet), kinds_(kinds) {
    // A day's clock starts when its proxies have their tables; a record's, when the governor does.
    for (const auto& report : history.reports) {
      const bool busy = std::any_of(report.asked.begin(), report.asked.end(),
                                    [](const auto& asked) { return asked.operations > 0; });
      if (busy && (!begun_ || report.from < *begun_)) begun_ = std::max(report.from, 0ns);
    }
  }

  std::string text(const std::string& name, const std::string& governor) {
    simulation::check(history_, deployment_);
    const Nanos length = history_.length - begun_.value_or(0ns);
    if (length > kLongest)
      throw std::invalid_argument("the record is longer than the hour that a day may last: cut it");
    if (length <= 0ns || history_.replicas.empty())
      throw std::invalid_argument("the record tells of no fleet");
    name_replicas();
    const auto fleet = fleet_text(), traffic = traffic_text();
    list_troubles();
    spells();
    governors();
    proxies();
    late_reports();
    bursts(length);
    std::string text =
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<!-- Made of a record. Speeds, cores and failures are "
        "the "
        "model's; a failure that nobody saw end is\n     taken to have ended half way to the next look. "
        "Replicas go by other names here:\n";
    for (const auto& [recorded, ours] : names_) text += "     " + comment(recorded) + " is " + ours + "\n";
    text += "-->\n<day name=\"" + name + "\" length=\"" + time_text(length) + "\" governor=\"" + governor +
            "\">\n" + fleet + traffic;
    std::stable_sort(elements_.begin(), elements_.end(), [](auto& a, auto& b) { return a.at < b.at; });
    if (elements_.size() > kMostTroubles) {
      text += "  <!-- " + std::to_string(elements_.size() - kMostTroubles) +
              " later troubles are left out. -->\n";
      elements_.resize(kMostTroubles);
    }
    if (!elements_.empty()) {
      text += "  <troubles>\n";
      for (const auto& element : elements_) {
        text += "    <" + element.name + " at=\"" + time_text(element.at) + "\" for=\"" +
                time_text(element.lasts) + "\"" + element.more + "/>\n";
      }
      text += "  </troubles>\n";
    }
    return text + "</day>\n";
  }

 private:
  // Two dashes would end a comment.
  static std::string comment(std::string text) {
    for (auto at = text.find("--"); at != std::string::npos; at = text.find("--", at))
      text.replace(at, 2, "- -");
    return text;
  }

  // Replicas of one zone, kind and make lie together in a day; they are called by zone and number.
  void name_replicas() {
    std::map<std::tuple<ZoneId, HardwareKindId, long, long>, std::vector<std::size_t>> alike;
    for (std::size_t n = 0; n < fleet_.replicas.size(); ++n) {
      const auto& replica = fleet_.replicas[n];
      alike[{replica.zone, replica.kind, std::lround(replica.cores), std::lround(10 / replica.slowness)}]
          .push_back(n);
    }
    for (auto& [key, replicas] : alike) groups_.push_back(std::move(replicas));
    std::sort(groups_.begin(), groups_.end(), [](auto& a, auto& b) { return a.front() < b.front(); });
    std::map<ZoneId, std::size_t> in_zone;
    for (const auto& replicas : groups_) {
      for (const auto n : replicas)
        names_[history_.replicas[n]] =
            zone_name(fleet_.replicas[n].zone) + "-" + std::to_string(++in_zone[fleet_.replicas[n].zone]);
    }
  }
  const std::string& zone_name(ZoneId zone) const {
    return deployment_.zones[static_cast<std::size_t>(zone)];
  }
  const std::string& ours(ReplicaId replica) const {
    return names_.at(history_.replicas[static_cast<std::size_t>(replica)]);
  }

  std::string fleet_text() const {
    std::string text = "  <fleet>\n";
    for (const auto& group : groups_) {
      const auto& replica = fleet_.replicas[group.front()];
      const auto kind = static_cast<std::size_t>(replica.kind);
      text += "    <replicas zone=\"" + zone_name(replica.zone) + "\"" +
              (kind < kinds_.size() ? " kind=\"" + kinds_[kind] + "\"" : "") + " count=\"" +
              std::to_string(group.size()) + "\" cores=\"" + number(replica.cores) + "\" speed=\"" +
              number(1 / replica.slowness) + "\"/>\n";
    }
    return text + "  </fleet>\n";
  }

  std::string traffic_text() const {
    std::vector<double> fresh(deployment_.classes.size());
    std::map<ProxyId, double> reported;  // seconds
    for (const auto& report : history_.reports) {
      reported[report.proxy] += report.seconds();
      for (const auto& of : report.asked) {
        const auto k = static_cast<std::size_t>(of.cls);
        fresh[k] += std::max(0.0, of.operations - fleet_.repeats[k] * of.unanswered);
      }
    }
    double longest = 0;
    for (const auto& [proxy, covered] : reported) longest = std::max(longest, covered);
    std::string text = "  <traffic>\n";
    for (std::size_t k = 0; k < fresh.size(); ++k) {
      if (fresh[k] <= 0) continue;
      text += "    <class name=\"" + deployment_.classes[k] + "\" rate=\"" +
              number(std::max(0.001, fresh[k] / longest)) + "\" work=\"" +
              number(std::max(0.001, fleet_.work[k] * 1e3)) + " ms\"/>\n";
    }
    return text + "  </traffic>\n";
  }

  void add(Nanos at, Nanos to, const std::string& name, const std::string& more) {
    const Nanos from = std::max(at - begun_.value_or(0ns), 0ns);
    const Nanos end = std::min(to, history_.length) - begun_.value_or(0ns);
    if (end > from) elements_.push_back({from, end - from, name, more});
  }
  void add_replica(Nanos at, Nanos to, const std::string& name, ReplicaId replica,
                   const std::string& more = "") {
    add(at, to, name, " replicas=\"" + ours(replica) + "\"" + more);
  }

  // Drains, and deaths that the list told of, each until the replica is listed ready again.
  void list_troubles() {
    struct State {
      EndpointPhase phase = EndpointPhase::gone;
      Nanos left{};                 // drained or died
      std::optional<Nanos> leaves;  // of a drain: when it went
      bool draining = false, known = false;
    };
    std::map<ReplicaId, State> states;
    const auto back = [&](ReplicaId id, State& state, Nanos at) {
      if (!state.known || state.left == 0ns) return;
      const Nanos told = state.left;
      if (!state.draining) state.left = died(id, told);
      const std::string second =
          state.draining
              ? " leaves=\"" + time_text(state.leaves.value_or(at) - state.left) + "\""
              : " notice=\"" + time_text(std::min(std::max(told - state.left, kNotice), at - state.left)) +
                    "\"";
      add_replica(state.left, at, state.draining ? "drain" : "crash", id, second);
      gone_[id].push_back({state.left, at});
      state.left = 0ns;
    };
    for (const auto& news : history_.lists) {
      for (const auto& entry : news.entries) {
        auto& state = states[entry.replica];
        if (entry.phase == EndpointPhase::ready) {
          back(entry.replica, state, news.at);
          state = {EndpointPhase::ready, 0ns, {}, false, true};
        } else if (entry.phase == EndpointPhase::draining && state.left == 0ns) {
          state.left = news.at, state.draining = true, state.phase = entry.phase;
        } else if (entry.phase == EndpointPhase::gone) {
          if (state.left == 0ns) state.left = news.at, state.draining = false;
          state.leaves = news.at;
        }
      }
    }
    for (auto& [id, state] : states) back(id, state, history_.length);
  }

  // When its tries began to fail, if they did until the list told that it is gone.
  Nanos died(ReplicaId id, Nanos told) const {
    Nanos at = told;
    const auto& spells = fleet_.replicas[static_cast<std::size_t>(id)].spells;
    for (auto spell = spells.rbegin(); spell != spells.rend(); ++spell) {
      if (spell->from < at && spell->to >= at && spell->fails >= kIll)
        at = std::max(spell->from, told - kLongestNotice);
    }
    return at;
  }

  bool is_gone(ReplicaId id, Nanos from, Nanos to) const {
    const auto known = gone_.find(id);
    if (known == gone_.end()) return false;
    return std::any_of(known->second.begin(), known->second.end(),
                       [&](const auto& gone) { return gone.first <= to && from < gone.second; });
  }

  // Failures of one replica that go on from each other are one trouble.
  void spells() {
    for (std::size_t n = 0; n < fleet_.replicas.size(); ++n) {
      const ReplicaId id{static_cast<std::uint32_t>(n)};
      const auto& all = fleet_.replicas[n].spells;
      for (std::size_t first = 0; first < all.size();) {
        std::size_t last = first;
        const auto kind = kind_of(all[first]);
        double weight = 0, fails = 0, slower = 0;
        for (; last < all.size() && kind_of(all[last]) == kind &&
               (last == first || all[last].from - all[last - 1].to < 500ms);
             ++last) {
          const double lasts = std::max(1e-3, seconds(all[last].to - all[last].from));
          weight += lasts, fails += lasts * all[last].fails, slower += lasts * all[last].slower;
        }
        const Nanos from = all[first].from, to = all[last - 1].to;
        first = last;
        if (kind.empty() || to - from < 300ms || is_gone(id, from, to)) continue;
        std::string more;
        if (kind == "fast-errors") more = " share=\"" + number(std::min(1.0, fails / weight)) + "\"";
        if (kind == "slow") more = " factor=\"" + number(slower / weight) + "\"";
        add_replica(from, to, kind, id, more);
      }
    }
  }
  static std::string kind_of(const simulation::Spell& spell) {
    if (spell.fails >= kIll)
      return spell.never_ran > 0.5 && spell.fails > 0.9 ? "refuse"
             : spell.hangs > 0.5 && spell.fails > 0.9   ? "hang"
                                                        : "fast-errors";
    return spell.slower > 1 ? "slow" : "";
  }

  void governors() {
    for (std::size_t n = 1; n < history_.lives.size(); ++n)
      add(history_.lives[n - 1].to, history_.lives[n].from, "governor-killed", "");
  }

  // One that left, and joined again in the same life, could not be reached between.
  void proxies() {
    std::map<ProxyId, Nanos> left;
    for (const auto& of : history_.memberships) {
      const auto known = left.find(of.proxy);
      if (!of.joined) {
        left[of.proxy] = of.at;
      } else if (known != left.end()) {
        add(known->second, of.at, "cut",
            " proxies=\"" + deployment_.proxies.at(static_cast<std::size_t>(of.proxy)) + "\"");
        left.erase(known);
      }
    }
  }

  void late_reports() {
    std::map<ProxyId, Element> open;
    std::map<ProxyId, Nanos> by;
    const auto close = [&](ProxyId proxy) {
      const auto known = open.find(proxy);
      if (known == open.end()) return;
      add(known->second.at, known->second.at + known->second.lasts, "report-late",
          " by=\"" + time_text(by[proxy]) + "\" proxies=\"" +
              deployment_.proxies.at(static_cast<std::size_t>(proxy)) + "\"");
      open.erase(known);
    };
    for (const auto& report : history_.reports) {
      const Nanos late = report.arrived - report.to;
      if (late < kLate) {
        close(report.proxy);
        continue;
      }
      auto [element, fresh] = open.try_emplace(report.proxy, Element{report.to, 0ns, "", ""});
      if (fresh) by[report.proxy] = 0ns;
      element->second.lasts = std::max(element->second.lasts, report.to - element->second.at + 1ms);
      by[report.proxy] = std::max(by[report.proxy], late);
    }
    while (!open.empty()) close(open.begin()->first);
  }

  void bursts(Nanos length) {
    const auto spans = static_cast<std::size_t>(length / kBurstSpan);
    std::vector<double> operations(spans + 1);
    for (const auto& report : history_.reports) {
      const auto span =
          static_cast<std::size_t>(std::max(report.to - begun_.value_or(0ns) - 1ns, 0ns) / kBurstSpan);
      if (span >= spans) continue;
      for (const auto& of : report.asked)
        operations[span] +=
            std::max(0.0, of.operations - fleet_.repeats[static_cast<std::size_t>(of.cls)] * of.unanswered);
    }
    operations.resize(spans);
    auto sorted = operations;
    std::sort(sorted.begin(), sorted.end());
    const double usual = sorted.empty() ? 0 : sorted[sorted.size() / 2];
    for (std::size_t n = 0; n < spans; ++n) {
      // More than chance brings.
      if (operations[n] < kBurst * usual || operations[n] < usual + 4 * std::sqrt(usual + 1)) continue;
      elements_.push_back(
          {static_cast<Nanos::rep>(n) * kBurstSpan, kBurstSpan, "burst",
           " factor=\"" + number(operations[n] / std::max(1.0, usual)) + "\" rise=\"0.2 s\""});
    }
  }

  const simulation::History& history_;
  const simulation::Deployment& deployment_;
  const simulation::Fleet& fleet_;
  const std::vector<std::string>& kinds_;
  std::optional<Nanos> begun_;
  std::vector<std::vector<std::size_t>> groups_;
  std::map<std::string, std::string> names_;
  std::map<ReplicaId, std::vector<std::pair<Nanos, Nanos>>> gone_;
  std::vector<Element> elements_;
};

}  // namespace

ExportedScenario export_scenario(const simulation::History& history, const simulation::Deployment& deployment,
                                 const simulation::Fleet& fleet, const std::vector<std::string>& kinds,
                                 const std::string& name, const std::string& governor) {
  return {Exporting(history, deployment, fleet, kinds).text(name, governor), history.configuration};
}

}  // namespace ospreypost::replay
