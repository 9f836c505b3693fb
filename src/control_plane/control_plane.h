/// The control plane without its sockets: it runs the controller and serves the controller's decisions to the
/// proxies.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "control_plane/control_plane_host.h"
#include "control_plane/controller_driver.h"
#include "control_plane/endpoint_directory_keeper.h"
#include "control_plane/published_state.h"
#include "control_plane/pull_proxies.h"
#include "control_plane/push_proxies.h"
#include "control_plane/status.h"
#include "delivery/endpoint_directory.h"
#include "delivery/pull_service.h"
#include "delivery/push_service.h"
#include "discovery/endpoint_list.h"
#include "policy/actions.h"
#include "policy/observations.h"
#include "policy/types.h"
#include "record/origin.h"
#include "record/recording_controller.h"
#include "routing_state/lease_table.h"
#include "routing_state/pull_delivery.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/routing_state.h"

namespace ospreypost::record {
class Writer;
}

namespace ospreypost::control_plane {

/// Passes observations to the controller, applies the controller's actions to the routing state, and delivers
/// each snapshot of the routing state to the proxies. Thread-safe.
///
/// Lock order: first the lock of `ControllerDriver`, which is held during each call on the controller and so
/// during the controller's actions; then the lock of `PushProxies` or one of the two locks of `PullProxies`,
/// never two of these three at a time; last the lock of `PublishedState`.
/// The functions of `ControlPlaneHost` are called with the first or the second lock held.
class ControlPlane : public delivery::PullService, public delivery::PushService, private ControllerFrontend {
 public:
  /// Creates the controller and starts the thread that runs its timers. `config`, `host` and `record_writer`
  /// must outlive the control plane; without a record writer nothing is recorded.
  /// Throws `net::Error` if the thread cannot be started.
  ControlPlane(const config::Config& config, ControlPlaneHost& host, ControllerDriver::Clock clock,
               routing_state::LeaseTable leases = {1, "governor"}, record::Writer* record_writer = nullptr);
  ~ControlPlane() override;
  /// Joins the timer thread. All other functions may still be called afterwards.
  void stop() { driver_.stop(); }

  /// Passes a change of the endpoint list to the controller; the endpoint list has a single source.
  /// The configuration must list every zone and hardware kind that `changes` contains.
  void on_endpoint_list_changed(const discovery::EndpointList::Changes& changes);
  /// Pass a load report of a replica or a demand report of a proxy to the controller.
  /// The caller has already dropped reports that are repeated, malformed or too old.
  void on_replica_load_report(const ReplicaLoadReport& report, const record::Origin& origin);
  void on_demand_report(const DemandReport& report, const record::Origin& origin);
  /// Notes that a report of `proxy` arrived, whether or not its contents were accepted.
  void on_report(ProxyId proxy) { pull_proxies_.on_report(proxy); }
  void on_health_check_result(const HealthCheckResult& result);

  delivery::PullAnswer on_query(ProxyId proxy, ClassId request_class) override;
  delivery::PullAnswer on_zone_query(ZoneId zone) override;
  std::shared_ptr<const delivery::EndpointDirectory> directory() const override;
  routing_state::SnapshotVersion version() const override;

  std::optional<delivery::PushMessage> take_push() override { return push_proxies_.take_push(); }
  std::optional<Nanos> next_push_in() override { return push_proxies_.next_push_in(); }
  void on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion version) override;
  void on_push_failed(ProxyId proxy, const std::string& why) override;
  void on_push_rejected(ProxyId proxy, const routing_state::RemoteState& remote) override;
  void on_remote_state(ProxyId proxy, const routing_state::RemoteState& remote) override;
  void on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to) override;
  /// Sets the listener that is notified when a push becomes available; null removes the listener.
  /// The listener must outlive its registration.
  void set_push_listener(delivery::PushListener* listener) { push_proxies_.set_listener(listener); }

  /// Returns the id of the replica; empty if no endpoint list has contained `name`.
  std::optional<ReplicaId> find_replica(std::string_view name) const;
  /// Names of the replicas that no proxy may send requests to because they are ejected, draining or gone.
  std::vector<std::string> unroutable_replicas() const { return published_.unroutable_replicas(); }
  ControlPlaneStatus status() const;

 private:
  void on_published(Nanos now, const std::optional<routing_state::RoutingState::Publication>& publication,
                    const std::vector<RequestAcknowledgement>& requests) override;
  void on_ejection_changed(ReplicaId replica, bool ejected) override;
  void request_health_check(ReplicaId replica) override;
  // Does nothing: the endpoint list is always watched.
  void watch_endpoint_list(bool /*enabled*/) override {}
  void refresh_endpoint_list() override { host_.refresh_endpoint_list(); }
  // Does nothing: this control plane has no peers.
  void send_to_peer(std::optional<PeerId> /*peer*/, std::string_view /*message*/) override {}
  void log(std::string_view line) override;

  void add_known_proxies();
  bool is_joined(ProxyId proxy) const;
  void update_membership(ProxyId proxy);
  void check_membership();
  void on_acknowledged(const routing_state::PullDelivery::Acknowledgement& acknowledgement);
  std::vector<delivery::FallbackProxy> fallback_proxies(std::optional<ZoneId> preferred_zone,
                                                        std::optional<ProxyId> excluded) const;
  const config::ProxyEntry& entry_of(ProxyId proxy) const;

  const config::Config& config_;
  ControlPlaneHost& host_;
  PublishedState published_;
  PullProxies pull_proxies_;
  PushProxies push_proxies_;

  // The following members are guarded by the lock of `driver_`.
  EndpointDirectoryKeeper endpoints_;
  std::set<ProxyId> announced_proxies_;  // proxies that the controller has been notified of as joined

  // Declared last, because the controller calls into all other members as soon as it is constructed.
  ControllerDriver driver_;
};

}  // namespace ospreypost::control_plane
