/// What a record's replicas are called in a scenario.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "replay/scenario_source.h"

namespace ospreypost::replay {

/// A scenario lists alike replicas together and calls each by its zone and a number.
class ReplicaNames {
 public:
  explicit ReplicaNames(const ScenarioSource& source);

  /// Positions of replicas of one zone, hardware kind, number of cores and speed; each group, and all of
  /// them, in the order of the record.
  const std::vector<std::vector<std::size_t>>& groups() const { return groups_; }
  /// Names in the scenario by those in the record.
  const std::map<std::string, std::string>& by_recorded_name() const { return by_recorded_name_; }
  const std::string& name_of(ReplicaId replica) const;

 private:
  const ScenarioSource& source_;
  std::vector<std::vector<std::size_t>> groups_;
  std::map<std::string, std::string> by_recorded_name_;
};

}  // namespace ospreypost::replay
