/// Identifiers and enumerations that the decision module shares with everything that talks to it.
#pragma once

#include <chrono>
#include <cstdint>

namespace ospreypost {

/// Every time and duration; times count from an arbitrary moment of a monotonic clock.
using Nanos = std::chrono::nanoseconds;

enum class ReplicaId : std::uint32_t {};
enum class ProxyId : std::uint16_t {};
enum class ZoneId : std::uint16_t {};
enum class HardwareKindId : std::uint16_t {};
/// A failure domain inside a zone, such as a rack.
enum class CellId : std::uint16_t {};
/// A request class, by its position in `Settings::classes`.
enum class ClassId : std::uint16_t {};
enum class PeerId : std::uint16_t {};
enum class TimerId : std::uint64_t {};
/// Names one request for an acknowledgement; see `ActionSink::request_acknowledgement`.
enum class AckRequestId : std::uint64_t {};
/// A routing table. With slices, a slice's number is the number of its table.
enum class TableId : std::uint16_t {};
/// Stands for all tables at once.
inline constexpr TableId kAllTables{65535};

/// A set of request classes: the sum of 2^k over their positions. 0 names all.
using ClassMask = std::uint16_t;

/// When a proxy may retry a failed attempt. The values are those of stored records.
enum class RetryMode : std::uint8_t {
  none = 0,
  after_rejection_proof = 1,  ///< only if the attempt provably had no effect
  once = 2,
  twice = 3,
};

/// The state of a replica as the endpoint list gives it.
enum class EndpointPhase { draining, ready, gone };

/// What an endpoint list says about the replicas that it does not name.
enum class EndpointListKind {
  changes,   ///< nothing: it names only what changed
  complete,  ///< that they are gone
  cached,    ///< that they are gone; known since before the start
};

}  // namespace ospreypost
