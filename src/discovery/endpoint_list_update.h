/// The JSON messages of the platform's discovery: a complete endpoint list, or changes of an endpoint list.
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

/// One endpoint in a message of discovery. For an endpoint that is gone, only the name and the phase are set.
struct EndpointEntry {
  std::string name;
  std::string zone;
  std::string kind;  ///< Kind of hardware.
  std::uint32_t cell = 0;
  net::Address address;
  EndpointPhase phase = EndpointPhase::ready;
  double weight = 1;
  std::optional<Nanos> started;  ///< Start of its process, since 1970; empty if it was long ago.
};

/// One message: the complete list at a revision, or the changes that the revision made.
struct EndpointListUpdate {
  std::uint64_t revision = 0;
  bool complete = false;  ///< If set, endpoints that the message does not name are gone.
  std::vector<EndpointEntry> entries;
  std::size_t rejected = 0;                 ///< Number of invalid entries, which are not in `entries`.
  std::vector<std::string> rejected_names;  ///< Names of the invalid entries that have a readable name.
};

/// Parses one message. Throws `net::Error`, which names the fault, if the message as a whole is invalid.
/// Single invalid entries are counted as rejected instead.
EndpointListUpdate parse_endpoint_list_update(std::string_view text);

}  // namespace ospreypost::discovery
