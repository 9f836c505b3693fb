/// The messages of the platform's discovery: a complete endpoint list, or changes of one, as JSON.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "policy/types.h"

namespace ospreypost::discovery {

/// One endpoint as discovery writes it. Of one that is gone, only the name is set.
struct EndpointEntry {
  std::string name;
  std::string zone;
  std::string kind;  ///< of hardware
  std::uint32_t cell = 0;
  net::Address address;
  EndpointPhase phase = EndpointPhase::ready;
  double weight = 1;
  std::optional<Nanos> started;  ///< since 1970; absent: long ago
};

/// One message: the state at a revision, or what changed with it.
struct EndpointListUpdate {
  std::uint64_t revision = 0;
  bool complete = false;  ///< endpoints that it does not name are gone
  std::vector<EndpointEntry> entries;
  std::size_t rejected = 0;                 ///< entries that could not be read; the others are valid
  std::vector<std::string> rejected_names;  ///< of those, as far as they could be read
};

/// Reads one message. Throws `net::Error` naming what is wrong where it cannot be read as a whole; single
/// entries that cannot be read are counted instead.
EndpointListUpdate parse_endpoint_list_update(std::string_view text);

}  // namespace ospreypost::discovery
