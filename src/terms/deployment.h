// Derives the deployment that a simulated day runs from a configuration.
#pragma once

#include "config/config.h"
#include "simulation/fleet.h"

namespace ospreypost::terms {

simulation::Deployment deployment_of(const config::Config& config);

}  // namespace ospreypost::terms
