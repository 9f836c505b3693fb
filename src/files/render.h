// Renders routing tables in the file formats of plain proxies.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/socket.h"

namespace ospreypost::files {

struct Endpoint {
  std::string name, zone;
  net::Address address;
  double weight = 0;  // greater than 0
};

// Contents of a table file besides its entries.
struct Terms {
  std::uint64_t version = 0;
  double level = 1;
  std::string retry = "none";
};

// Returns a DiscoveryResponse with one ClusterLoadAssignment, as Envoy's documentation of file-based endpoint
// discovery specifies. Localities are zones, all of priority 0, as the weights of the table hold across
// zones. load_balancing_weight is a whole number of at least 1; the rejected fraction (1 - level) is a
// drop_overload.
std::string render_envoy(const std::string& cluster, const std::vector<Endpoint>& endpoints,
                         const Terms& terms);

// Returns an `upstream` block with a weight for each server, as nginx's documentation specifies; the terms
// are comments. A table without endpoints gets one server that is marked down, as the block must not be
// empty.
std::string render_upstream(const std::string& name, const std::vector<Endpoint>& endpoints,
                            const Terms& terms);

}  // namespace ospreypost::files
