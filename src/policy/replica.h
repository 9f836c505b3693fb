/// What the controller knows of one replica. Each member belongs to the part of the module that changes it.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "policy/circuit_breaker.h"
#include "policy/evidence.h"
#include "policy/types.h"

namespace ospreypost::policy {

/// A replica as the endpoint list gave it last; changed by `EndpointMembership` alone, but for a doubted
/// replica that the outlier detector gives up.
struct ListedEndpoint {
  std::size_t zone = 0;
  HardwareKindId kind{};
  CellId cell{};
  double weight = 1;
  EndpointPhase phase = EndpointPhase::gone;
  /// The list dropped it, and may be wrong.
  bool removal_doubted = false;
  std::optional<Nanos> started;  ///< absent: long ago
  Nanos last_listed{};           ///< as seen by the control loop
};

struct Replica {
  ListedEndpoint endpoint;
  std::size_t block = 0;  ///< of its zone's blocks; by `SubsetAssignment`
  CircuitBreaker breaker;
  /// Since when it is new here; absent once it was ejected as an outlier.
  std::optional<Nanos> added;
  double load_step = 1;  ///< by `LoadFeedback`
  OutcomeStatistics outcomes;
  Nanos outcomes_count_from{};  ///< reports that came earlier speak of another incarnation or state
  bool ejected = false;         ///< as published

  bool is_ready() const { return endpoint.phase == EndpointPhase::ready; }
  bool is_gone() const { return endpoint.phase == EndpointPhase::gone; }
  /// Its weight as corrected by its reported load.
  double stepped_weight() const { return endpoint.weight * load_step; }
};

using ReplicaMap = std::map<ReplicaId, Replica>;

}  // namespace ospreypost::policy
