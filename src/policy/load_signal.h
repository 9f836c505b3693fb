/// Selects which column of load reports measures a replica's load, and how these reports are obtained.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "policy/replica.h"
#include "policy/settings.h"

namespace ospreypost::policy {

class LoadSignal {
 public:
  explicit LoadSignal(const Settings& settings);

  /// Returns whether any reported column measures load.
  bool is_reported() const { return column_.has_value(); }
  /// Returns true if the column is a number of requests, which has to be divided by the replica's weight.
  /// Returns false if the column is a utilization.
  bool is_count() const { return is_count_; }
  bool needs_health_checks() const { return needs_health_checks_; }

  /// Adds the load columns of a load report or a health check result to a replica's outcomes.
  void record(Replica& replica, const std::vector<float>& load, const EvidenceClock& clock) const;
  /// Returns the recent mean of a replica's reported load, divided by the replica's weight if the load is a
  /// number of requests. Empty without recent reports.
  std::optional<double> reported_load(const Replica& replica, Nanos evidence_time) const;

 private:
  std::optional<std::size_t> column_;
  bool is_count_ = false;
  bool needs_health_checks_ = false;
};

}  // namespace ospreypost::policy
