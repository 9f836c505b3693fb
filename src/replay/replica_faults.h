/// Faults of single replicas that a record shows.
#pragma once

#include "replay/replica_names.h"
#include "replay/scenario_source.h"
#include "replay/scenario_xml.h"

namespace ospreypost::replay {

/// Adds drains and crashes that the endpoint lists show, and spells in which attempts failed or were slow.
void add_replica_faults(const ScenarioSource& source, const ReplicaNames& names, FaultElements& faults);

}  // namespace ospreypost::replay
