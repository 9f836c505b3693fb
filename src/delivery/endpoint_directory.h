/// Names and addresses of the replicas and of the fallback proxies, for whatever writes configurations for
/// proxies and clients.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "policy/controller.h"

namespace ospreypost::delivery {

/// A replica as the endpoint list gave it last.
struct RegisteredEndpoint {
  std::string name;
  std::string zone;
  net::Address address;
  bool removed = false;  ///< from the endpoint list
};

/// All replicas that were ever listed. Immutable once shared between threads. Removed replicas keep their
/// entry, for answers that are being written.
struct EndpointDirectory {
  std::vector<RegisteredEndpoint> endpoints;  ///< by ReplicaId
  std::map<std::string, ReplicaId, std::less<>> ids_by_name;

  /// Throws std::out_of_range if no replica has that id.
  const RegisteredEndpoint& endpoint(ReplicaId id) const {
    return endpoints.at(static_cast<std::size_t>(id));
  }
  /// Null if no replica has that name.
  const RegisteredEndpoint* find(std::string_view name) const {
    const auto known = ids_by_name.find(name);
    return known == ids_by_name.end() ? nullptr : &endpoint(known->second);
  }
};

/// A proxy that forwards requests of clients which get no routing table of their own.
struct FallbackProxy {
  ProxyId proxy{};
  ZoneId zone{};
  net::Address address;
};

}  // namespace ospreypost::delivery
