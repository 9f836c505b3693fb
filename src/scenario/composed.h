// Elements of a day file that stand for many troubles: a deploy is a drain for each replica in its turn.
#pragma once

#include <vector>

#include "scenario/scenario.h"

namespace ospreypost::scenario {

bool is_composed(const config::Element& element);
// Throws config::Faulty. The script must have its fleet.
std::vector<Fault> compose(const config::Element& element, const Scenario& script);

}  // namespace ospreypost::scenario
