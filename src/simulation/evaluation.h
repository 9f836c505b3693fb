// What another setting would have done, with how far the model is to be believed: its error on the recorded
// setting first, then bounds where the record cannot tell. Pure.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/simulated_run.h"

namespace ospreypost::simulation {

// The model beside the record, over stretches that taught it no standing figure.
struct ModelError {
  Nanos stretch{};
  std::size_t stretches = 0;
  double recorded = 0, modelled = 0;  // share of the worth asked for that was answered, over all of them
  double mean = 0;                    // of modelled - recorded over the stretches
  double root_mean_square = 0;
  double worst = 0;  // the furthest off
};

struct BoundedFigure {
  double least = 0, figure = 0, most = 0;
  double spread = 0;  // standard deviation of the figure from draw to draw
};

struct RuleResult {
  std::string name;
  std::size_t kept = 0, days = 0;  // of the days that were played
  std::string worst;               // figures of a day that broke it, or of the first
};

struct Evaluation {
  std::string label;
  BoundedFigure service, worst_window;
  std::vector<RuleResult> rules;
  SimulatedRun run;     // one of those that the figure is the mean of, to look at
  double messages = 0;  // mean
};

struct EvaluationOptions {
  std::size_t draws = 5;  // days played for each assumption
  // Called before each day that is played, with how many there were and will be; may be empty.
  std::function<void(std::size_t done, std::size_t all)> progress;
};

ModelError measure_model_error(const History& history, const Deployment& recorded,
                               const EvaluationOptions& options);

// The fleet of a record, under each assumption; the same whatever is asked about it.
struct FittedFleets {
  Fleet middle, optimistic, pessimistic;
};
FittedFleets fit_all_assumptions(const History& history, const Deployment& recorded);

// `fitted`: of the same record by `recorded`; `other` is what is asked about. Throws std::invalid_argument if
// the two do not name the same proxies and classes.
Evaluation evaluate(const History& history, const FittedFleets& fitted, const Deployment& recorded,
                    const Deployment& other, const std::string& label, const EvaluationOptions& options);

}  // namespace ospreypost::simulation
