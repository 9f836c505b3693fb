/// The control plane without its sockets: the controller behind its lock, and the services by which proxies
/// get what it decides.
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

/// Assembles the parts: calls go to the controller, its actions into the routing state, and each snapshot of
/// that to the proxies. Thread-safe.
///
/// Lock order: the lock of `ControllerDriver`, which is held during each call on the controller and so during
/// its actions; then the lock of `PushProxies` or one of those of `PullProxies`, of which no two are held at
/// a time; then that of `PublishedState`. The host is called with the first or the second of them held.
class ControlPlane : public delivery::PullService, public delivery::PushService, private ControllerFrontend {
 public:
  /// Serves from then on. `config`, `host` and `record_writer` must outlive it; without a writer nothing is
  /// recorded. Throws `net::Error` if no thread can be had.
  ControlPlane(const config::Config& config, ControlPlaneHost& host, ControllerDriver::Clock clock,
               routing_state::LeaseTable leases = {1, "governor"}, record::Writer* record_writer = nullptr);
  ~ControlPlane() override;
  /// Joins its thread; calls go on being taken.
  void stop() { driver_.stop(); }

  /// What changed in the endpoint list, which has one source. Zones and hardware kinds must be known to the
  /// configuration.
  void on_endpoint_list_changed(const discovery::EndpointList::Changes& changes);
  /// Reports whose spans count.
  void on_replica_load_report(const ReplicaLoadReport& report, const record::Origin& origin);
  void on_demand_report(const DemandReport& report, const record::Origin& origin);
  /// A report of a proxy came, whatever was in it.
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
  /// Notified of pushes from then on; null: nobody. It must outlive that.
  void set_push_listener(delivery::PushListener* listener) { push_proxies_.set_listener(listener); }

  /// Empty if no endpoint list named it.
  std::optional<ReplicaId> find_replica(std::string_view name) const;
  /// The names of the replicas that no proxy may send to: those that are ejected, draining or gone.
  std::vector<std::string> unroutable_replicas() const { return published_.unroutable_replicas(); }
  ControlPlaneStatus status() const;

 private:
  void on_published(Nanos now, const std::optional<routing_state::RoutingState::Publication>& publication,
                    const std::vector<RequestAcknowledgement>& requests) override;
  void on_ejection_changed(ReplicaId replica, bool ejected) override;
  void request_health_check(ReplicaId replica) override;
  // The list is watched all the time.
  void watch_endpoint_list(bool /*enabled*/) override {}
  void refresh_endpoint_list() override { host_.refresh_endpoint_list(); }
  // It has no peers.
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

  // Guarded by the lock of `driver_`.
  EndpointDirectoryKeeper endpoints_;
  std::set<ProxyId> announced_proxies_;  // whose joining the controller was notified of

  // The last one: the controller acts on all of the above from its first moment.
  ControllerDriver driver_;
};

}  // namespace ospreypost::control_plane
