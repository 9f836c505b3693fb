/// Steps replicas' weights toward equal load, as they report it.
#pragma once

#include <optional>

#include "policy/load_signal.h"
#include "policy/replica.h"

namespace ospreypost::policy {

class LoadFeedback {
 public:
  explicit LoadFeedback(const LoadSignal& signal) : signal_(signal) {}
  /// Moves the load step of each replica that is off the mean, once in several iterations of the control
  /// loop.
  void adjust(ReplicaMap& replicas, Nanos evidence_time, unsigned iteration) const;

 private:
  std::optional<double> comparable_load(const Replica& replica, Nanos evidence_time) const;

  const LoadSignal& signal_;
};

}  // namespace ospreypost::policy
