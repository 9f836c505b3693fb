// The module in the live world: one lock, calls in, orders out into the book, one version a call.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "control_plane/controller_driver.h"
#include "delivery/pull_service.h"
#include "delivery/push_service.h"
#include "discovery/endpoint_list.h"
#include "discovery/name_table.h"
#include "dns/client_ttl_policy.h"
#include "policy/controller.h"
#include "routing_state/lease_table.h"
#include "routing_state/pull_delivery.h"
#include "routing_state/push_scheduler.h"

namespace ospreypost::control_plane {

// Where the live governor acts on the world beyond its fronts. Called under its lock: take note and return.
class ControlPlaneHost {
 public:
  virtual ~ControlPlaneHost() = default;
  virtual void request_health_check(ReplicaId replica, const net::Address& at) = 0;
  virtual void refresh_endpoint_list() = 0;
  virtual void log(std::string_view line, routing_state::SnapshotVersion version) = 0;
};

// What stands now, for those who look.
struct ControlPlaneStatus {
  std::shared_ptr<const routing_state::RoutingSnapshot> version;
  std::shared_ptr<const delivery::EndpointDirectory> directory;
  routing_state::PullDelivery::Counts counts;
  routing_state::PushScheduler::Counts pushes;
  std::vector<bool> joined;           // by proxy
  std::vector<EndpointPhase> phases;  // by replica, as listed
};

class ControlPlane : public delivery::PullService, public delivery::PushService, private ControllerFrontend {
 public:
  ControlPlane(const config::Config& config, ControlPlaneHost& world, ControllerDriver::Clock clock,
               routing_state::LeaseTable claims = {1, "governor"}, record::Writer* record = nullptr);
  ~ControlPlane() override;
  void stop() { driver_.stop(); }

  // The list, from one source. The replicas' kinds and zones must be known to the configuration.
  void on_endpoint_list_changed(const discovery::EndpointList::Changes& taken);
  void list_failed();

  // Reports, already told apart by their spans.
  void on_replica_load_report(const ReplicaLoadReport& sum, const record::Origin& origin);
  void on_demand_report(const DemandReport& demand, const record::Origin& origin);
  void reported(ProxyId proxy);  // a report came, whatever was in it
  void on_health_check_result(const HealthCheckResult& answer);

  delivery::PullAnswer on_query(ProxyId proxy, ClassId cls) override;
  delivery::PullAnswer on_zone_query(ZoneId zone) override;
  std::optional<delivery::PushMessage> take_push() override;
  std::optional<Nanos> next_push_in() override;
  void on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion since) override;
  void on_push_failed(ProxyId proxy, const std::string& why) override;
  void on_push_rejected(ProxyId proxy, const routing_state::RemoteState& met) override;
  void on_remote_state(ProxyId proxy, const routing_state::RemoteState& met) override;
  void on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to) override;
  // Whom nobody may send to now, by name.
  std::vector<std::string> out() const;
  // Told of orders from then on; null: nobody. It must outlive that.
  void tell_orders_to(delivery::PushListener* pusher) { pusher_ = pusher; }
  std::shared_ptr<const delivery::EndpointDirectory> directory() const override;
  routing_state::SnapshotVersion version() const override;
  std::optional<ReplicaId> find_replica(std::string_view name) const;
  ControlPlaneStatus standing() const;

 private:
  void on_published(Nanos now, const std::optional<routing_state::RoutingState::Publication>& published,
                    const std::vector<RequestAcknowledgement>& marks) override;
  void on_ejection_changed(ReplicaId replica, bool out) override;
  void request_health_check(ReplicaId replica) override;
  void watch_endpoint_list(bool on) override;
  void refresh_endpoint_list() override;
  void send_to_peer(std::optional<PeerId> peer, std::string_view message) override;
  void log(std::string_view line) override;

  void publish_out(Nanos now);
  // Brings the module's view of who has joined up to that of the clients, whoever was faster to change it.
  void settle(ProxyId proxy);
  bool is_held(ProxyId proxy) const;
  const config::ProxyEntry& entry_of(ProxyId proxy) const {
    return config_.proxies.known[static_cast<std::size_t>(proxy)];
  }
  void note_places(const discovery::EndpointList::Changes& taken);
  bool changes_hands(Nanos now, ProxyId proxy, const routing_state::RemoteState& met);
  void note_way_back(Nanos now, ProxyId proxy, const std::vector<std::string>& rolled_back_to);
  void note_fault(ProxyId proxy, const std::string& why);
  void sweep();
  std::vector<delivery::FallbackProxy> entries_for(std::optional<ZoneId> zone,
                                                   std::optional<ProxyId> but) const;

  const config::Config& config_;
  ControlPlaneHost& world_;

  // With the desk's lock held.
  discovery::NameTable<ReplicaId> replicas_;
  discovery::NameTable<CellId> cells_;
  std::vector<EndpointPhase> phases_;
  std::set<ProxyId> joined_;
  std::set<ReplicaId> withdrawn_;
  bool out_changed_ = false;

  // What fronts read without that lock; each held for a few instructions. Order: the desk's before these.
  mutable std::mutex clients_lock_;
  dns::ClientTtlPolicy ttl_policy_;
  mutable std::mutex delivery_lock_;
  routing_state::PullDelivery pull_delivery_;
  routing_state::PushScheduler push_scheduler_;
  routing_state::LeaseTable lease_table_;
  std::map<ProxyId, std::string> push_faults_;
  std::atomic<delivery::PushListener*> pusher_ = nullptr;
  mutable std::mutex shared_lock_;
  std::shared_ptr<const routing_state::RoutingSnapshot> version_ =
      std::make_shared<routing_state::RoutingSnapshot>();
  std::shared_ptr<const delivery::EndpointDirectory> directory_ =
      std::make_shared<delivery::EndpointDirectory>();
  std::vector<std::string> out_;

  // The last one: the module acts on all of the above from its first moment.
  ControllerDriver driver_;
};

}  // namespace ospreypost::control_plane
