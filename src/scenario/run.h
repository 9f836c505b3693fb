// Runs a scenario against a real control plane process and checks the trace with the invariant checker.
#pragma once

#include <functional>
#include <string>

#include "checker/invariant_checker.h"
#include "fakes/proxy.h"
#include "scenario/scenario.h"

namespace ospreypost::scenario {

struct ScenarioResult {
  checker::CheckResult check_result;
  // Events with their times since the start of the scenario.
  std::vector<std::pair<Nanos, std::string>> timeline;
  std::vector<double> service_by_second;
  Nanos stop_duration{};  // time that the control plane took to exit after SIGTERM
  std::string folder;
};

struct RunOptions {
  std::string program;  // path of the executable of the control plane
  std::string folder;   // folder for the files of the run; empty: a temporary folder, removed after the run
  // Runs without a control plane: all proxies use all replicas with equal weights, and the rules have no
  // meaning.
  bool equal_weights = false;
  fakes::InjectedDefects defects;
  // Changes the configuration that the control plane reads, but not the limits that the checker applies; may
  // be empty.
  std::function<std::string(std::string)> change_configuration;
  // Called after each event with its time and description; may be empty.
  std::function<void(Nanos, const std::string&)> on_event;
};

// Throws config::ConfigError if a name in the scenario is unknown, net::Error if a process or address isn't
// available.
ScenarioResult run_scenario(const Scenario& scenario, const RunOptions& options);

}  // namespace ospreypost::scenario
