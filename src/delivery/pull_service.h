/// What an edge that answers queries asks the control plane, and gets. Such an edge translates and decides
/// nothing.
#pragma once

#include <memory>
#include <vector>

#include "delivery/endpoint_directory.h"
#include "dns/client_ttl_policy.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::delivery {

/// What a query is to be answered with.
struct PullAnswer {
  dns::TtlDecision ttl_decision;
  std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot;  ///< null: nothing can be answered now
  std::shared_ptr<const EndpointDirectory> directory;                  ///< never null
  /// For clients that are answered with proxies: those that have joined. For a zone's query, that zone's
  /// first.
  std::vector<FallbackProxy> fallback_proxies;
};

/// Implemented by the control plane; may be called from any thread.
class PullService {
 public:
  virtual ~PullService() = default;
  /// A proxy asks for its table of a class.
  virtual PullAnswer on_query(ProxyId proxy, ClassId cls) = 0;
  /// A client asks for the fallback proxies of a zone.
  virtual PullAnswer on_zone_query(ZoneId zone) = 0;
  /// Never null.
  virtual std::shared_ptr<const EndpointDirectory> directory() const = 0;
  /// Of the newest snapshot.
  virtual routing_state::SnapshotVersion version() const = 0;
};

}  // namespace ospreypost::delivery
