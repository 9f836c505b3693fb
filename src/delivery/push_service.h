/// Interface between the control plane and a client that pushes tables to proxies. The pushing client
/// gets the pushes from the control plane and reports their results. The pushing client only translates; the
/// control plane makes all decisions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "delivery/endpoint_directory.h"
#include "routing_state/lease_table.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::delivery {

/// A table update or a liveness check that is to be sent to a proxy.
struct PushMessage {
  ProxyId proxy{};
  /// Configuration to send; null if the message is a liveness check.
  std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot;
  std::shared_ptr<const EndpointDirectory> directory;  ///< directory of the replicas; never null
  std::vector<std::string> ejected;                    ///< names of the replicas that the proxy must not use
  bool overrides_rollback = false;  ///< the push replaces tables that an operator rolled back
  std::uint64_t epoch = 0;          ///< epoch of this process's claim on the proxy
  std::string owner;                ///< identifies this process; see routing_state::LeaseTable
};

/// Is notified when a push may be available. The control plane calls the listener while holding locks, so
/// `on_push_available` must return at once and must not call the control plane.
class PushListener {
 public:
  virtual ~PushListener() = default;
  virtual void on_push_available() = 0;
};

/// Implemented by the control plane. All functions may be called from any thread.
class PushService {
 public:
  virtual ~PushService() = default;
  /// Returns the push to send now, if any. The push is in flight until `on_push_confirmed`, `on_push_failed`,
  /// `on_push_rejected` or `on_remote_state` is called for the proxy.
  virtual std::optional<PushMessage> take_push() = 0;
  /// Returns the time until a push may be available without any other event; absent if never.
  virtual std::optional<Nanos> next_push_in() = 0;
  /// Reports that the proxy now uses `version`.
  virtual void on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion version) = 0;
  /// Reports that the push was lost, not stored, or not confirmed in time. `reason` is written to the log.
  virtual void on_push_failed(ProxyId proxy, const std::string& reason) = 0;
  /// Reports that the proxy rejected the push because of the table that the proxy has stored.
  virtual void on_push_rejected(ProxyId proxy, const routing_state::RemoteState& remote) = 0;
  /// Reports the proxy's response to a liveness check, with the state of its stored table.
  virtual void on_remote_state(ProxyId proxy, const routing_state::RemoteState& remote) = 0;
  /// Reports that an operator rolled the proxy back to tables with the replicas `rolled_back_to`. A push in
  /// flight stays in flight.
  virtual void on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to) = 0;
};

}  // namespace ospreypost::delivery
