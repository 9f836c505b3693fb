/// Names in a scenario for the replicas of a record.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "replay/scenario_source.h"

namespace ospreypost::replay {

/// Groups replicas with the same properties, as a scenario lists them, and names each replica by its zone and
/// a number.
class ReplicaNames {
 public:
  explicit ReplicaNames(const ScenarioSource& source);

  /// Groups of replica positions. The replicas of a group have the same zone, hardware kind, number of cores
  /// and speed. The groups, and the replicas of each group, are in the order of the record.
  const std::vector<std::vector<std::size_t>>& groups() const { return groups_; }
  /// Maps the name of a replica in the record to its name in the scenario.
  const std::map<std::string, std::string>& by_recorded_name() const { return by_recorded_name_; }
  const std::string& name_of(ReplicaId replica) const;

 private:
  const ScenarioSource& source_;
  std::vector<std::vector<std::size_t>> groups_;
  std::map<std::string, std::string> by_recorded_name_;
};

}  // namespace ospreypost::replay
