/// The data from which a scenario is created.
#pragma once

#include <string>
#include <vector>

#include "simulation/fleet.h"
#include "simulation/history.h"

namespace ospreypost::replay {

/// A recorded history and the fleet model fitted to the history. Valid as long as the referenced objects
/// exist.
struct ScenarioSource {
  const simulation::History& history;
  const simulation::Deployment& deployment;
  const simulation::Fleet& fleet;
  const std::vector<std::string>& kinds;  ///< names of hardware kinds, by id
  Nanos begin{};                          ///< beginning of the scenario, in the time of the record

  const std::string& zone_name(ZoneId zone) const { return deployment.zones[static_cast<std::size_t>(zone)]; }
  const std::string& proxy_name(ProxyId proxy) const {
    return deployment.proxies.at(static_cast<std::size_t>(proxy));
  }
};

}  // namespace ospreypost::replay
