/// Creates a scenario from a record: the fleet, the traffic and the faults that the record shows.
#pragma once

#include <string>
#include <vector>

#include "simulation/fleet.h"

namespace ospreypost::replay {

struct ExportedScenario {
  std::string scenario;       ///< text of the scenario file
  std::string configuration;  ///< text of the configuration file that the scenario names
};

/// Returns a scenario for the recorded time. `fleet` is the model fitted to the same record, `kinds` holds
/// the names of hardware kinds by id, `name` is the name of the scenario, and `configuration_file` is the
/// name of the configuration file, which must be in the same folder as the scenario. Details that a scenario
/// cannot express are left out and described in the first lines of the scenario. Throws std::invalid_argument
/// if the record is longer than a scenario may be, contains no replica, or does not match the deployment.
ExportedScenario export_scenario(const simulation::History& history, const simulation::Deployment& deployment,
                                 const simulation::Fleet& fleet, const std::vector<std::string>& kinds,
                                 const std::string& name, const std::string& configuration_file);

}  // namespace ospreypost::replay
