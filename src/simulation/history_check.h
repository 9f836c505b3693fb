// Whether a record can be asked about with a deployment. Pure.
#pragma once

#include "simulation/fleet.h"

namespace ospreypost::simulation {

// Bins of all replicas, time and operations that a record may come to; a longer one is to be cut first.
inline constexpr std::size_t kMostBins = 16'000'000;
inline constexpr Nanos kLongestRecord = std::chrono::hours(24 * 7);
inline constexpr std::uint64_t kMostOperations = 20'000'000;

// Throws std::invalid_argument if the record names proxies, classes or zones that the deployment has not, or
// is too long.
void check_history(const History& history, const Deployment& deployment);

}  // namespace ospreypost::simulation
