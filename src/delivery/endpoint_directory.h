/// Names and addresses of the replicas and of the fallback proxies, for the code that writes configurations
/// for proxies and clients.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "policy/types.h"

namespace ospreypost::delivery {

/// A replica as listed in the last endpoint list that contained it.
struct RegisteredEndpoint {
  std::string name;
  std::string zone;
  net::Address address;
  bool removed = false;  ///< no longer in the endpoint list
};

/// Directory of all replicas that were ever in the endpoint list. Immutable once shared between threads.
/// Removed replicas keep their entry, because answers that are being written may still refer to them.
struct EndpointDirectory {
  std::vector<RegisteredEndpoint> endpoints;  ///< indexed by ReplicaId
  std::map<std::string, ReplicaId, std::less<>> ids_by_name;

  /// Returns the replica with that id. Throws std::out_of_range if no replica has the id.
  const RegisteredEndpoint& endpoint(ReplicaId id) const {
    return endpoints.at(static_cast<std::size_t>(id));
  }
  /// Returns the replica with that name; null if no replica has the name.
  const RegisteredEndpoint* find(std::string_view name) const {
    const auto known = ids_by_name.find(name);
    return known == ids_by_name.end() ? nullptr : &endpoint(known->second);
  }
};

/// A proxy that forwards the requests of clients which do not get their own routing table.
struct FallbackProxy {
  ProxyId proxy{};
  ZoneId zone{};
  net::Address address;
};

}  // namespace ospreypost::delivery
