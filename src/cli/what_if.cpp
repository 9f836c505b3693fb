#include <unistd.h>

#include <cmath>
#include <cstdio>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "cli/commands.h"
#include "config/config.h"
#include "record/reader.h"
#include "replay/history.h"
#include "report/page.h"
#include "simulation/evaluation.h"
#include "terms/deployment.h"

namespace ospreypost::cli {
namespace {

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

// Shows the progress only if standard error is a terminal, so that files get none of it.
void show_progress(const std::string& label, std::size_t done, std::size_t all) {
  if (!::isatty(STDERR_FILENO)) return;
  std::fprintf(stderr, "\r%-40s %3zu of %zu days\033[K", label.c_str(), done, all);
  if (done + 1 == all) std::fprintf(stderr, "\r\033[K");
}

void print(const simulation::History& history, const simulation::ModelError& error,
           const std::vector<simulation::Evaluation>& evaluations) {
  std::printf("recorded: %.1f s, %zu lives of a governor, %zu reports, %zu replicas\n",
              seconds(history.length), history.lives.size(), history.reports.size(), history.replicas.size());
  if (history.lost + history.damaged > 0) {
    std::printf("partial: %llu calls were not kept, %llu stretches are damaged; the model lacks them\n",
                static_cast<unsigned long long>(history.lost),
                static_cast<unsigned long long>(history.damaged));
  }
  if (history.guessed > 0)
    std::printf("of an older schema: %llu lines do not say whose they are, or how late\n",
                static_cast<unsigned long long>(history.guessed));
  std::printf("recorded, as its reports count: %.3f of the worth asked for was answered\n", error.recorded);
  std::printf(
      "the model, on the recorded setting, held out in stretches of %.0f s: %.3f; off by %+.3f in the mean, "
      "%.3f root mean square, %+.3f at worst, over %zu stretches\n",
      seconds(error.stretch), error.modelled, error.mean, error.root_mean_square, error.worst,
      error.stretches);
  std::printf("modelled, not measured:\n");
  std::printf("  %-24s %-31s %-23s %-9s %s\n", "setting", "service (bounds; spread)", "worst 10 s (bounds)",
              "messages", "rules kept, of days");
  for (const auto& evaluation : evaluations) {
    std::string rules;
    for (const auto& rule : evaluation.rules) {
      if (rule.kept < rule.days)
        rules += (rules.empty() ? "" : ", ") + rule.name + " " + std::to_string(rule.kept) + "/" +
                 std::to_string(rule.days);
    }
    std::printf("  %-24s %.3f (%.3f to %.3f; %.3f)  %.3f (%.3f to %.3f)  %8.0f  %s\n",
                evaluation.label.c_str(), evaluation.service.figure, evaluation.service.least,
                evaluation.service.most, evaluation.service.spread, evaluation.worst_window.figure,
                evaluation.worst_window.least, evaluation.worst_window.most, evaluation.messages,
                rules.empty() ? "all" : rules.c_str());
  }
}

nlohmann::json json_of(const simulation::BoundedFigure& bounded) {
  return {{"figure", bounded.figure},
          {"least", bounded.least},
          {"most", bounded.most},
          {"spread", bounded.spread}};
}

nlohmann::json json_of(const std::vector<simulation::ReportedService>& counts) {
  auto rows = nlohmann::json::array();
  for (const auto& second : counts) rows.push_back({second.worth, second.unanswered});
  return rows;
}

nlohmann::json json_of(const simulation::History& history, const simulation::Deployment& recorded,
                       const simulation::Fleet& fleet) {
  nlohmann::json json = {
      {"variation", fleet.variation},          {"cold-share", fleet.initial_warm_up_capacity},
      {"cold-seen", fleet.cold_seen},          {"cores-seen", fleet.cores_seen},
      {"push-time", seconds(fleet.push_time)}, {"unseen", fleet.unseen}};
  for (std::size_t k = 0; k < fleet.work.size(); ++k)
    json["classes"][recorded.classes[k]] = {{"work", fleet.work[k]}, {"repeats", fleet.repeats[k]}};
  for (std::size_t n = 0; n < fleet.replicas.size(); ++n) {
    const auto& replica = fleet.replicas[n];
    auto spells = nlohmann::json::array();
    for (const auto& spell : replica.spells)
      spells.push_back({seconds(spell.from), seconds(spell.to), spell.failure_ratio, spell.slowdown,
                        spell.not_run_ratio, spell.hang_ratio});
    json["replicas"][history.replicas[n]] = {
        {"slowness", replica.slowness}, {"cores", replica.cores}, {"seen", replica.seen}, {"spells", spells}};
  }
  return json;
}

// Returns the recorded and the modelled results as separate objects.
nlohmann::json json_of(const simulation::History& history, const simulation::Deployment& recorded,
                       const simulation::ModelError& error, const simulation::Fleet& fleet,
                       const std::vector<simulation::Evaluation>& evaluations) {
  nlohmann::json json;
  json["recorded"] = {
      {"seconds", seconds(history.length)},
      {"lives", history.lives.size()},
      {"reports", history.reports.size()},
      {"replicas", history.replicas},
      {"lost", history.lost},
      {"damaged", history.damaged},
      {"guessed", history.guessed},
      {"answered", error.recorded},
      {"worth-and-unanswered-by-second", json_of(simulation::reported_service(history, recorded))}};
  auto& modelled = json["modelled"];
  modelled["error"] = {{"stretch", seconds(error.stretch)}, {"stretches", error.stretches},
                       {"answered", error.modelled},        {"mean", error.mean},
                       {"rms", error.root_mean_square},     {"worst", error.worst}};
  modelled["fleet"] = json_of(history, recorded, fleet);
  for (const auto& evaluation : evaluations) {
    auto rules = nlohmann::json::array();
    for (const auto& rule : evaluation.rules)
      rules.push_back({{"rule", rule.name}, {"kept", rule.kept}, {"days", rule.days}, {"worst", rule.worst}});
    auto withdrawals = nlohmann::json::array();
    for (const auto& withdrawal : evaluation.run.withdrawals) {
      withdrawals.push_back({{"at", seconds(withdrawal.at)},
                             {"replica", history.replicas.at(static_cast<std::size_t>(withdrawal.replica))},
                             {"out", withdrawal.out}});
    }
    auto shares = nlohmann::json::array();
    for (const auto& share : evaluation.run.shares)
      shares.push_back({{"at", seconds(share.at)}, {"share", share.by_replica}});
    modelled["settings"].push_back({{"setting", evaluation.label},
                                    {"service", json_of(evaluation.service)},
                                    {"worst-10-s", json_of(evaluation.worst_window)},
                                    {"messages", evaluation.messages},
                                    {"rules", rules},
                                    {"service-by-second", evaluation.run.service},
                                    {"worth-and-unanswered-by-second", json_of(evaluation.run.reported)},
                                    {"withdrawals", withdrawals},
                                    {"shares", shares}});
  }
  return json;
}

}  // namespace

int what_if(const WhatIfOptions& options) {
  const auto history = replay::read_history(record::list_files(options.records));
  const auto recorded =
      terms::deployment_of(config::parse_config(history.configuration, "the recorded configuration"));
  simulation::EvaluationOptions model_options;
  model_options.draws = options.draws;
  std::string label = "the model's error";
  model_options.progress = [&](std::size_t done, std::size_t all) { show_progress(label, done, all); };
  try {
    const auto error = simulation::measure_model_error(history, recorded, model_options);
    std::vector<simulation::Evaluation> evaluations;
    label = "as recorded";
    const auto fitted = simulation::fit_all_assumptions(history, recorded);
    evaluations.push_back(simulation::evaluate(history, fitted, recorded, recorded, label, model_options));
    for (const auto& path : options.settings) {
      label = std::filesystem::path(path).stem().string();
      evaluations.push_back(simulation::evaluate(
          history, fitted, recorded, terms::deployment_of(config::read_config(path)), label, model_options));
    }
    if (!options.report.empty()) report::write_page(options.report, {history, error, evaluations});
    if (options.json) {
      std::printf("%s\n", json_of(history, recorded, error, fitted.middle, evaluations).dump().c_str());
    } else {
      print(history, error, evaluations);
    }
  } catch (const std::invalid_argument& error) {
    throw config::ConfigError(label + ": " + error.what());
  }
  return 0;
}

}  // namespace ospreypost::cli
