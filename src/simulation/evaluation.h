// Estimates how another configuration would have served the recorded traffic. Each figure has bounds for
// events that the record leaves open, and the model's error on the recorded configuration is measured too.
// Nothing here has side effects.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/simulated_run.h"

namespace ospreypost::simulation {

// Difference between the model and the record over stretches of time whose reports were left out of the fit
// of work, speed, cores and warm-up.
struct ModelError {
  Nanos stretch{};  // length of one stretch
  std::size_t stretches = 0;
  double recorded = 0, modelled = 0;  // answered share of the requests' priority weight, over all stretches
  double mean = 0;                    // of modelled - recorded over the stretches
  double root_mean_square = 0;
  double worst = 0;  // the difference with the largest absolute value
};

struct BoundedFigure {
  double least = 0, figure = 0, most = 0;
  double spread = 0;  // standard deviation of the figure over the random draws
};

struct RuleResult {
  std::string name;
  std::size_t kept = 0, days = 0;  // number of runs that kept the rule, and of all runs
  std::string worst;               // figures of the first run that broke the rule, else of the first run
};

struct Evaluation {
  std::string label;
  BoundedFigure service, worst_window;
  std::vector<RuleResult> rules;
  SimulatedRun run;     // the first of the runs that the figures are the mean of, for plots
  double messages = 0;  // mean number per run
};

struct EvaluationOptions {
  std::size_t draws = 5;  // number of simulated runs for each assumption
  // Called before each simulated run with the number of finished runs and of all runs; may be empty.
  std::function<void(std::size_t done, std::size_t all)> progress;
};

ModelError measure_model_error(const History& history, const Deployment& recorded,
                               const EvaluationOptions& options);

// Models of the recorded fleet, one for each assumption. The same models serve for the evaluation of any
// deployment.
struct FittedFleets {
  Fleet middle, optimistic, pessimistic;
};
FittedFleets fit_all_assumptions(const History& history, const Deployment& recorded);

// `fitted` must come from the same `history` and `recorded`; `other` is the deployment to evaluate. Throws
// std::invalid_argument if `recorded` and `other` do not name the same proxies, classes and zones.
Evaluation evaluate(const History& history, const FittedFleets& fitted, const Deployment& recorded,
                    const Deployment& other, const std::string& label, const EvaluationOptions& options);

}  // namespace ospreypost::simulation
