// What a configuration promises, as the judge measures it.
#pragma once

#include "config/config.h"
#include "checker/invariant_checker.h"

namespace ospreypost::terms {

checker::Limits limits_of(const config::Config& config);

}  // namespace ospreypost::terms
