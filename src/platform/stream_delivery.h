/// What is delivered on the streams of proxies: the endpoints by name and the updates of tables, behind one
/// lock.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/discovery_watcher.h"
#include "net/socket.h"
#include "platform/endpoint_registry.h"
#include "platform/platform_config.h"
#include "platform/table_update_encoder.h"
#include "policy/actions.h"
#include "policy/controller.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/routing_state.h"

namespace ospreypost::platform {

/// Thread-safe: each call takes the lock for a short time, and calls nothing outside while it holds it.
/// `PlatformServer` states the order of locks.
class StreamDelivery {
 public:
  /// `clock_offset`: from Unix time to the controller's clock.
  StreamDelivery(const PlatformConfig& config, Nanos clock_offset);

  /// Takes over a list; proxies that have no tables from here drop the replicas that are no longer ready.
  EndpointRegistry::Changes apply(const discovery::EndpointListUpdate& list);
  /// Takes over a new snapshot, if there is one, and then the acknowledgement requests made with it; each
  /// says whether all proxies are to answer it.
  void on_published(const std::optional<routing_state::RoutingState::Publication>& published,
                    const std::vector<RequestAcknowledgement>& requests);

  /// A new stream, and the end of one, as `TableUpdateEncoder` takes them.
  void on_proxy_joined(ProxyId proxy);
  void on_proxy_left(ProxyId proxy);
  /// The requests that the answer settles.
  std::vector<AckRequestId> on_acknowledgement(ProxyId proxy, std::uint64_t nonce);

  /// The proxies that there may be something to write to.
  std::vector<ProxyId> due_proxies() const;
  /// The bytes for a proxy, which count as written from then on; empty if there is nothing to write.
  std::string next_message(ProxyId proxy);

  /// Empty if the name is not known.
  std::optional<ReplicaId> find_replica(std::string_view name) const;
  /// Empty if the replica is gone.
  std::optional<net::Address> address_of(ReplicaId replica) const;
  /// The controller's line, with the replica's name in place of its number.
  std::string with_replica_name(std::string_view line) const;

  /// Forgets the replicas that are gone and in no proxy's table.
  void release_unused_replicas();

 private:
  std::string_view name_of(ReplicaId replica) const;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  TableUpdateEncoder encoder_;
  EndpointRegistry registry_;
  std::shared_ptr<const routing_state::RoutingSnapshot> snapshot_ =
      std::make_shared<routing_state::RoutingSnapshot>();
};

}  // namespace ospreypost::platform
