/// Thread-safe access to the state behind the proxies' streams: the endpoint registry and the encoder of
/// table updates, guarded by one lock.
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

/// Thread-safe. Each method holds the lock for a short time, and calls only the registry and the encoder
/// while the lock is held. The lock order is documented at `PlatformServer`.
class StreamDelivery {
 public:
  /// `clock_offset`: the controller's clock minus Unix time.
  StreamDelivery(const PlatformConfig& config, Nanos clock_offset);

  /// Applies an endpoint list. Replicas that are no longer ready are also removed from the routing tables of
  /// proxies that have not received a snapshot on their stream.
  EndpointRegistry::Changes apply(const discovery::EndpointListUpdate& list);
  /// Stores the new snapshot, if there is one, and schedules updates for the changed proxies. Then schedules
  /// the acknowledgement requests, each for all proxies or for the proxies that the current snapshot changed.
  void on_published(const std::optional<routing_state::RoutingState::Publication>& published,
                    const std::vector<RequestAcknowledgement>& requests);

  /// A proxy has a new stream, or its stream has ended; see `TableUpdateEncoder`.
  void on_proxy_joined(ProxyId proxy);
  void on_proxy_left(ProxyId proxy);
  /// Returns the acknowledgement requests that the answer with this nonce completes.
  std::vector<AckRequestId> on_acknowledgement(ProxyId proxy, std::uint64_t nonce);

  /// Returns the proxies that may have a pending message.
  std::vector<ProxyId> due_proxies() const;
  /// Returns the encoded pending messages for a proxy, which count as sent from then on; may be empty.
  std::string next_message(ProxyId proxy);

  /// Returns the id of a replica; empty if no replica of that name is registered.
  std::optional<ReplicaId> find_replica(std::string_view name) const;
  /// Returns the address of a replica; empty if the replica is gone or not registered.
  std::optional<net::Address> address_of(ReplicaId replica) const;
  /// Returns a log line of the controller with the replica's number replaced by its name.
  std::string with_replica_name(std::string_view line) const;

  /// Releases the ids of replicas that are gone and in no proxy's routing table.
  void release_unused_replicas();

 private:
  std::string_view name_of(ReplicaId replica) const;

  mutable std::mutex mutex_;
  // The members below are guarded by `mutex_`.
  TableUpdateEncoder encoder_;
  EndpointRegistry registry_;
  std::shared_ptr<const routing_state::RoutingSnapshot> snapshot_ =
      std::make_shared<routing_state::RoutingSnapshot>();
};

}  // namespace ospreypost::platform
