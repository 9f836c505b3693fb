// Plays a scripted day against a real governor and has the judge look at it.
#pragma once

#include <functional>
#include <string>

#include "checker/invariant_checker.h"
#include "fakes/proxy.h"
#include "scenario/scenario.h"

namespace ospreypost::scenario {

struct ScenarioResult {
  checker::CheckResult check_result;
  std::vector<std::pair<Nanos, std::string>> timeline;  // from the day's beginning
  std::vector<double> service_by_second;
  Nanos stop_duration{};  // of the governor, when asked to end
  std::string folder;
};

struct RunOptions {
  std::string program;         // the governor's executable
  std::string folder;          // empty: one of its own, removed afterwards
  bool equal_weights = false;  // no governor: all replicas, equal weights; only the service means anything
  fakes::InjectedDefects defects;
  // Changes the governor's configuration behind the judge's back; may be empty.
  std::function<std::string(std::string)> change_configuration;
  // Called as things happen; may be empty.
  std::function<void(Nanos, const std::string&)> on_event;
};

// Throws config::Faulty or net::Error.
ScenarioResult run_scenario(const Scenario& script, const RunOptions& options);

}  // namespace ospreypost::scenario
