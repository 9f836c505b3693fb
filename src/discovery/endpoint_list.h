/// The endpoint list of a source, and the changes between two successive lists. No I/O.
///
/// A list is applied as a whole or not at all. A list that is empty, or names an endpoint twice or without a
/// name, is rejected, and the last valid list stays in force.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/socket.h"
#include "policy/types.h"

namespace ospreypost::discovery {

/// A time on the wall clock. The wall clock may be adjusted while the program runs.
using WallTime = std::chrono::sys_time<Nanos>;

/// One endpoint as a source lists it.
struct Endpoint {
  std::string name;
  std::string zone;
  std::string kind;  ///< Kind of hardware.
  std::string cell;
  net::Address address;
  bool draining = false;
  double weight = 1;
  std::optional<WallTime> started;  ///< Start of its process; empty if it started long ago.
  bool operator==(const Endpoint&) const = default;
};

/// The change of one endpoint from the previous list to the current list.
struct EndpointChange {
  /// Null if the endpoint is gone. The pointer is valid until the next update of the list.
  const Endpoint* endpoint = nullptr;
  std::string name;
  EndpointPhase phase = EndpointPhase::ready;
  std::optional<Nanos> started;  ///< Start on the monotonic clock; empty if it was long ago.
};

/// Holds the last valid list. Not thread-safe.
class EndpointList {
 public:
  /// The changes that an update made to the list.
  struct Changes {
    bool is_first_list = false;
    std::vector<EndpointChange> changes;  ///< In ascending order of the names.
  };

  /// Replaces the list by `endpoints`, which were read at the monotonic time `read_at` and the wall clock
  /// time `wall_time`. Throws `net::Error`, which names the fault, and keeps the previous list if `endpoints`
  /// is invalid.
  Changes update(Nanos read_at, WallTime wall_time, std::vector<Endpoint> endpoints);

  /// Returns the number of endpoints in the last valid list.
  std::size_t size() const { return known_.size(); }

 private:
  struct KnownEndpoint {
    Endpoint endpoint;
    std::optional<Nanos> started;  // Start on the monotonic clock; empty if it was long ago.
  };

  std::optional<Nanos> start_of(const Endpoint& endpoint, Nanos read_at, WallTime wall_time) const;
  bool is_changed(const Endpoint& endpoint) const;

  std::map<std::string, KnownEndpoint> known_;
  Nanos last_read_at_{};
  bool has_list_ = false;
};

}  // namespace ospreypost::discovery
