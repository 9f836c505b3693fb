// Estimates when a replica failed, from counts over spans that overlap: each proxy's report covers a span of
// its own, and the time of a failure within the span is unknown. The estimate has no side effects.
#pragma once

#include <optional>
#include <vector>

#include "simulation/history.h"

namespace ospreypost::simulation {

// Length of the time bins into which the evidence of a replica is divided.
inline constexpr Nanos kBin = std::chrono::milliseconds(200);

// Results of one proxy's attempts at the replica over a span.
struct ReplicaReport {
  Nanos from{}, to{};
  double attempts = 0, failed = 0;
  double handled_seconds = 0;
  std::optional<double> util;
};

// Estimated results of all attempts at a replica in one bin of time.
struct Evidence {
  double attempts = 0, handled = 0, handled_seconds = 0;
  double failure_ratio = 0;    // failed attempts per attempt, 0 to 1
  double util = 0, utils = 0;  // weighted sum of the reported utilization; sum of the weights
  bool any() const { return attempts > 1e-9; }
};

// Returns one entry for each bin from 0 to `length`. Reports that overlap are reconciled by the
// Richardson-Lucy algorithm (Richardson 1972, Lucy 1974): each iteration scales the failure ratios of the
// bins by the ratio of the failures that a report counted to the failures that the bins predict for the
// report.
std::vector<Evidence> evidence_of(const std::vector<ReplicaReport>& reports, Nanos length);

}  // namespace ospreypost::simulation
