/// Helpers for durations and sums.
#pragma once

#include <numeric>
#include <vector>

#include "policy/types.h"

namespace ospreypost::policy {

/// A list with one value for each zone, block or class.
using Values = std::vector<double>;

/// Lower bound for divisors that are 0 before the first observation.
inline constexpr double kTiny = 1e-9;

inline double to_seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }
inline Nanos from_seconds(double seconds) { return Nanos(static_cast<Nanos::rep>(seconds * 1e9)); }
inline double sum_of(const Values& values) { return std::accumulate(values.begin(), values.end(), 0.0); }

}  // namespace ospreypost::policy
