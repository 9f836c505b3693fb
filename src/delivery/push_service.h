/// What an edge that pushes tables to proxies gets from the control plane, and what it reports back. Such an
/// edge translates and decides nothing.
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

/// What is to be sent to a proxy.
struct PushMessage {
  ProxyId proxy{};
  std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot;  ///< null: a liveness check
  std::shared_ptr<const EndpointDirectory> directory;                  ///< never null
  std::vector<std::string> ejected;  ///< names of replicas that must not be used
  bool overrides_rollback = false;   ///< replaces tables that were rolled back by hand
  std::uint64_t epoch = 0;           ///< of this process's claim on the proxy
  std::string owner;                 ///< identifies this process; see routing_state::LeaseTable
};

/// Gets notified when a push may be available. Called under locks: it must return at once and call nothing
/// back.
class PushListener {
 public:
  virtual ~PushListener() = default;
  virtual void on_push_available() = 0;
};

/// Implemented by the control plane; may be called from any thread.
class PushService {
 public:
  virtual ~PushService() = default;
  /// The push to send now, if any. It is in flight until one of `on_push_confirmed`, `on_push_failed`,
  /// `on_push_rejected` and `on_remote_state` is called for its proxy.
  virtual std::optional<PushMessage> take_push() = 0;
  /// The time until a push may be available without any other event; absent if never.
  virtual std::optional<Nanos> next_push_in() = 0;
  /// The proxy uses that version now.
  virtual void on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion version) = 0;
  /// The push was lost, not stored, or not confirmed in time. `why` goes to the log.
  virtual void on_push_failed(ProxyId proxy, const std::string& why) = 0;
  /// The proxy rejected the push because of the table that it holds.
  virtual void on_push_rejected(ProxyId proxy, const routing_state::RemoteState& remote) = 0;
  /// The proxy responded to a liveness check, and holds that table.
  virtual void on_remote_state(ProxyId proxy, const routing_state::RemoteState& remote) = 0;
  /// An operator rolled the proxy back to tables with these replicas. A push in flight stays in flight.
  virtual void on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to) = 0;
};

}  // namespace ospreypost::delivery
