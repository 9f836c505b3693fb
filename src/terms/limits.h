// Derives the limits that the invariant checker checks from a configuration.
#pragma once

#include "checker/invariant_checker.h"
#include "config/config.h"

namespace ospreypost::terms {

checker::Limits limits_of(const config::Config& config);

}  // namespace ospreypost::terms
