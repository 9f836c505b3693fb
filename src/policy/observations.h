/// What the decision module is told about the fleet.
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
  std::optional<Nanos> started;  ///< absent: long ago
};

/// What the joined proxies of one zone saw of one replica over a span that ended some time ago.
struct ReplicaLoadReport {
  ZoneId zone{};
  ReplicaId replica{};
  std::uint32_t attempts = 0;
  std::uint32_t failed = 0;
  Nanos mean_latency{};  ///< of the attempts that succeeded; 0 if none did
  Nanos span{};
  std::vector<float> load;  ///< in the order of `Settings::load_columns`; empty if none came
};

/// The requests of one class that one proxy was sent over a span.
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
  std::vector<float> load;  ///< in the order of `Settings::load_columns`
};

}  // namespace ospreypost
