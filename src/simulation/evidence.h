// When a replica failed, told from counts over spans that overlap: each proxy's line covers a span of its
// own, and a failure lies somewhere in it. Pure.
#pragma once

#include <optional>
#include <vector>

#include "simulation/history.h"

namespace ospreypost::simulation {

inline constexpr Nanos kBin = std::chrono::milliseconds(200);

// One proxy's line about the replica.
struct ReplicaReport {
  Nanos from{}, to{};
  double attempts = 0, failed = 0;
  double handled_seconds = 0;
  std::optional<double> util;
};

// One bin of a replica's time.
struct Evidence {
  double attempts = 0, handled = 0, handled_seconds = 0;
  double failure_ratio = 0;  // share of the tries, 0 to 1
  double util = 0, utils = 0;
  bool any() const { return attempts > 1e-9; }
};

// By bins from 0 to `length`. Lines that overlap are brought to agree (Richardson 1972, Lucy 1974: shares of
// the bins are scaled, again and again, by how much more each line counted than they come to).
std::vector<Evidence> evidence_of(const std::vector<ReplicaReport>& lines, Nanos length);

}  // namespace ospreypost::simulation
