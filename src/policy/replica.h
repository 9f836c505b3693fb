/// The state that the controller keeps for each replica.
/// Different parts of the decision module maintain different members.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "policy/circuit_breaker.h"
#include "policy/evidence.h"
#include "policy/types.h"

namespace ospreypost::policy {

/// A replica as last given by the endpoint list. Only `EndpointMembership` changes it, with one exception:
/// `OutlierDetector` marks a replica as gone if its removal was doubted and its attempts fail.
struct ListedEndpoint {
  std::size_t zone = 0;
  HardwareKindId kind{};
  CellId cell{};
  double weight = 1;
  EndpointPhase phase = EndpointPhase::gone;
  /// Whether the list dropped the replica together with so many others that the removal may be an error.
  bool removal_doubted = false;
  std::optional<Nanos> started;  ///< start of the replica's process; empty: too long ago to matter
  Nanos last_listed{};           ///< last iteration of the control loop in which the replica was not gone
};

struct Replica {
  ListedEndpoint endpoint;
  std::size_t block = 0;   ///< index among the blocks of the replica's zone; set by `SubsetAssignment`
  CircuitBreaker breaker;  ///< changed by `OutlierDetector`
  /// Time at which the replica last started or became ready in the list.
  /// Empty for a replica that was known and warm before this instance started, and after an outlier ejection.
  std::optional<Nanos> added;
  double load_correction = 1;  ///< factor of the listed weight; set by `LoadFeedback`
  OutcomeStatistics outcomes;
  Nanos reports_accepted_from{};  ///< earlier reports cover a previous incarnation or breaker state
  bool ejected = false;           ///< ejection state as last sent to proxies; set by `TablePublisher`
  /// Whether the replica is kept out of service because its tables would overload it while it warms up; set
  /// by `WarmUpLimiter`.
  bool kept_out = false;

  bool is_ready() const { return endpoint.phase == EndpointPhase::ready; }
  bool is_gone() const { return endpoint.phase == EndpointPhase::gone; }
  /// Returns the listed weight corrected by reported load.
  double corrected_weight() const { return endpoint.weight * load_correction; }
};

using ReplicaMap = std::map<ReplicaId, Replica>;

}  // namespace ospreypost::policy
