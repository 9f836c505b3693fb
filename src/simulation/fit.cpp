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

// Failure ratio from which a bin shows a fault.
constexpr double kMinFaultFailureRatio = 0.2;
// Failure ratio that load or a cold start alone does not reach.
constexpr double kMaxLoadFailureRatio = 0.5;
// Failure ratio below which failures are noise.
constexpr double kNoiseFailureRatio = 0.02;
// Mean latency of the attempts in a report line, relative to the replica's service time without queueing,
// above which the line is assumed to include queueing.
constexpr double kQueueingLatencyFactor = 1.5;
// Mean latency relative to the service time without queueing above which a replica is considered slow,
// provided that the utilization of its cores is at most kMaxUnloadedUtilization. With a higher utilization,
// queueing may explain the latency.
constexpr double kSlowLatencyFactor = 3;
constexpr double kMaxUnloadedUtilization = 0.7;
// Maximum probability that a client repeats a failed request; with a higher probability, repeats would hardly
// end.
constexpr double kMaxRepeatProbability = 0.95;
// Minimum length of a gap without attempts that is examined for a fault.
constexpr Nanos kMinGap = 600ms;
// Service time in seconds if the record shows none.
constexpr double kFallbackWork = 0.05;
// Number of attempts counted just before the first failures of a spell, relative to the replica's usual
// number. Attempts that hang leave a gap there. At kImmediateFailureGap or more, all failures are taken as
// immediate; the value is less than 1 because random arrivals leave gaps too. At kHangGap or less, all failed
// attempts are taken as hanging.
constexpr double kImmediateFailureGap = 0.75;
constexpr double kHangGap = 0.35;
// Minimum queueing time relative to the service time; a shorter time is not distinguishable from noise.
constexpr double kMinQueueingRatio = 0.1;
// Factor on the measured queueing time up to which a predicted queueing time agrees with the measured one.
constexpr double kQueueingTolerance = 1.5;
// Minimum number of utilization readings that an estimate of the cores needs.
constexpr double kMinLoadReadings = 40;
// Difference between two estimates, in standard errors, above which the difference is significant.
constexpr double kSignificantErrors = 2;
// Minimum number of successful attempts that a replica needs to have figures of its own.
constexpr double kMinHandledAttempts = 20;
constexpr double kMaxCores = 64;

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2),
                   values.end());
  return values[values.size() / 2];
}

// A period in which the endpoint list had a replica ready, and the start time of the replica's process.
struct Listed {
  Nanos from{}, to{};
  std::optional<Nanos> started;
  bool covers(Nanos time) const { return from <= time && time < to; }
};

class Fitting {
 public:
  Fitting(const History& history, const Deployment& deployment, Assumption assumption,
          const std::vector<bool>& training_reports)
      : history_(history),
        deployment_(deployment),
        assumption_(assumption),
        training_reports_(training_reports) {}

  Fleet fit() {
    const auto count = history_.replicas.size();
    check_history(history_, deployment_);
    fleet_.replicas.resize(count);
    listed_.resize(count);
    lines_.resize(count);
    training_lines_.resize(count);
    read_lists();
    read_reports();
    for (std::size_t n = 0; n < count; ++n) evidence_.push_back(evidence_of(lines_[n], history_.length));
    // Reports hold only sums, which determine mean service times. The variation between requests is assumed.
    fleet_.variation = assumption_ == Assumption::pessimistic  ? 1
                       : assumption_ == Assumption::optimistic ? 0
                                                               : 0.5;
    fit_replicas();
    fit_work();
    fit_warm_up();
    fit_clients();
    for (std::size_t n = 0; n < count; ++n) fit_spells(n);
    fit_push_time();
    return std::move(fleet_);
  }

 private:
  void read_lists() {
    const auto close = [&](std::size_t n, Nanos at) {
      if (!listed_[n].empty() && listed_[n].back().to == Nanos::max()) listed_[n].back().to = at;
    };
    for (const auto& event : history_.lists) {
      if (event.failed) continue;
      if (event.kind != EndpointListKind::changes) {
        for (std::size_t n = 0; n < listed_.size(); ++n) {
          const bool named = std::any_of(event.entries.begin(), event.entries.end(), [&](const auto& entry) {
            return static_cast<std::size_t>(entry.replica) == n;
          });
          if (!named) close(n, event.at);
        }
      }
      for (const auto& entry : event.entries) {
        const auto n = static_cast<std::size_t>(entry.replica);
        if (entry.phase != EndpointPhase::gone) {
          fleet_.replicas[n].zone = entry.zone;
          fleet_.replicas[n].kind = entry.kind;
        }
        if (entry.phase != EndpointPhase::ready) {
          close(n, event.at);
        } else if (listed_[n].empty() || listed_[n].back().to != Nanos::max() ||
                   listed_[n].back().started != entry.started) {
          close(n, event.at);
          listed_[n].push_back({event.at, Nanos::max(), entry.started});
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
      const bool in_training = training_reports_.empty() || training_reports_[r];
      for (const auto& replica_line : report.replica_lines) {
        const auto n = static_cast<std::size_t>(replica_line.replica);
        ReplicaReport line{report.from,
                           report.to,
                           static_cast<double>(replica_line.attempts),
                           static_cast<double>(replica_line.failed),
                           (replica_line.attempts - replica_line.failed) * seconds(replica_line.mean_latency),
                           {}};
        if (util >= 0 && static_cast<std::size_t>(util) < replica_line.load.size())
          line.util = replica_line.load[static_cast<std::size_t>(util)];
        lines_[n].push_back(line);
        if (in_training) training_lines_[n].push_back(line);
      }
    }
  }

  // Returns whether the replica's process was warming up at `time`. Processes are known from the endpoint
  // list.
  bool is_cold(std::size_t n, Nanos time) const {
    for (const auto& listed : listed_[n]) {
      if (listed.covers(time) && listed.started &&
          time < *listed.started + deployment_.settings.warm_up_duration)
        return true;
    }
    return false;
  }

  // Sums over the time in which a replica was warm and without faults.
  struct HealthySums {
    double handled = 0, handled_seconds = 0, seconds = 0;
    // Number of attempts and length of the spans, both summed over the report lines of all proxies.
    double line_handled = 0, line_seconds = 0;
    double util = 0, util_squares = 0, readings = 0;  // of the reported utilization
    double mean() const { return handled_seconds / handled; }
    double rate() const { return handled / seconds; }
    bool any() const { return handled >= kMinHandledAttempts && seconds > 0; }
    // Returns the mean number of attempts in service that a utilization reading includes. A reading comes
    // from the last answer before the report. Another attempt of the same proxy that was in service at that
    // answer has usually been answered before the report too, which makes its own answer the last. The
    // reading therefore misses part of the proxy's own attempts: of a mean of `a` in service, 1 - exp(-a) are
    // missing with random arrivals. Attempts of other proxies are all included.
    double in_service_at_reading(double service_seconds) const {
      const double own = line_seconds > 0 ? line_handled / line_seconds * service_seconds : 0;
      return std::max(0.0, rate() * service_seconds - (1 - std::exp(-own)));
    }
  };

  HealthySums healthy_sums_of(std::size_t n) const {
    HealthySums sums;
    // Without a selection of reports, evidence_ already holds the evidence of all reports.
    const auto training_evidence = training_reports_.empty()
                                       ? std::vector<Evidence>{}
                                       : evidence_of(training_lines_[n], history_.length);
    const auto& bins = training_reports_.empty() ? evidence_[n] : training_evidence;
    for (std::size_t b = 0; b < bins.size(); ++b) {
      const auto& bin = bins[b];
      if (bin.handled <= 0 || bin.failure_ratio > kNoiseFailureRatio ||
          is_cold(n, static_cast<Nanos::rep>(b) * kBin))
        continue;
      sums.handled += bin.handled, sums.handled_seconds += bin.handled_seconds;
      sums.seconds += seconds(kBin);
    }
    for (const auto& line : training_lines_[n]) {
      if (line.failed > kNoiseFailureRatio * line.attempts || line.attempts <= 0 || is_cold(n, line.from))
        continue;
      sums.line_handled += line.attempts, sums.line_seconds += seconds(line.to - line.from);
      if (!line.util) continue;
      sums.util += *line.util, sums.util_squares += *line.util * *line.util, sums.readings += 1;
    }
    return sums;
  }

  // Estimates the service time in seconds of an attempt that does not queue. Mean latencies include queueing,
  // so the estimate is the lower quartile of the lines' mean latencies, weighted by their successful
  // attempts.
  double service_time_of(std::size_t n) const {
    std::vector<std::pair<double, double>> means;
    double total_handled = 0;
    for (const auto& line : training_lines_[n]) {
      const double handled = line.attempts - line.failed;
      if (handled <= 0 || is_cold(n, line.from)) continue;
      means.emplace_back(line.handled_seconds / handled, handled);
      total_handled += handled;
    }
    std::sort(means.begin(), means.end());
    double passed = 0;
    for (const auto& [mean, handled] : means) {
      passed += handled;
      if (passed >= total_handled / 4) return mean;
    }
    return 0;
  }

  // Estimated number of cores per replica, and the standard error of the estimate.
  struct Cores {
    double count = 0, error = 0;
  };
  // Estimates the cores from the utilization readings of the given replicas; empty if there are too few
  // readings.
  std::optional<Cores> cores_of(const std::vector<std::size_t>& replicas) const {
    double in_service = 0, util = 0, squares = 0, readings = 0;
    for (const auto n : replicas) {
      in_service += healthy_sums_[n].readings * healthy_sums_[n].in_service_at_reading(service_times_[n]);
      util += healthy_sums_[n].util, squares += healthy_sums_[n].util_squares,
          readings += healthy_sums_[n].readings;
    }
    if (readings < kMinLoadReadings || in_service <= 0 || util <= 0) return std::nullopt;
    const double mean = util / readings, variance = std::max(0.0, squares / readings - mean * mean);
    const double count = in_service / util;
    return Cores{count, count * std::sqrt(variance / readings) / mean};
  }

  // Chooses between an estimate for a wide group of replicas and one for a narrower group. Returns the narrow
  // estimate if the two differ significantly, else the wide one.
  static std::optional<Cores> choose_estimate(const std::optional<Cores>& wide,
                                              const std::optional<Cores>& narrow) {
    if (!wide || !narrow) return narrow ? narrow : wide;
    const double error = std::hypot(wide->error, narrow->error);
    return std::abs(wide->count - narrow->count) > kSignificantErrors * error ? narrow : wide;
  }

  // Returns a number of cores within one standard error of the estimate, by the assumption.
  double assumed_cores(const Cores& cores) const {
    const double shift = assumption_ == Assumption::pessimistic  ? -cores.error
                         : assumption_ == Assumption::optimistic ? cores.error
                                                                 : 0;
    return std::clamp(std::round(cores.count + shift), 1.0, kMaxCores);
  }

  // Returns the minimum number of cores that explains the measured queueing time. With fewer cores, attempts
  // would have queued for longer (Sakasegawa 1977, approximation for many servers).
  double min_cores(std::size_t n) const {
    const double measured_queueing =
        std::max(kMinQueueingRatio * service_times_[n], healthy_sums_[n].mean() - service_times_[n]);
    const double variation_factor = (1 + fleet_.variation * fleet_.variation) / 2;
    double cores = 1;
    for (; cores < kMaxCores; ++cores) {
      const double load = healthy_sums_[n].rate() * service_times_[n] / cores;
      if (load >= 1) continue;
      const double predicted_queueing = service_times_[n] * variation_factor *
                                        std::pow(load, std::sqrt(2 * (cores + 1)) - 1) / (cores * (1 - load));
      if (predicted_queueing <= kQueueingTolerance * measured_queueing) break;
    }
    return cores;
  }

  // Fits the speed and the cores of each replica: from its own figures if it had enough attempts, else from
  // the figures of all replicas of its hardware kind.
  void fit_replicas() {
    std::map<HardwareKindId, std::vector<std::size_t>> by_kind;
    std::vector<std::size_t> all_seen;
    std::vector<double> all_times;
    std::map<HardwareKindId, std::vector<double>> times_by_kind;
    service_times_.assign(lines_.size(), 0);
    for (std::size_t n = 0; n < lines_.size(); ++n) {
      healthy_sums_.push_back(healthy_sums_of(n));
      auto& replica = fleet_.replicas[n];
      replica.seen = healthy_sums_[n].any();
      if (!replica.seen) continue;
      service_times_[n] = service_time_of(n);
      by_kind[replica.kind].push_back(n);
      all_seen.push_back(n);
      all_times.push_back(service_times_[n]);
      times_by_kind[replica.kind].push_back(service_times_[n]);
    }
    const auto fleet = cores_of(all_seen);
    for (std::size_t n = 0; n < lines_.size(); ++n) {
      auto& replica = fleet_.replicas[n];
      const auto cores =
          choose_estimate(choose_estimate(fleet, cores_of(by_kind[replica.kind])), cores_of({n}));
      fleet_.cores_seen = fleet_.cores_seen || cores;
      replica.cores = cores ? assumed_cores(*cores) : cores_from_peak(n);
      if (replica.seen) replica.cores = std::max(replica.cores, min_cores(n));
    }
    for (std::size_t n = 0; n < lines_.size(); ++n) {
      if (!fleet_.replicas[n].seen)
        service_times_[n] = assumed_service_time(times_by_kind[fleet_.replicas[n].kind].empty()
                                                     ? all_times
                                                     : times_by_kind[fleet_.replicas[n].kind]);
    }
    mean_service_time_ = all_times.empty() ? kFallbackWork
                                           : std::accumulate(all_times.begin(), all_times.end(), 0.0) /
                                                 static_cast<double>(all_times.size());
    for (std::size_t n = 0; n < lines_.size(); ++n)
      fleet_.replicas[n].slowness = service_times_[n] / mean_service_time_;
  }

  // Estimates the cores of a replica without utilization readings. The replica has at least as many cores as
  // were ever in use at the same time.
  double cores_from_peak(std::size_t n) const {
    double peak = 1;
    for (const auto& bin : evidence_[n]) peak = std::max(peak, bin.handled_seconds / seconds(kBin));
    return assumption_ == Assumption::pessimistic  ? peak
           : assumption_ == Assumption::optimistic ? 4 * peak
                                                   : 2 * peak;
  }

  // Returns a service time for a replica that has no measured one, from the times of similar replicas.
  double assumed_service_time(const std::vector<double>& similar) const {
    if (similar.empty()) return mean_service_time_;
    switch (assumption_) {
      case Assumption::optimistic:
        return *std::min_element(similar.begin(), similar.end());
      case Assumption::pessimistic:
        return *std::max_element(similar.begin(), similar.end());
      case Assumption::middle:
        break;
    }
    return std::accumulate(similar.begin(), similar.end(), 0.0) / static_cast<double>(similar.size());
  }

  // Fits the service time of each class by least squares over the reports. Ridge regularization pulls the
  // classes towards a common service time, which the record determines better than the differences between
  // classes.
  void fit_work() {
    const auto classes = deployment_.classes.size();
    std::vector<std::vector<double>> square(classes, std::vector<double>(classes));
    std::vector<double> right(classes), mix(classes);
    double operations = 0;
    for (std::size_t r = 0; r < history_.reports.size(); ++r) {
      const auto& report = history_.reports[r];
      if (!training_reports_.empty() && !training_reports_[r]) continue;
      double handled = 0, total_seconds = 0;
      for (const auto& line : report.replica_lines) {
        const auto n = static_cast<std::size_t>(line.replica);
        const double count = line.attempts - line.failed;
        const double mean = seconds(line.mean_latency);
        if (count <= 0 || is_cold(n, report.from) || mean > kQueueingLatencyFactor * service_times_[n])
          continue;
        handled += count;
        total_seconds += count * mean / fleet_.replicas[n].slowness;
      }
      double answered = 0;
      for (const auto& line : report.demand_lines)
        answered += line.operations - std::min(line.operations, line.unanswered);
      if (handled <= 0 || answered <= 0) continue;
      std::vector<double> shares(classes);
      for (const auto& line : report.demand_lines)
        shares[static_cast<std::size_t>(line.cls)] +=
            (line.operations - std::min(line.operations, line.unanswered)) / answered;
      operations += handled;
      for (std::size_t a = 0; a < classes; ++a) {
        mix[a] += handled * shares[a];
        right[a] += handled * shares[a] * (total_seconds / handled - mean_service_time_);
        for (std::size_t b = 0; b < classes; ++b) square[a][b] += handled * shares[a] * shares[b];
      }
    }
    const double ridge = 0.05 * operations + 1;
    for (std::size_t a = 0; a < classes; ++a) square[a][a] += ridge;
    fleet_.work = solve(std::move(square), std::move(right));
    for (auto& work : fleet_.work) work = std::max(work + mean_service_time_, mean_service_time_ / 4);
    // The fitted times still include queueing, so only their ratios are used: they are scaled to the mean.
    double mixed_mean = 0;
    for (std::size_t k = 0; k < classes; ++k)
      mixed_mean += mix[k] / std::max(1.0, operations) * fleet_.work[k];
    for (auto& work : fleet_.work) work *= mixed_mean > 0 ? mean_service_time_ / mixed_mean : 1;
  }

  // Solves a system of linear equations by Gaussian elimination without pivoting. The ridge term on the
  // diagonal keeps the system well-conditioned.
  static std::vector<double> solve(std::vector<std::vector<double>> square, std::vector<double> right) {
    const auto size = right.size();
    for (std::size_t k = 0; k < size; ++k) {
      for (std::size_t row = k + 1; row < size; ++row) {
        const double factor = square[row][k] / square[k][k];
        for (std::size_t col = k; col < size; ++col) square[row][col] -= factor * square[k][col];
        right[row] -= factor * right[k];
      }
    }
    for (std::size_t k = size; k-- > 0;) {
      for (std::size_t col = k + 1; col < size; ++col) right[k] -= square[k][col] * right[col];
      right[k] /= square[k][k];
    }
    return right;
  }

  // Fits the capacity at the start of the warm-up from the latencies of replicas that were warming up.
  void fit_warm_up() {
    const auto& settings = deployment_.settings;
    fleet_.warm_up_duration = settings.warm_up_duration;
    double sum = 0, weight = 0;
    for (std::size_t n = 0; n < lines_.size(); ++n) {
      for (const auto& line : training_lines_[n]) {
        const double handled = line.attempts - line.failed;
        const Nanos middle = (line.from + line.to) / 2;
        if (handled <= 0 || line.handled_seconds <= 0 || !is_cold(n, middle)) continue;
        for (const auto& listed : listed_[n]) {
          if (!listed.covers(middle) || !listed.started) continue;
          const double age =
              std::clamp(seconds(middle - *listed.started) / seconds(settings.warm_up_duration), 0.0, 1.0);
          const double capacity = service_times_[n] / (line.handled_seconds / handled);
          sum += handled * (1 - age) * (capacity - age);
          weight += handled * (1 - age) * (1 - age);
        }
      }
    }
    fleet_.cold_seen = weight > 5;
    fleet_.initial_warm_up_capacity =
        fleet_.cold_seen ? std::clamp(sum / weight, 0.05, 1.0) : settings.initial_warm_up_capacity;
  }

  // Fits how many failed attempts did not run, and how often clients repeat unanswered requests, from the
  // correlation of failed attempts, unanswered requests and all requests.
  void fit_clients() {
    const auto classes = deployment_.classes.size();
    const auto bins = static_cast<std::size_t>(history_.length / 1s) + 1;
    std::vector<double> failed(bins), unanswered(bins);
    std::vector<std::vector<double>> class_requests(classes, std::vector<double>(bins)),
        class_unanswered = class_requests;
    for (const auto& report : history_.reports) {
      const auto bin = static_cast<std::size_t>(std::max(report.to - 1ns, Nanos{}) / 1s);
      if (bin >= bins) continue;
      for (const auto& line : report.replica_lines) failed[bin] += line.failed;
      for (const auto& line : report.demand_lines) {
        const auto k = static_cast<std::size_t>(line.cls);
        class_requests[k][bin] += line.operations;
        class_unanswered[k][bin] += line.unanswered;
        unanswered[bin] += line.unanswered;
      }
    }
    // Failed attempts whose requests were answered nevertheless did not run. The ratio is taken over three
    // seconds, as a request may end in a later report than its attempt.
    not_run_ratios_.assign(bins, 0);
    for (std::size_t bin = 0; bin < bins; ++bin) {
      double failed_sum = 0, unanswered_sum = 0;
      for (std::size_t b = bin > 0 ? bin - 1 : 0; b < std::min(bins, bin + 2); ++b)
        failed_sum += failed[b], unanswered_sum += unanswered[b];
      not_run_ratios_[bin] = failed_sum > 0 ? std::clamp(1 - unanswered_sum / failed_sum, 0.0, 1.0) : 0;
    }
    fleet_.repeats.assign(classes, 0);
    for (std::size_t k = 0; k < classes; ++k) {
      const double mean_requests = std::accumulate(class_requests[k].begin(), class_requests[k].end(), 0.0) /
                                   static_cast<double>(bins);
      const double mean_unanswered =
          std::accumulate(class_unanswered[k].begin(), class_unanswered[k].end(), 0.0) /
          static_cast<double>(bins);
      double covariance = 0, variance = 0;
      for (std::size_t bin = 0; bin < bins; ++bin) {
        covariance += (class_requests[k][bin] - mean_requests) * (class_unanswered[k][bin] - mean_unanswered);
        variance +=
            (class_unanswered[k][bin] - mean_unanswered) * (class_unanswered[k][bin] - mean_unanswered);
      }
      // Too few unanswered requests do not show how often clients repeat them.
      if (variance > mean_requests)
        fleet_.repeats[k] = std::clamp(covariance / variance, 0.0, kMaxRepeatProbability);
    }
  }

  // Returns whether the bin's load may explain failures and latency. The simulation produces the effects of
  // load by itself, so only the remaining failures and slowness become spells.
  bool is_loaded(std::size_t n, const Evidence& bin) const {
    return bin.attempts * service_times_[n] / seconds(kBin) >
           kMaxUnloadedUtilization * fleet_.replicas[n].cores;
  }

  // Returns the factor on the service time that is due to a fault; 1 if there is none.
  double fault_slowdown(std::size_t n, const Evidence& bin, Nanos time) const {
    if (bin.handled < 0.2 || is_cold(n, time) || is_loaded(n, bin)) return 1;
    const double mean = bin.handled_seconds / bin.handled;
    return mean > kSlowLatencyFactor * service_times_[n] ? mean / service_times_[n] : 1;
  }

  // Returns the failure ratio that is due to a fault; 0 if there is none.
  double fault_failure_ratio(std::size_t n, const Evidence& bin, Nanos time) const {
    if (bin.failure_ratio < kNoiseFailureRatio) return 0;
    const bool explained =
        bin.failure_ratio < kMaxLoadFailureRatio && (is_loaded(n, bin) || is_cold(n, time));
    return explained ? 0 : bin.failure_ratio;
  }

  // Returns whether the endpoint list had the replica ready, with the same process, from `from` to `to`.
  bool ready_throughout(std::size_t n, Nanos from, Nanos to) const {
    return std::any_of(listed_[n].begin(), listed_[n].end(),
                       [&](const Listed& listed) { return listed.from <= from && to <= listed.to; });
  }

  // Finds the replica's fault spells from the bins that show a fault and from the gaps without attempts next
  // to such bins. The record has no evidence for a gap, so the assumption decides how much of the gap belongs
  // to the fault.
  void fit_spells(std::size_t n) {
    auto& spells = fleet_.replicas[n].spells;
    const auto& bins = evidence_[n];
    const auto start_time_of = [](std::size_t bin) { return static_cast<Nanos::rep>(bin) * kBin; };
    std::optional<std::size_t> last;
    double last_ratio = 0, unseen = 0, hang_ratio = 0;
    const auto add = [&](Nanos from, Nanos to, double failure_ratio, double slowdown) {
      const auto second = std::min(not_run_ratios_.size() - 1, static_cast<std::size_t>(from / 1s));
      add_spell(spells, {from, to, failure_ratio, slowdown, not_run_ratios_[second], hang_ratio});
    };
    for (std::size_t b = 0; b < bins.size(); ++b) {
      if (!bins[b].any()) continue;
      const double ratio = this->fault_failure_ratio(n, bins[b], start_time_of(b));
      if (last) {
        const Nanos from = start_time_of(*last + 1), to = start_time_of(b);
        if (to - from >= kMinGap && ready_throughout(n, from, to) &&
            (last_ratio >= kMinFaultFailureRatio || ratio >= kMinFaultFailureRatio)) {
          unseen += seconds(to - from);
          fill_gap(from, to, last_ratio, ratio, add);
        } else if (to > from && last_ratio > 0 && ratio > 0) {
          add(from, to, (last_ratio + ratio) / 2, 1);
        }
      }
      const double slowdown = fault_slowdown(n, bins[b], start_time_of(b));
      if (ratio >= kMinFaultFailureRatio && last_ratio < kMinFaultFailureRatio)
        hang_ratio = estimate_hang_ratio(n, b);
      if (ratio > 0 || slowdown > 1) add(start_time_of(b), start_time_of(b + 1), ratio, slowdown);
      last = b;
      last_ratio = ratio;
    }
    // The replica received no attempts after its last failure.
    if (last && last_ratio >= kMinFaultFailureRatio) {
      const Nanos from = start_time_of(*last + 1);
      for (const auto& listed : listed_[n]) {
        if (!listed.covers(from)) continue;
        unseen += seconds(listed.to - from);
        fill_gap(from, listed.to, last_ratio, 0, add);
      }
    }
    shift_starts(spells);
    fleet_.unseen += unseen / std::max(1e-9, seconds(history_.length) * static_cast<double>(lines_.size()));
  }

  // Appends the spell, or extends the last spell if the new one follows it directly and is similar.
  static void add_spell(std::vector<Spell>& spells, const Spell& spell) {
    if (spell.from >= spell.to) return;
    const auto similar = [](double left, double right) {
      return std::abs(left - right) <= 0.1 * std::max(left, right);
    };
    if (!spells.empty() && spells.back().to == spell.from &&
        similar(spells.back().failure_ratio, spell.failure_ratio) &&
        similar(spells.back().slowdown, spell.slowdown) &&
        similar(spells.back().not_run_ratio, spell.not_run_ratio)) {
      spells.back().to = spell.to;
    } else {
      spells.push_back(spell);
    }
  }

  // Returns the mean attempt timeout of the classes.
  Nanos attempt_timeout() const {
    Nanos sum{};
    for (const auto& cls : deployment_.settings.classes) sum += cls.latency_objective;
    return sum / static_cast<Nanos::rep>(std::max<std::size_t>(1, deployment_.settings.classes.size()));
  }

  // Estimates which share of the failed attempts hung. An attempt that hangs is counted at its timeout, so
  // there is a gap in the attempts before the first counted failure; attempts that fail at once leave no gap.
  // `first_failure` is the first bin with failures.
  double estimate_hang_ratio(std::size_t n, std::size_t first_failure) const {
    if (assumption_ != Assumption::middle) return assumption_ == Assumption::pessimistic ? 1 : 0;
    if (!healthy_sums_[n].any()) return 0.5;
    const auto& bins = evidence_[n];
    const auto gap_bins = std::max<std::size_t>(1, static_cast<std::size_t>(attempt_timeout() / kBin));
    const auto report_bins = static_cast<std::size_t>(deployment_.settings.report_interval / kBin);
    const double expected = healthy_sums_[n].rate() * seconds(kBin) * static_cast<double>(gap_bins);
    // The position of the gap is uncertain by the span of a report. The function uses the window with the
    // fewest attempts within that range.
    double lowest_ratio = 1;
    for (auto from = first_failure - std::min(first_failure, gap_bins + report_bins);
         from + gap_bins <= std::min(bins.size(), first_failure + report_bins); ++from) {
      double attempts = 0;
      for (auto b = from; b < from + gap_bins; ++b) attempts += bins[b].attempts;
      lowest_ratio = std::min(lowest_ratio, attempts / expected);
    }
    return std::clamp((kImmediateFailureGap - lowest_ratio) / (kImmediateFailureGap - kHangGap), 0.0, 1.0);
  }

  // Moves the start of failure spells back by the timeout of hanging attempts, which are counted at their
  // timeout.
  void shift_starts(std::vector<Spell>& spells) const {
    for (auto& spell : spells) {
      if (spell.failure_ratio < kMinFaultFailureRatio) continue;
      const double hung_share = spell.hang_ratio * (1 - spell.not_run_ratio);
      spell.from -= Nanos(std::llround(hung_share * static_cast<double>(attempt_timeout().count())));
    }
    for (std::size_t n = 1; n < spells.size(); ++n)
      spells[n - 1].to = std::min(spells[n - 1].to, std::max(spells[n - 1].from, spells[n].from));
  }

  // Adds spells for a gap without attempts of which one neighbouring bin, or both, show failures. If only one
  // does, the failures cover none of the gap (optimistic), half of it (middle) or all of it (pessimistic).
  template <typename Add>
  void fill_gap(Nanos from, Nanos to, double before, double after, Add add) const {
    if (assumption_ == Assumption::optimistic) return;
    const Nanos middle = from + (to - from) / 2;
    if (before >= kMinFaultFailureRatio && after >= kMinFaultFailureRatio) {
      add(from, to, (before + after) / 2, 1);
    } else if (before >= kMinFaultFailureRatio) {
      add(from, assumption_ == Assumption::pessimistic ? to : middle, before, 1);
    } else {
      add(assumption_ == Assumption::pessimistic ? from : middle, to, after, 1);
    }
  }

  void fit_push_time() {
    std::vector<double> durations;
    for (const auto& applied : history_.applied) durations.push_back(seconds(applied.took));
    fleet_.push_time = Nanos(std::llround(std::clamp(median(std::move(durations)), 0.01, 10.0) * 1e9));
  }

  const History& history_;
  const Deployment& deployment_;
  const Assumption assumption_;
  const std::vector<bool>& training_reports_;
  Fleet fleet_;
  std::vector<std::vector<Listed>> listed_;
  std::vector<std::vector<ReplicaReport>> lines_, training_lines_;
  std::vector<std::vector<Evidence>> evidence_;
  std::vector<double> not_run_ratios_;  // by second: share of the fleet's failed attempts that did not run
  std::vector<HealthySums> healthy_sums_;
  std::vector<double> service_times_;  // by replica: service time of an attempt in seconds
  // Mean service time in seconds over the replicas with a measured service time.
  double mean_service_time_ = kFallbackWork;
};

}  // namespace

Fleet fit(const History& history, const Deployment& deployment, Assumption assumption,
          const std::vector<bool>& training_reports) {
  return Fitting(history, deployment, assumption, training_reports).fit();
}

}  // namespace ospreypost::simulation
