/// The proxies that tables are pushed to: when a push to each proxy is due, and which control plane instance
/// each proxy follows.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "control_plane/control_plane_host.h"
#include "control_plane/published_state.h"
#include "delivery/push_service.h"
#include "policy/types.h"
#include "routing_state/lease_table.h"
#include "routing_state/push_scheduler.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/routing_state.h"

namespace ospreypost::control_plane {

/// Schedules the pushes and tracks which proxies have joined. Thread-safe: its lock is held for a few
/// instructions; while it is held, `PublishedState` is read and `ControlPlaneHost::log` called. Functions
/// that return whether a proxy's membership may have changed leave it to the caller to notify the controller.
class PushProxies {
 public:
  /// The objects that `PushProxies` uses; they must outlive it.
  struct Environment {
    const config::Config& config;
    const PublishedState& published;
    ControlPlaneHost& host;
  };
  /// `membership_check_interval` is the interval at which `take_lost` is called.
  /// `clock` is the clock of the control plane.
  PushProxies(const Environment& environment, routing_state::LeaseTable leases,
              Nanos membership_check_interval, std::function<Nanos()> clock);

  void add_known(Nanos now, ProxyId proxy);
  /// Sets the listener that is notified when a push becomes available; null removes the listener.
  /// The listener must outlive its registration.
  void set_listener(delivery::PushListener* listener) { listener_ = listener; }
  void notify_listener();

  /// Whether requests may be sent through the proxy: it has joined and confirms urgent changes in time.
  bool is_joined(ProxyId proxy) const;
  /// Returns the proxies that no longer confirm pushes in time; each proxy is returned once.
  std::vector<ProxyId> take_lost(Nanos now);

  /// Queues those changes of `publication` that concern proxies which tables are pushed to.
  void on_published(Nanos now, const routing_state::RoutingState::Publication& publication);
  /// Queues `proxy_snapshot`, the complete tables of the proxy in the newest routing snapshot, for a push.
  void resend(Nanos now, ProxyId proxy, std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot);
  /// Notes a change of the replicas that no proxy may send requests to; `unroutable` is their complete list.
  void on_unroutable_changed(Nanos now, std::set<ReplicaId> unroutable);

  // The following functions implement `delivery::PushService`.

  std::optional<delivery::PushMessage> take_push();
  std::optional<Nanos> next_push_in();
  void on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion version);
  void on_push_failed(ProxyId proxy, const std::string& why);
  void on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to);
  /// Returns true if the proxy's membership may have changed.
  bool on_push_rejected(ProxyId proxy, const routing_state::RemoteState& remote);
  /// Returns true if the proxy's membership may have changed.
  bool on_remote_state(ProxyId proxy, const routing_state::RemoteState& remote);

  routing_state::PushScheduler::Counts counts() const;

 private:
  std::uint64_t epoch_of(ProxyId proxy) const;
  // The following functions are called with `mutex_` held.
  bool update_ownership(Nanos now, ProxyId proxy, const routing_state::RemoteState& remote);
  void apply_rollback(Nanos now, ProxyId proxy, const std::vector<std::string>& rolled_back_to);
  void log_fault(ProxyId proxy, const std::string& why);

  const Environment environment_;
  const std::function<Nanos()> clock_;
  std::atomic<delivery::PushListener*> listener_ = nullptr;
  const std::string owner_;  // name of this process in the leases

  mutable std::mutex mutex_;
  // The following members are guarded by `mutex_`.
  routing_state::PushScheduler scheduler_;
  routing_state::LeaseTable leases_;
  // Last logged fault of each proxy; erased when a push is confirmed.
  std::map<ProxyId, std::string> last_faults_;
};

}  // namespace ospreypost::control_plane
