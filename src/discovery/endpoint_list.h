/// The endpoint list as a source gives it, and what changes from one list to the next. No I/O.
///
/// A list is applied as a whole or not at all. One that is empty or contradicts itself is rejected, and the
/// last good one stays in force.
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

/// A moment of the wall clock, which may be set while the program runs.
using WallTime = std::chrono::sys_time<Nanos>;

/// One endpoint as a source lists it.
struct Endpoint {
  std::string name;
  std::string zone;
  std::string kind;  ///< of hardware
  std::string cell;
  net::Address address;
  bool draining = false;
  double weight = 1;
  std::optional<WallTime> started;  ///< absent: long ago
  bool operator==(const Endpoint&) const = default;
};

/// How one endpoint differs from the list before.
struct EndpointChange {
  const Endpoint* endpoint = nullptr;  ///< null when it is gone; valid until the next update of its list
  std::string name;
  EndpointPhase phase = EndpointPhase::ready;
  std::optional<Nanos> started;  ///< on the monotonic clock; absent: long ago
};

/// The last good list. Not thread-safe.
class EndpointList {
 public:
  /// What an update changed.
  struct Changes {
    bool is_first_list = false;
    std::vector<EndpointChange> changes;  ///< by ascending name
  };

  /// Replaces the list by one that was read at `read_at` on the monotonic clock, which was `wall_time` on the
  /// wall clock. Throws `net::Error` naming what is wrong with it, and then keeps the list that it had.
  Changes update(Nanos read_at, WallTime wall_time, std::vector<Endpoint> endpoints);

  /// The number of endpoints in the last good list.
  std::size_t size() const { return known_.size(); }

 private:
  struct KnownEndpoint {
    Endpoint endpoint;
    std::optional<Nanos> started;  // on the monotonic clock
  };

  std::optional<Nanos> start_of(const Endpoint& endpoint, Nanos read_at, WallTime wall_time) const;
  bool is_changed(const Endpoint& endpoint) const;

  std::map<std::string, KnownEndpoint> known_;
  Nanos last_read_at_{};
  bool has_list_ = false;
};

}  // namespace ospreypost::discovery
