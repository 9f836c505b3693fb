// One view of who is up, made from whole rolls as a source reads them. Pure.
//
// A roll is taken whole or not at all. What is no roll (unreadable, half-written, empty, against itself) is
// no news: the last good one stands.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/socket.h"
#include "policy/controller.h"

namespace ospreypost::discovery {

using WallTime = std::chrono::sys_time<Nanos>;

// One entry as a source gives it.
struct Endpoint {
  std::string name;
  std::string zone, kind, cell;
  net::Address address;
  bool draining = false;
  double weight = 1;
  std::optional<WallTime> started;
  bool operator==(const Endpoint&) const = default;
};

// What differs from the roll before.
struct EndpointChange {
  const Endpoint* endpoint = nullptr;  // null when it is gone
  std::string name;
  EndpointPhase phase = EndpointPhase::ready;
  std::optional<Nanos> started;  // on the monotonic clock
};

class EndpointList {
 public:
  struct Changes {
    bool is_first_list = false;
    std::vector<EndpointChange> changes;  // by name
  };
  // `read` is when it was read, on both clocks. Throws net::Error naming what is absurd, and keeps what it
  // had.
  Changes update(Nanos read, WallTime wall, std::vector<Endpoint> backends);
  // Since the start.
  std::size_t size() const { return known_.size(); }

 private:
  struct Known {
    Endpoint backend;
    std::optional<Nanos> started;
  };
  std::map<std::string, Known> known_;
  Nanos last_read_{};
  bool any_ = false;
};

}  // namespace ospreypost::discovery
