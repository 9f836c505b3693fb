/// Faults of the control plane and of proxies, and bursts of traffic, that a record shows.
#pragma once

#include "replay/scenario_source.h"
#include "replay/scenario_xml.h"

namespace ospreypost::replay {

/// Adds restarts of the control plane (the times between two incarnations), times in which a proxy was
/// unreachable, and late reports.
void add_connection_faults(const ScenarioSource& source, FaultElements& faults);

/// Adds the times in which clearly more requests arrived than usual.
void add_bursts(const ScenarioSource& source, FaultElements& faults);

}  // namespace ospreypost::replay
