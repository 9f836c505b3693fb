// A scripted day made of a recorded one: its fleet, its traffic, and what befell it, as far as the record
// tells.
#pragma once

#include <string>

#include "simulation/fleet.h"

namespace ospreypost::replay {

struct ExportedScenario {
  std::string scenario;       // the day file
  std::string configuration;  // that it names, to lie beside it
};

// `fleet` is the model fitted from the same record; `governor` the name of the configuration's file. What a
// day cannot say is left out and named in the file's first lines. Throws std::invalid_argument if the record
// is longer than a day file may be, or tells of no replica.
ExportedScenario export_scenario(const simulation::History& history, const simulation::Deployment& deployment,
                                 const simulation::Fleet& fleet, const std::vector<std::string>& kinds,
                                 const std::string& name, const std::string& governor);

}  // namespace ospreypost::replay
