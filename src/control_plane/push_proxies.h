/// The proxies that tables are pushed to: what is due when, and which control plane each follows.
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

/// Thread-safe. Its lock is held for a few instructions; under it `PublishedState` is read and
/// `ControlPlaneHost::log` called. Functions that return whether a proxy's membership may have changed leave
/// it to the caller to notify the controller.
class PushProxies {
 public:
  /// What it works with, which must outlive it.
  struct Environment {
    const config::Config& config;
    const PublishedState& published;
    ControlPlaneHost& host;
  };
  /// `membership_check_interval`: at which `take_lost` is called. `clock` is that of the control plane.
  PushProxies(const Environment& environment, routing_state::LeaseTable leases,
              Nanos membership_check_interval, std::function<Nanos()> clock);

  void add_known(Nanos now, ProxyId proxy);
  /// Notified from then on; null: nobody. It must outlive that.
  void set_listener(delivery::PushListener* listener) { listener_ = listener; }
  void notify_listener();

  /// Whether requests may be sent through it: it has joined, and confirms what must not wait.
  bool is_joined(ProxyId proxy) const;
  /// Those that stopped confirming; each is named once.
  std::vector<ProxyId> take_lost(Nanos now);

  /// Of what is published, takes what concerns proxies that are pushed to.
  void on_published(Nanos now, const routing_state::RoutingState::Publication& publication);
  /// Sends the complete snapshot that is in force for a proxy.
  void resend(Nanos now, ProxyId proxy, std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot);
  /// The replicas that no proxy may send to changed.
  void on_unroutable_changed(Nanos now, std::set<ReplicaId> unroutable);

  // As `delivery::PushService` has them.

  std::optional<delivery::PushMessage> take_push();
  std::optional<Nanos> next_push_in();
  void on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion version);
  void on_push_failed(ProxyId proxy, const std::string& why);
  void on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to);
  /// True if its membership may have changed.
  bool on_push_rejected(ProxyId proxy, const routing_state::RemoteState& remote);
  /// True if its membership may have changed.
  bool on_remote_state(ProxyId proxy, const routing_state::RemoteState& remote);

  routing_state::PushScheduler::Counts counts() const;

 private:
  std::uint64_t epoch_of(ProxyId proxy) const;
  // With the lock held.
  bool changes_ownership(Nanos now, ProxyId proxy, const routing_state::RemoteState& remote);
  void apply_rollback(Nanos now, ProxyId proxy, const std::vector<std::string>& rolled_back_to);
  void log_fault(ProxyId proxy, const std::string& why);

  const Environment environment_;
  const std::function<Nanos()> clock_;
  std::atomic<delivery::PushListener*> listener_ = nullptr;
  const std::string owner_;  // as the leases name this process

  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  routing_state::PushScheduler scheduler_;
  routing_state::LeaseTable leases_;
  std::map<ProxyId, std::string> last_faults_;  // as logged, until a push is confirmed
};

}  // namespace ospreypost::control_plane
