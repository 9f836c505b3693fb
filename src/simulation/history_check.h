// Checks that a record can be simulated with a deployment. The check has no side effects.
#pragma once

#include "simulation/fleet.h"

namespace ospreypost::simulation {

// Maximum number of evidence bins over all replicas, maximum length of a record, and maximum number of
// requests in it. A larger record must be cut before it is simulated.
inline constexpr std::size_t kMaxBins = 16'000'000;
inline constexpr Nanos kMaxRecordLength = std::chrono::hours(24 * 7);
inline constexpr std::uint64_t kMaxOperations = 20'000'000;

// Throws std::invalid_argument if the record names proxies, classes or zones that the deployment does not
// have, or if the record exceeds one of the limits above.
void check_history(const History& history, const Deployment& deployment);

}  // namespace ospreypost::simulation
