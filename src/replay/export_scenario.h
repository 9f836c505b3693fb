/// A scenario made of a record: its fleet, its traffic, and what befell it, as far as the record tells.
#pragma once

#include <string>
#include <vector>

#include "simulation/fleet.h"

namespace ospreypost::replay {

struct ExportedScenario {
  std::string scenario;       ///< the text of the scenario's file
  std::string configuration;  ///< the text of the file that it names, to lie beside it
};

/// `fleet` is the model fitted from the same record, `kinds` the names of hardware kinds by id, `name` that
/// of the scenario, and `configuration_file` the name of the configuration's file. What a scenario cannot say
/// is left out and named in the file's first lines. Throws std::invalid_argument if the record is longer than
/// a scenario may be, tells of no replica, or does not fit the deployment.
ExportedScenario export_scenario(const simulation::History& history, const simulation::Deployment& deployment,
                                 const simulation::Fleet& fleet, const std::vector<std::string>& kinds,
                                 const std::string& name, const std::string& configuration_file);

}  // namespace ospreypost::replay
