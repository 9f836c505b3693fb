/// Corrects replicas' weights step by step so that their reported loads become equal.
#pragma once

#include <optional>

#include "policy/load_signal.h"
#include "policy/replica.h"

namespace ospreypost::policy {

class LoadFeedback {
 public:
  explicit LoadFeedback(const LoadSignal& signal) : signal_(signal) {}
  /// Adjusts the load correction of each replica whose load is far from the mean.
  /// Has an effect only once in several iterations of the control loop; `iteration` is their running number.
  void adjust(ReplicaMap& replicas, Nanos evidence_time, unsigned iteration) const;

 private:
  std::optional<double> comparable_load(const Replica& replica, Nanos evidence_time) const;

  const LoadSignal& signal_;
};

}  // namespace ospreypost::policy
