/// The log lines of the decision module, in the form `event key=value ...`.
/// Replay compares log lines with those of the recording. A change of a text therefore needs a translation of
/// the earlier text in src/replay/log_translation.cpp.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "policy/types.h"

namespace ospreypost::policy::log_events {

inline std::string replica_field(ReplicaId id) {
  return " replica=" + std::to_string(static_cast<std::uint32_t>(id));
}

/// Logged when a replica is ejected as an outlier.
inline std::string breaker_opened(ReplicaId id, Nanos cooldown) {
  const auto milliseconds = cooldown / std::chrono::milliseconds(1);
  return "breaker_opened" + replica_field(id) + " cooldown_ms=" + std::to_string(milliseconds);
}

/// Logged when a replica starts or returns and has to prove itself.
inline std::string breaker_half_opened(ReplicaId id) { return "breaker_half_opened" + replica_field(id); }

/// Logged when a replica has proven itself by enough successes.
inline std::string breaker_closed(ReplicaId id) { return "breaker_closed" + replica_field(id); }

/// Logged when a zone becomes so congested that its replicas that are warming up are kept out of service.
inline std::string warm_up_held(std::size_t zone) { return "warm_up_held zone=" + std::to_string(zone); }

/// Logged when a zone's congestion is over and its replicas that are warming up may serve again.
inline std::string warm_up_released(std::size_t zone) {
  return "warm_up_released zone=" + std::to_string(zone);
}

/// Logged when an ejection is sent that could not be sent at once. `reason` says what it waited for first.
inline std::string ejection_delayed(ReplicaId id, Nanos waited, std::string_view reason) {
  const auto milliseconds = waited / std::chrono::milliseconds(1);
  return "ejection_delayed" + replica_field(id) + " waited_ms=" + std::to_string(milliseconds) +
         " reason=" + std::string(reason);
}

/// Logged when all replicas of a table are warming up and proxies have to reject a part of its requests.
inline std::string table_admission_limited(TableId id) {
  return "table_admission_limited table=" + std::to_string(static_cast<std::uint16_t>(id));
}

/// Logged when proxies may admit all requests of such a table again.
inline std::string table_admission_unlimited(TableId id) {
  return "table_admission_unlimited table=" + std::to_string(static_cast<std::uint16_t>(id));
}

/// Logged when an endpoint list removes too many replicas at once to be trusted.
inline std::string endpoint_list_doubted(std::size_t removed) {
  return "endpoint_list_doubted removed=" + std::to_string(removed);
}

}  // namespace ospreypost::policy::log_events
