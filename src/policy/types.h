/// Identifiers and enumerations that the decision module shares with the code that calls it.
#pragma once

#include <chrono>
#include <cstdint>

namespace ospreypost {

/// The type of all times and durations. Times count from an arbitrary moment of a monotonic clock.
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
/// Identifies one acknowledgement request; see `ActionSink::request_acknowledgement`.
enum class AckRequestId : std::uint64_t {};
/// Identifies a routing table. In deployments with slices, the table of a slice has the slice's number.
enum class TableId : std::uint16_t {};
/// Table id that stands for all tables at once.
inline constexpr TableId kAllTables{65535};

/// A set of request classes, as the sum of 2^k over the positions k of its classes. 0 stands for all classes.
using ClassMask = std::uint16_t;
inline constexpr ClassMask kAllClasses{0};

/// When a proxy may retry a failed attempt. Records store these numbers, so they must not change.
enum class RetryMode : std::uint8_t {
  none = 0,
  after_rejection_proof = 1,  ///< only if it is proven that the attempt had no effect
  once = 2,
  twice = 3,
};

/// The state of a replica according to the endpoint list.
enum class EndpointPhase { draining, ready, gone };

/// What an endpoint list means for the replicas that it does not contain.
enum class EndpointListKind {
  changes,   ///< the list contains only changed replicas; all others stay as they are
  complete,  ///< the list contains all replicas; all others are gone
  cached,    ///< a complete list that was stored before this instance started
};

}  // namespace ospreypost
