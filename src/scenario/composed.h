// Composed elements of a scenario file. Each element stands for several faults: a deploy, for instance, for a
// drain of each batch of replicas in turn.
#pragma once

#include <vector>

#include "scenario/scenario.h"

namespace ospreypost::scenario {

bool is_composed(const config::Element& element);
// Returns the faults of a composed element. The fleet of `scenario` must be complete. Throws
// config::ConfigError if the element is invalid.
std::vector<Fault> compose(const config::Element& element, const Scenario& scenario);

}  // namespace ospreypost::scenario
