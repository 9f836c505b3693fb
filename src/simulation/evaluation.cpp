#include "simulation/evaluation.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace ospreypost::simulation {
namespace {

using namespace std::chrono_literals;

// Minimum length of a record for stretches of a minute in the measurement of the model's error. A shorter
// record is divided into stretches of 5 s.
constexpr Nanos kMinLengthForMinuteStretches = 4min;

double mean_of(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) sum += value;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double deviation_of(const std::vector<double>& values) {
  const double mean = mean_of(values);
  double sum = 0;
  for (const double value : values) sum += (value - mean) * (value - mean);
  return values.size() < 2 ? 0 : std::sqrt(sum / static_cast<double>(values.size() - 1));
}

struct Stretch {
  ReportedService recorded, modelled;
  static double answered_share(const ReportedService& reported) {
    return 1 - reported.unanswered / reported.worth;
  }
};

void check_same_names(const Deployment& recorded, const Deployment& other) {
  if (recorded.proxies != other.proxies)
    throw std::invalid_argument("the configuration names other proxies than the record");
  if (recorded.classes != other.classes)
    throw std::invalid_argument("the configuration names other classes than the record");
  if (recorded.zones != other.zones)
    throw std::invalid_argument("the configuration names other zones than the record");
}

}  // namespace

ModelError measure_model_error(const History& history, const Deployment& recorded,
                               const EvaluationOptions& options) {
  ModelError error;
  error.stretch = history.length >= kMinLengthForMinuteStretches ? Nanos(1min) : Nanos(5s);
  const auto per_stretch = static_cast<std::size_t>(error.stretch / 1s);
  const auto recorded_seconds = reported_service(history, recorded);
  std::vector<Stretch> stretches(recorded_seconds.size() / per_stretch + 1);
  for (std::size_t second = 0; second < recorded_seconds.size(); ++second) {
    stretches[second / per_stretch].recorded.worth += recorded_seconds[second].worth;
    stretches[second / per_stretch].recorded.unanswered += recorded_seconds[second].unanswered;
  }
  // The model is fitted from every second stretch and compared with the record on the other stretches. The
  // halves then change places.
  std::size_t done = 0;
  for (const std::size_t half : {0, 1}) {
    std::vector<bool> training_reports;
    for (const auto& report : history.reports)
      training_reports.push_back(
          static_cast<std::size_t>(std::max(report.from, Nanos{}) / error.stretch) % 2 == half);
    const auto fleet = fit(history, recorded, Assumption::middle, training_reports);
    for (std::size_t draw = 0; draw < options.draws; ++draw) {
      if (options.progress) options.progress(done++, 2 * options.draws);
      const auto run = simulate(history, recorded, fleet, static_cast<std::uint32_t>(1 + draw));
      for (std::size_t second = 0; second < run.reported.size(); ++second) {
        const auto stretch = second / per_stretch;
        if (stretch % 2 == half || stretch >= stretches.size()) continue;
        stretches[stretch].modelled.worth += run.reported[second].worth;
        stretches[stretch].modelled.unanswered += run.reported[second].unanswered;
      }
    }
  }
  std::vector<double> differences;
  ReportedService all_recorded, all_modelled;
  double squares = 0;
  for (const auto& stretch : stretches) {
    if (stretch.recorded.worth <= 0 || stretch.modelled.worth <= 0) continue;
    differences.push_back(Stretch::answered_share(stretch.modelled) -
                          Stretch::answered_share(stretch.recorded));
    squares += differences.back() * differences.back();
    if (std::abs(differences.back()) > std::abs(error.worst)) error.worst = differences.back();
    all_recorded.worth += stretch.recorded.worth;
    all_recorded.unanswered += stretch.recorded.unanswered;
    all_modelled.worth += stretch.modelled.worth;
    all_modelled.unanswered += stretch.modelled.unanswered;
  }
  error.stretches = differences.size();
  if (differences.empty()) return error;
  error.mean = mean_of(differences);
  error.root_mean_square = std::sqrt(squares / static_cast<double>(differences.size()));
  error.recorded = Stretch::answered_share(all_recorded);
  error.modelled = Stretch::answered_share(all_modelled);
  return error;
}

FittedFleets fit_all_assumptions(const History& history, const Deployment& recorded) {
  return {fit(history, recorded, Assumption::middle), fit(history, recorded, Assumption::optimistic),
          fit(history, recorded, Assumption::pessimistic)};
}

Evaluation evaluate(const History& history, const FittedFleets& fitted, const Deployment& recorded,
                    const Deployment& other, const std::string& label, const EvaluationOptions& options) {
  check_same_names(recorded, other);
  Evaluation evaluation;
  evaluation.label = label;
  std::size_t done = 0;
  for (const auto* fleet : {&fitted.middle, &fitted.optimistic, &fitted.pessimistic}) {
    const bool middle = fleet == &fitted.middle;
    std::vector<double> services, windows, messages;
    for (std::size_t draw = 0; draw < options.draws; ++draw) {
      if (options.progress) options.progress(done++, 3 * options.draws);
      auto run = simulate(history, other, *fleet, static_cast<std::uint32_t>(1 + draw));
      services.push_back(run.verdict.service.score());
      windows.push_back(run.verdict.service.worst_window);
      messages.push_back(static_cast<double>(run.messages));
      if (evaluation.rules.empty()) {
        for (const auto& rule : run.verdict.rules)
          evaluation.rules.push_back({rule.name, 0, 0, rule.figures});
      }
      for (std::size_t r = 0; r < evaluation.rules.size(); ++r) {
        auto& rule = evaluation.rules[r];
        const auto& result = run.verdict.rules[r];
        if (!result.kept && rule.kept == rule.days) rule.worst = result.figures;
        rule.kept += result.kept;
        ++rule.days;
      }
      if (middle && draw == 0) evaluation.run = std::move(run);
    }
    const double service = mean_of(services), window = mean_of(windows);
    if (middle) {
      evaluation.service = {service, service, service, deviation_of(services)};
      evaluation.worst_window = {window, window, window, deviation_of(windows)};
      evaluation.messages = mean_of(messages);
    }
    evaluation.service.least = std::min(evaluation.service.least, service);
    evaluation.service.most = std::max(evaluation.service.most, service);
    evaluation.worst_window.least = std::min(evaluation.worst_window.least, window);
    evaluation.worst_window.most = std::max(evaluation.worst_window.most, window);
  }
  return evaluation;
}

}  // namespace ospreypost::simulation
