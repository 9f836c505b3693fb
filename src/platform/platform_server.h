// A governor in service on the platform: streams, discovery and probes round the module's desk.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "control_plane/controller_driver.h"
#include "control_plane/log_lines.h"
#include "discovery/discovery_watcher.h"
#include "net/cancellation_event.h"
#include "net/threads.h"
#include "platform/endpoint_registry.h"
#include "platform/gossip_channel.h"
#include "platform/platform_config.h"
#include "platform/stream_server.h"
#include "platform/table_update_encoder.h"

namespace spdlog {
class logger;
}

namespace ospreypost::platform {

class Service : private control_plane::ControllerFrontend,
                private StreamEventHandler,
                private discovery::EndpointListHandler {
 public:
  // Throws net::Error if an address cannot be had. Serves from then on.
  Service(const PlatformConfig& environment, std::shared_ptr<spdlog::logger> log);
  ~Service() override { stop(); }
  net::Address address() const { return streams_->address(); }
  // Takes what may change while it serves: where discovery is.
  void renew(const PlatformConfig& environment);
  void stop();

 private:
  void on_published(Nanos now, const std::optional<routing_state::RoutingState::Publication>& published,
                    const std::vector<std::pair<AckRequestId, bool>>& marks) override;
  void on_ejection_changed(ReplicaId, bool) override {}
  void request_health_check(ReplicaId replica) override;
  void watch_endpoint_list(bool) override {}
  void refresh_endpoint_list() override { wants_list_ = true; }
  void send_to_peer(std::optional<PeerId> peer, std::string_view message) override;
  void log(std::string_view line) override;

  void on_proxy_joined(ProxyId proxy, ZoneId zone, double operations_per_second, bool fresh) override;
  void on_proxy_left(ProxyId proxy) override;
  void on_replica_load_report(const ReplicaLoadReport& sum) override;
  void on_demand_report(ProxyId proxy, const DemandReport& demand) override;
  void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos took) override;
  std::vector<ProxyId> due_proxies() override;
  std::string next_message(ProxyId proxy) override;
  std::string_view name_of(ReplicaId id) const;
  void log_peer_error(const std::string& what) override { complaints_.add(what); }

  void on_endpoint_list_update(const discovery::EndpointListUpdate& roster) override;
  void on_discovery_silent(const std::string& why) override { log_peer_error("no news of the list: " + why); }
  void take_list(const discovery::EndpointListUpdate& roster, bool at_start);
  void log_list(const discovery::EndpointListUpdate& roster, bool at_start);

  void ask_load(ReplicaId replica, const net::Address& at);
  void run_maintenance();

  const PlatformConfig environment_;
  const std::shared_ptr<spdlog::logger> log_;
  control_plane::RateLimitedLogger complaints_;
  // What is written and to whom; held for a few instructions, after the desk's lock where both are.
  std::mutex lock_;
  TableUpdateEncoder channel_;
  EndpointRegistry places_;
  std::shared_ptr<const routing_state::RoutingSnapshot> version_ =
      std::make_shared<routing_state::RoutingSnapshot>();
  std::set<ReplicaId> probed_;  // whose probes wait for their turn
  std::atomic<bool> wants_list_ = false;
  std::unique_ptr<control_plane::ControllerDriver> driver_;
  net::CancellationEvent interrupt_;  // of probes, at the end
  std::unique_ptr<net::ThreadPool> probers_, teller_;
  std::unique_ptr<GossipChannel> peers_;  // null where governors may not talk
  std::unique_ptr<StreamServer> streams_;
  std::unique_ptr<discovery::DiscoveryWatcher> registry_;
  std::atomic<bool> stopped_ = false;
};

}  // namespace ospreypost::platform
