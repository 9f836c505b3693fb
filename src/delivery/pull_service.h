/// Interface between the control plane and a server, such as the DNS server, that answers the queries of
/// proxies. The server only translates; the control plane makes all decisions.
#pragma once

#include <memory>
#include <vector>

#include "delivery/endpoint_directory.h"
#include "dns/client_ttl_policy.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::delivery {

/// Content of the answer to a query.
struct PullAnswer {
  dns::TtlDecision ttl_decision;
  /// Configuration of the proxy; null if no configuration can be given now.
  std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot;
  std::shared_ptr<const EndpointDirectory> directory;  ///< directory of the replicas; never null
  /// Joined proxies, for clients that are answered with proxies in place of replicas. In the answer to a
  /// query for a zone, the proxies of that zone come first.
  std::vector<FallbackProxy> fallback_proxies;
};

/// Implemented by the control plane. All functions may be called from any thread.
class PullService {
 public:
  virtual ~PullService() = default;
  /// Answers the query of a proxy for its routing table of a request class.
  virtual PullAnswer on_query(ProxyId proxy, ClassId cls) = 0;
  /// Answers the query of a client for the fallback proxies of a zone.
  virtual PullAnswer on_zone_query(ZoneId zone) = 0;
  /// Returns the current directory of replicas; never null.
  virtual std::shared_ptr<const EndpointDirectory> directory() const = 0;
  /// Returns the version of the newest snapshot.
  virtual routing_state::SnapshotVersion version() const = 0;
};

}  // namespace ospreypost::delivery
