#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

#include "simulation/evidence.h"
#include "simulation/fleet.h"
#include "simulation/history_check.h"

namespace ospreypost::simulation {
namespace {

using namespace std::chrono_literals;

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

constexpr double kIll = 0.2;            // share of failures that makes a bin tell of a trouble
constexpr double kFull = 0.5;           // a share that load alone does not bring
constexpr double kNoise = 0.02;         // a share below that is nobody's trouble
constexpr double kWaited = 1.5;         // times the usual, above which a line tells of waiting
constexpr double kSlow = 3;             // times the usual, and
constexpr double kRoom = 0.7;           // at this share of the cores or less: then it is slow, not loaded
constexpr double kMostRepeats = 0.95;   // more would never end
constexpr Nanos kShort = 600ms;         // between two looks; nothing is made of less
constexpr double kFallbackWork = 0.05;  // seconds, where a record tells nothing
constexpr double kWhole = 0.75;     // of the usual tries where failures come at once: chance makes holes too
constexpr double kHollow = 0.35;    // where they come after a wait
constexpr double kLeastWait = 0.1;  // of an operation: less cannot be told from chance
constexpr double kWaitSlack = 1.5;
constexpr double kFewReadings = 40;  // of the load, below which cores stay unknown
constexpr double kSurelyOther = 2;   // standard errors
constexpr double kFewTries = 20;     // handled ones, below which a replica's own mean is none
constexpr double kManyCores = 64;

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2),
                   values.end());
  return values[values.size() / 2];
}

// When the list had a replica ready, and since when its process has run.
struct Listed {
  Nanos from{}, to{};
  std::optional<Nanos> started;
  bool covers(Nanos at) const { return from <= at && at < to; }
};

class Fitting {
 public:
  Fitting(const History& history, const Deployment& deployment, Assumption assumption,
          const std::vector<bool>& take)
      : history_(history), deployment_(deployment), assumption_(assumption), take_(take) {}

  Fleet fit() {
    const auto count = history_.replicas.size();
    check_history(history_, deployment_);
    fleet_.replicas.resize(count);
    listed_.resize(count);
    lines_.resize(count);
    taught_.resize(count);
    read_lists();
    read_reports();
    for (std::size_t n = 0; n < count; ++n) evidence_.push_back(evidence_of(lines_[n], history_.length));
    // Sums tell means; how far single operations lie apart is assumed.
    fleet_.variation = assumption_ == Assumption::pessimistic  ? 1
                       : assumption_ == Assumption::optimistic ? 0
                                                               : 0.5;
    fit_figures();
    fit_work();
    fit_cold();
    fit_clients();
    for (std::size_t n = 0; n < count; ++n) fit_spells(n);
    fit_pushes();
    return std::move(fleet_);
  }

 private:
  void read_lists() {
    const auto close = [&](std::size_t n, Nanos at) {
      if (!listed_[n].empty() && listed_[n].back().to == Nanos::max()) listed_[n].back().to = at;
    };
    for (const auto& news : history_.lists) {
      if (news.failed) continue;
      if (news.kind != EndpointListKind::changes) {
        for (std::size_t n = 0; n < listed_.size(); ++n) {
          const bool named = std::any_of(news.entries.begin(), news.entries.end(), [&](const auto& entry) {
            return static_cast<std::size_t>(entry.replica) == n;
          });
          if (!named) close(n, news.at);
        }
      }
      for (const auto& entry : news.entries) {
        const auto n = static_cast<std::size_t>(entry.replica);
        if (entry.phase != EndpointPhase::gone) {
          fleet_.replicas[n].zone = entry.zone;
          fleet_.replicas[n].kind = entry.kind;
        }
        if (entry.phase != EndpointPhase::ready) {
          close(n, news.at);
        } else if (listed_[n].empty() || listed_[n].back().to != Nanos::max() ||
                   listed_[n].back().started != entry.started) {
          close(n, news.at);
          listed_[n].push_back({news.at, Nanos::max(), entry.started});
        }
      }
    }
    for (std::size_t n = 0; n < listed_.size(); ++n) close(n, history_.length);
  }

  void read_reports() {
    int util = -1;
    const auto& columns = deployment_.settings.load_columns;
    for (std::size_t k = 0; k < columns.size(); ++k) {
      if (columns[k] == LoadMetric::util) util = static_cast<int>(k);
    }
    for (std::size_t r = 0; r < history_.reports.size(); ++r) {
      const auto& report = history_.reports[r];
      const bool teaches = take_.empty() || take_[r];
      for (const auto& met : report.replica_lines) {
        const auto n = static_cast<std::size_t>(met.replica);
        ReplicaReport line{report.from,
                           report.to,
                           static_cast<double>(met.attempts),
                           static_cast<double>(met.failed),
                           (met.attempts - met.failed) * seconds(met.mean_latency),
                           {}};
        if (util >= 0 && static_cast<std::size_t>(util) < met.load.size())
          line.util = met.load[static_cast<std::size_t>(util)];
        lines_[n].push_back(line);
        if (teaches) taught_[n].push_back(line);
      }
    }
  }

  // Whether a replica that was started within the record, or just before, was still cold then.
  bool cold(std::size_t n, Nanos at) const {
    for (const auto& listed : listed_[n]) {
      if (listed.covers(at) && listed.started && at < *listed.started + deployment_.settings.warm_up_duration)
        return true;
    }
    return false;
  }

  // What a replica did while it was well and warm.
  struct Usual {
    double handled = 0, handled_seconds = 0, seconds = 0;
    double own_handled = 0, own_seconds = 0;       // summed over each proxy's own lines
    double util = 0, util_squares = 0, utils = 0;  // readings
    double mean() const { return handled_seconds / handled; }
    double rate() const { return handled / seconds; }
    bool any() const { return handled >= kFewTries && seconds > 0; }
    // A reading is the last answer's before its report was made. What was in work then and had been sent by
    // the same proxy would mostly have answered later, and been the last: of a mean of `a`, all but 1 -
    // exp(-a) is left (arrivals by chance). Others' operations are seen whole.
    double seen_in_work(double base) const {
      const double own = own_seconds > 0 ? own_handled / own_seconds * base : 0;
      return std::max(0.0, rate() * base - (1 - std::exp(-own)));
    }
  };

  Usual usual_of(std::size_t n) const {
    Usual usual;
    // Where all reports teach, it is there already.
    const auto taught = take_.empty() ? std::vector<Evidence>{} : evidence_of(taught_[n], history_.length);
    const auto& bins = take_.empty() ? evidence_[n] : taught;
    for (std::size_t b = 0; b < bins.size(); ++b) {
      const auto& bin = bins[b];
      if (bin.handled <= 0 || bin.failure_ratio > kNoise || cold(n, static_cast<Nanos::rep>(b) * kBin))
        continue;
      usual.handled += bin.handled, usual.handled_seconds += bin.handled_seconds;
      usual.seconds += seconds(kBin);
    }
    for (const auto& line : taught_[n]) {
      if (line.failed > kNoise * line.attempts || line.attempts <= 0 || cold(n, line.from)) continue;
      usual.own_handled += line.attempts, usual.own_seconds += seconds(line.to - line.from);
      if (!line.util) continue;
      usual.util += *line.util, usual.util_squares += *line.util * *line.util, usual.utils += 1;
    }
    return usual;
  }

  // What an operation takes where nothing waits: a mean time holds waiting too, so that of the lines by their
  // means, weighted by what they handled, the lower quarter's end stands for it.
  double base_of(std::size_t n) const {
    std::vector<std::pair<double, double>> means;
    double all = 0;
    for (const auto& line : taught_[n]) {
      const double handled = line.attempts - line.failed;
      if (handled <= 0 || cold(n, line.from)) continue;
      means.emplace_back(line.handled_seconds / handled, handled);
      all += handled;
    }
    std::sort(means.begin(), means.end());
    double passed = 0;
    for (const auto& [mean, handled] : means) {
      passed += handled;
      if (passed >= all / 4) return mean;
    }
    return 0;
  }

  // Cores as readings of the load tell them, over the replicas given, and how sure that is: one standard
  // error.
  struct Cores {
    double count = 0, error = 0;
  };
  std::optional<Cores> cores_of(const std::vector<std::size_t>& replicas) const {
    double in_work = 0, util = 0, squares = 0, readings = 0;
    for (const auto n : replicas) {
      in_work += usual_[n].utils * usual_[n].seen_in_work(base_[n]);
      util += usual_[n].util, squares += usual_[n].util_squares, readings += usual_[n].utils;
    }
    if (readings < kFewReadings || in_work <= 0 || util <= 0) return std::nullopt;
    const double mean = util / readings, variance = std::max(0.0, squares / readings - mean * mean);
    const double count = in_work / util;
    return Cores{count, count * std::sqrt(variance / readings) / mean};
  }

  // The narrower group's, where it differs from the wider one's by more than chance brings.
  static std::optional<Cores> narrower(const std::optional<Cores>& wide, const std::optional<Cores>& narrow) {
    if (!wide || !narrow) return narrow ? narrow : wide;
    const double error = std::hypot(wide->error, narrow->error);
    return std::abs(wide->count - narrow->count) > kSurelyOther * error ? narrow : wide;
  }

  double assumed(const Cores& cores) const {
    const double shift = assumption_ == Assumption::pessimistic  ? -cores.error
                         : assumption_ == Assumption::optimistic ? cores.error
                                                                 : 0;
    return std::clamp(std::round(cores.count + shift), 1.0, kManyCores);
  }

  // With fewer, operations would have waited longer than they did (Sakasegawa 1977, for many servers).
  double fewest_cores(std::size_t n) const {
    const double waited = std::max(kLeastWait * base_[n], usual_[n].mean() - base_[n]);
    const double clumps = (1 + fleet_.variation * fleet_.variation) / 2;
    double cores = 1;
    for (; cores < kManyCores; ++cores) {
      const double load = usual_[n].rate() * base_[n] / cores;
      if (load >= 1) continue;
      const double waits =
          base_[n] * clumps * std::pow(load, std::sqrt(2 * (cores + 1)) - 1) / (cores * (1 - load));
      if (waits <= kWaitSlack * waited) break;
    }
    return cores;
  }

  // Its own figures where it was looked at often; else those of its kind together.
  void fit_figures() {
    std::map<HardwareKindId, std::vector<std::size_t>> by_kind;
    std::vector<std::size_t> everybody;
    std::vector<double> all;
    std::map<HardwareKindId, std::vector<double>> like;
    base_.assign(lines_.size(), 0);
    for (std::size_t n = 0; n < lines_.size(); ++n) {
      usual_.push_back(usual_of(n));
      auto& replica = fleet_.replicas[n];
      replica.seen = usual_[n].any();
      if (!replica.seen) continue;
      base_[n] = base_of(n);
      by_kind[replica.kind].push_back(n);
      everybody.push_back(n);
      all.push_back(base_[n]);
      like[replica.kind].push_back(base_[n]);
    }
    const auto fleet = cores_of(everybody);
    for (std::size_t n = 0; n < lines_.size(); ++n) {
      auto& replica = fleet_.replicas[n];
      const auto cores = narrower(narrower(fleet, cores_of(by_kind[replica.kind])), cores_of({n}));
      fleet_.cores_seen = fleet_.cores_seen || cores;
      replica.cores = cores ? assumed(*cores) : cores_unseen(n);
      if (replica.seen) replica.cores = std::max(replica.cores, fewest_cores(n));
    }
    for (std::size_t n = 0; n < lines_.size(); ++n) {
      if (!fleet_.replicas[n].seen)
        base_[n] = unknown_speed(like[fleet_.replicas[n].kind].empty() ? all : like[fleet_.replicas[n].kind]);
    }
    mean_ = all.empty() ? kFallbackWork
                        : std::accumulate(all.begin(), all.end(), 0.0) / static_cast<double>(all.size());
    for (std::size_t n = 0; n < lines_.size(); ++n) fleet_.replicas[n].slowness = base_[n] / mean_;
  }

  // Nobody said how busy it was: it had at least as many as it ever used.
  double cores_unseen(std::size_t n) const {
    double most = 1;
    for (const auto& bin : evidence_[n]) most = std::max(most, bin.handled_seconds / seconds(kBin));
    return assumption_ == Assumption::pessimistic  ? most
           : assumption_ == Assumption::optimistic ? 4 * most
                                                   : 2 * most;
  }

  double unknown_speed(const std::vector<double>& like) const {
    if (like.empty()) return mean_;
    switch (assumption_) {
      case Assumption::optimistic:
        return *std::min_element(like.begin(), like.end());
      case Assumption::pessimistic:
        return *std::max_element(like.begin(), like.end());
      case Assumption::middle:
        break;
    }
    return std::accumulate(like.begin(), like.end(), 0.0) / static_cast<double>(like.size());
  }

  // By class: least squares over the reports, drawn towards one work for all, which the record tells better
  // than how classes differ.
  void fit_work() {
    const auto classes = deployment_.classes.size();
    std::vector<std::vector<double>> square(classes, std::vector<double>(classes));
    std::vector<double> right(classes), mix(classes);
    double operations = 0;
    for (std::size_t r = 0; r < history_.reports.size(); ++r) {
      const auto& report = history_.reports[r];
      if (!take_.empty() && !take_[r]) continue;
      double handled = 0, took = 0;
      for (const auto& met : report.replica_lines) {
        const auto n = static_cast<std::size_t>(met.replica);
        const double count = met.attempts - met.failed;
        const double mean = seconds(met.mean_latency);
        if (count <= 0 || cold(n, report.from) || mean > kWaited * base_[n]) continue;
        handled += count;
        took += count * mean / fleet_.replicas[n].slowness;
      }
      double asked = 0;
      for (const auto& of : report.demand_lines)
        asked += of.operations - std::min(of.operations, of.unanswered);
      if (handled <= 0 || asked <= 0) continue;
      std::vector<double> shares(classes);
      for (const auto& of : report.demand_lines)
        shares[static_cast<std::size_t>(of.cls)] +=
            (of.operations - std::min(of.operations, of.unanswered)) / asked;
      operations += handled;
      for (std::size_t a = 0; a < classes; ++a) {
        mix[a] += handled * shares[a];
        right[a] += handled * shares[a] * (took / handled - mean_);
        for (std::size_t b = 0; b < classes; ++b) square[a][b] += handled * shares[a] * shares[b];
      }
    }
    const double ridge = 0.05 * operations + 1;
    for (std::size_t a = 0; a < classes; ++a) square[a][a] += ridge;
    fleet_.work = solve(std::move(square), std::move(right));
    for (auto& work : fleet_.work) work = std::max(work + mean_, mean_ / 4);
    // Some of that was waiting still: only how classes differ is taken from here.
    double together = 0;
    for (std::size_t k = 0; k < classes; ++k) together += mix[k] / std::max(1.0, operations) * fleet_.work[k];
    for (auto& work : fleet_.work) work *= together > 0 ? mean_ / together : 1;
  }

  // Gauss; the ridge keeps it well posed.
  static std::vector<double> solve(std::vector<std::vector<double>> square, std::vector<double> right) {
    const auto size = right.size();
    for (std::size_t k = 0; k < size; ++k) {
      for (std::size_t row = k + 1; row < size; ++row) {
        const double times = square[row][k] / square[k][k];
        for (std::size_t col = k; col < size; ++col) square[row][col] -= times * square[k][col];
        right[row] -= times * right[k];
      }
    }
    for (std::size_t k = size; k-- > 0;) {
      for (std::size_t col = k + 1; col < size; ++col) right[k] -= square[k][col] * right[col];
      right[k] /= square[k][k];
    }
    return right;
  }

  void fit_cold() {
    const auto& settings = deployment_.settings;
    fleet_.warm_up_duration = settings.warm_up_duration;
    double sum = 0, weight = 0;
    for (std::size_t n = 0; n < lines_.size(); ++n) {
      for (const auto& line : taught_[n]) {
        const double handled = line.attempts - line.failed;
        const Nanos middle = (line.from + line.to) / 2;
        if (handled <= 0 || line.handled_seconds <= 0 || !cold(n, middle)) continue;
        for (const auto& listed : listed_[n]) {
          if (!listed.covers(middle) || !listed.started) continue;
          const double age =
              std::clamp(seconds(middle - *listed.started) / seconds(settings.warm_up_duration), 0.0, 1.0);
          const double warmth = base_[n] / (line.handled_seconds / handled);
          sum += handled * (1 - age) * (warmth - age);
          weight += handled * (1 - age) * (1 - age);
        }
      }
    }
    fleet_.cold_seen = weight > 5;
    fleet_.initial_warm_up_capacity =
        fleet_.cold_seen ? std::clamp(sum / weight, 0.05, 1.0) : settings.initial_warm_up_capacity;
  }

  // How failed tries and unanswered operations go together, and both with operations that come again.
  void fit_clients() {
    const auto classes = deployment_.classes.size();
    const auto bins = static_cast<std::size_t>(history_.length / 1s) + 1;
    std::vector<double> failed(bins), unanswered(bins);
    std::vector<std::vector<double>> asked(classes, std::vector<double>(bins)), lost = asked;
    for (const auto& report : history_.reports) {
      const auto bin = static_cast<std::size_t>(std::max(report.to - 1ns, Nanos{}) / 1s);
      if (bin >= bins) continue;
      for (const auto& met : report.replica_lines) failed[bin] += met.failed;
      for (const auto& of : report.demand_lines) {
        const auto k = static_cast<std::size_t>(of.cls);
        asked[k][bin] += of.operations;
        lost[k][bin] += of.unanswered;
        unanswered[bin] += of.unanswered;
      }
    }
    // Where tries fail and operations are answered all the same, the tries never ran. Over three seconds, as
    // an operation may end in another report than its try.
    never_ran_.assign(bins, 0);
    for (std::size_t bin = 0; bin < bins; ++bin) {
      double failures = 0, unmet = 0;
      for (std::size_t b = bin > 0 ? bin - 1 : 0; b < std::min(bins, bin + 2); ++b)
        failures += failed[b], unmet += unanswered[b];
      never_ran_[bin] = failures > 0 ? std::clamp(1 - unmet / failures, 0.0, 1.0) : 0;
    }
    fleet_.repeats.assign(classes, 0);
    for (std::size_t k = 0; k < classes; ++k) {
      const double mean_asked =
          std::accumulate(asked[k].begin(), asked[k].end(), 0.0) / static_cast<double>(bins);
      const double mean_lost =
          std::accumulate(lost[k].begin(), lost[k].end(), 0.0) / static_cast<double>(bins);
      double both = 0, own = 0;
      for (std::size_t bin = 0; bin < bins; ++bin) {
        both += (asked[k][bin] - mean_asked) * (lost[k][bin] - mean_lost);
        own += (lost[k][bin] - mean_lost) * (lost[k][bin] - mean_lost);
      }
      // Too few failures tell nothing of what clients do after them.
      if (own > mean_asked) fleet_.repeats[k] = std::clamp(both / own, 0.0, kMostRepeats);
    }
  }

  // What comes of load the model brings about by itself; only the rest is trouble.
  bool loaded(std::size_t n, const Evidence& bin) const {
    return bin.attempts * base_[n] / seconds(kBin) > kRoom * fleet_.replicas[n].cores;
  }

  double fault_slowdown(std::size_t n, const Evidence& bin, Nanos at) const {
    if (bin.handled < 0.2 || cold(n, at) || loaded(n, bin)) return 1;
    const double mean = bin.handled_seconds / bin.handled;
    return mean > kSlow * base_[n] ? mean / base_[n] : 1;
  }

  double fault_failure_ratio(std::size_t n, const Evidence& bin, Nanos at) const {
    if (bin.failure_ratio < kNoise) return 0;
    const bool by_itself = bin.failure_ratio < kFull && (loaded(n, bin) || cold(n, at));
    return by_itself ? 0 : bin.failure_ratio;
  }

  // What the list says of a whole stretch: it was ready through it, and one process.
  bool one_life(std::size_t n, Nanos from, Nanos to) const {
    return std::any_of(listed_[n].begin(), listed_[n].end(),
                       [&](const Listed& listed) { return listed.from <= from && to <= listed.to; });
  }

  // Each bin that tells of a trouble, and what lies between looks: there the record says nothing.
  void fit_spells(std::size_t n) {
    auto& spells = fleet_.replicas[n].spells;
    const auto& bins = evidence_[n];
    const auto time_of = [](std::size_t bin) { return static_cast<Nanos::rep>(bin) * kBin; };
    std::optional<std::size_t> last;
    double last_fails = 0, unseen = 0, hangs = 0;
    const auto add = [&](Nanos from, Nanos to, double fails, double slow) {
      const auto second = std::min(never_ran_.size() - 1, static_cast<std::size_t>(from / 1s));
      add_spell(spells, {from, to, fails, slow, never_ran_[second], hangs});
    };
    for (std::size_t b = 0; b < bins.size(); ++b) {
      if (!bins[b].any()) continue;
      const double fails = fault_failure_ratio(n, bins[b], time_of(b));
      if (last) {
        const Nanos from = time_of(*last + 1), to = time_of(b);
        if (to - from >= kShort && one_life(n, from, to) && (last_fails >= kIll || fails >= kIll)) {
          unseen += seconds(to - from);
          fill(from, to, last_fails, fails, add);
        } else if (to > from && last_fails > 0 && fails > 0) {
          add(from, to, (last_fails + fails) / 2, 1);
        }
      }
      const double slow = fault_slowdown(n, bins[b], time_of(b));
      if (fails >= kIll && last_fails < kIll) hangs = hung(n, b);
      if (fails > 0 || slow > 1) add(time_of(b), time_of(b + 1), fails, slow);
      last = b;
      last_fails = fails;
    }
    // Nobody looked again after the last failure.
    if (last && last_fails >= kIll) {
      const Nanos from = time_of(*last + 1);
      for (const auto& listed : listed_[n]) {
        if (!listed.covers(from)) continue;
        unseen += seconds(listed.to - from);
        fill(from, listed.to, last_fails, 0, add);
      }
    }
    shift(spells);
    fleet_.unseen += unseen / std::max(1e-9, seconds(history_.length) * static_cast<double>(lines_.size()));
  }

  // Goes on from the last one where they are alike.
  static void add_spell(std::vector<Spell>& spells, const Spell& spell) {
    if (spell.from >= spell.to) return;
    const auto alike = [](double a, double b) { return std::abs(a - b) <= 0.1 * std::max(a, b); };
    if (!spells.empty() && spells.back().to == spell.from &&
        alike(spells.back().failure_ratio, spell.failure_ratio) &&
        alike(spells.back().slowdown, spell.slowdown) &&
        alike(spells.back().not_run_ratio, spell.not_run_ratio)) {
      spells.back().to = spell.to;
    } else {
      spells.push_back(spell);
    }
  }

  // How long a try is waited for, over the classes.
  Nanos patience() const {
    Nanos patience{};
    for (const auto& cls : deployment_.settings.classes) patience += cls.latency_objective;
    return patience / static_cast<Nanos::rep>(std::max<std::size_t>(1, deployment_.settings.classes.size()));
  }

  // Tries that hang are counted when they are given up on, so that there is a hole before the first: how deep
  // it is tells hanging from failing at once. `begins`: the first bin with failures.
  double hung(std::size_t n, std::size_t begins) const {
    if (assumption_ != Assumption::middle) return assumption_ == Assumption::pessimistic ? 1 : 0;
    if (!usual_[n].any()) return 0.5;
    const auto& bins = evidence_[n];
    const auto hole = std::max<std::size_t>(1, static_cast<std::size_t>(patience() / kBin));
    const auto blur = static_cast<std::size_t>(deployment_.settings.report_interval / kBin);
    const double expected = usual_[n].rate() * seconds(kBin) * static_cast<double>(hole);
    // Lines blur the hole by their span.
    double emptiest = 1;
    for (auto from = begins - std::min(begins, hole + blur);
         from + hole <= std::min(bins.size(), begins + blur); ++from) {
      double attempts = 0;
      for (auto b = from; b < from + hole; ++b) attempts += bins[b].attempts;
      emptiest = std::min(emptiest, attempts / expected);
    }
    return std::clamp((kWhole - emptiest) / (kWhole - kHollow), 0.0, 1.0);
  }

  // What befell a try that hung began so much before it was counted.
  void shift(std::vector<Spell>& spells) const {
    for (auto& spell : spells) {
      if (spell.failure_ratio < kIll) continue;
      const double hung = spell.hang_ratio * (1 - spell.not_run_ratio);
      spell.from -= Nanos(std::llround(hung * static_cast<double>(patience().count())));
    }
    for (std::size_t n = 1; n < spells.size(); ++n)
      spells[n - 1].to = std::min(spells[n - 1].to, std::max(spells[n - 1].from, spells[n].from));
  }

  // Between two looks of which one told of failures: over at once, just before the next look, or half way.
  template <typename Add>
  void fill(Nanos from, Nanos to, double before, double after, Add add) const {
    if (assumption_ == Assumption::optimistic) return;
    const Nanos middle = from + (to - from) / 2;
    if (before >= kIll && after >= kIll) {
      add(from, to, (before + after) / 2, 1);
    } else if (before >= kIll) {
      add(from, assumption_ == Assumption::pessimistic ? to : middle, before, 1);
    } else {
      add(assumption_ == Assumption::pessimistic ? from : middle, to, after, 1);
    }
  }

  void fit_pushes() {
    std::vector<double> took;
    for (const auto& applied : history_.applied) took.push_back(seconds(applied.took));
    fleet_.push_time = Nanos(std::llround(std::clamp(median(std::move(took)), 0.01, 10.0) * 1e9));
  }

  const History& history_;
  const Deployment& deployment_;
  const Assumption assumption_;
  const std::vector<bool>& take_;
  Fleet fleet_;
  std::vector<std::vector<Listed>> listed_;
  std::vector<std::vector<ReplicaReport>> lines_, taught_;
  std::vector<std::vector<Evidence>> evidence_;
  std::vector<double> never_ran_;  // of the fleet's failed tries, by second
  std::vector<Usual> usual_;
  std::vector<double> base_;  // seconds an operation takes, by replica
  double mean_ = kFallbackWork;
};

}  // namespace

Fleet fit(const History& history, const Deployment& deployment, Assumption assumption,
          const std::vector<bool>& take) {
  return Fitting(history, deployment, assumption, take).fit();
}

}  // namespace ospreypost::simulation
