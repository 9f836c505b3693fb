/// The events that the decision module receives about the fleet.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "policy/types.h"

namespace ospreypost {

/// One entry of an endpoint list.
struct EndpointUpdate {
  ReplicaId replica{};
  ZoneId zone{};
  HardwareKindId kind{};
  CellId cell{};
  EndpointPhase phase = EndpointPhase::ready;
  double weight = 1;
  std::optional<Nanos> started;  ///< start of the replica's process; empty: too long ago to matter
};

/// The outcomes of one zone's proxies' attempts at one replica, over a span that ended a short time ago.
/// A report counts only the proxies that are joined to this instance.
struct ReplicaLoadReport {
  ZoneId zone{};
  ReplicaId replica{};
  std::uint32_t attempts = 0;
  std::uint32_t failed = 0;
  Nanos mean_latency{};     ///< mean over the attempts that succeeded; 0 if none did
  Nanos span{};             ///< time that the report covers
  std::vector<float> load;  ///< values in the order of `Settings::load_columns`; empty if none were reported
};

/// The requests of one class that arrived at one proxy over a span.
struct DemandReport {
  ClassId cls{};
  std::uint32_t operations = 0;
  std::uint32_t unanswered = 0;
  Nanos span{};
};

/// The outcome of a health check that the controller requested.
struct HealthCheckResult {
  ReplicaId replica{};
  bool answered = false;
  bool refused = false;
  Nanos took{};
  std::vector<float> load;  ///< values in the order of `Settings::load_columns`
};

}  // namespace ospreypost
