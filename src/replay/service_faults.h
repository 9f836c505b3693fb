/// What befell the control plane, its proxies and their traffic, as far as a record tells.
#pragma once

#include "replay/scenario_source.h"
#include "replay/scenario_xml.h"

namespace ospreypost::replay {

/// Adds times between two incarnations of the control plane, proxies that could not be reached, and late
/// reports.
void add_connection_faults(const ScenarioSource& source, FaultElements& faults);

/// Adds bursts of requests.
void add_bursts(const ScenarioSource& source, FaultElements& faults);

}  // namespace ospreypost::replay
