/// Which reported value tells of a replica's load, and how it gets here.
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

  /// Whether any reported column tells of load.
  bool is_reported() const { return column_.has_value(); }
  /// The column counts requests, so it means more on a small replica; else it is a utilization.
  bool is_count() const { return is_count_; }
  bool needs_health_checks() const { return needs_health_checks_; }

  /// Takes what came with a report or a health check.
  void record(Replica& replica, const std::vector<float>& load, const EvidenceClock& clock) const;
  /// Mean load as reported, by weight where it is a count. Empty where none came.
  std::optional<double> reported_load(const Replica& replica, Nanos evidence_time) const;

 private:
  std::optional<std::size_t> column_;
  bool is_count_ = false;
  bool needs_health_checks_ = false;
};

}  // namespace ospreypost::policy
