/// The log lines of the decision module: `event key=value ...`, one event name for each kind. They are
/// recorded and compared on replay, so a change of a text needs its translation in
/// src/replay/log_translation.cpp.
#pragma once

#include <cstddef>
#include <string>

#include "policy/types.h"

namespace ospreypost::policy::log_events {

inline std::string replica_field(ReplicaId id) {
  return " replica=" + std::to_string(static_cast<std::uint32_t>(id));
}

/// A replica is ejected as an outlier.
inline std::string breaker_opened(ReplicaId id, Nanos cooldown) {
  const auto milliseconds = cooldown / std::chrono::milliseconds(1);
  return "breaker_opened" + replica_field(id) + " cooldown_ms=" + std::to_string(milliseconds);
}

/// A replica starts or returns, and has to prove itself.
inline std::string breaker_half_opened(ReplicaId id) { return "breaker_half_opened" + replica_field(id); }

/// A replica has proven itself.
inline std::string breaker_closed(ReplicaId id) { return "breaker_closed" + replica_field(id); }

/// Replicas that warm up are kept out of a congested zone.
inline std::string warm_up_held(std::size_t zone) { return "warm_up_held zone=" + std::to_string(zone); }

/// The zone's congestion is over.
inline std::string warm_up_released(std::size_t zone) {
  return "warm_up_released zone=" + std::to_string(zone);
}

/// A list removed too many replicas at once to be believed.
inline std::string endpoint_list_doubted(std::size_t removed) {
  return "endpoint_list_doubted removed=" + std::to_string(removed);
}

}  // namespace ospreypost::policy::log_events
