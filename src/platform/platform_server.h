/// A control plane instance on the platform: connects the controller with the proxies' streams, discovery,
/// health checks and gossip.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "control_plane/controller_driver.h"
#include "control_plane/log_lines.h"
#include "discovery/discovery_watcher.h"
#include "net/socket.h"
#include "net/threads.h"
#include "platform/endpoint_list_intake.h"
#include "platform/gossip_channel.h"
#include "platform/health_checker.h"
#include "platform/messages.h"
#include "platform/platform_config.h"
#include "platform/stream_delivery.h"
#include "platform/stream_event_router.h"
#include "platform/stream_server.h"
#include "policy/actions.h"
#include "policy/controller.h"
#include "routing_state/routing_state.h"

namespace spdlog {
class logger;
}

namespace ospreypost::platform {

/// Creates the components and executes the controller's actions.
///
/// Lock order:
/// 1. the lock of `DiscoveryWatcher` that keeps endpoint lists in order;
/// 2. the lock of `ControllerDriver`, which is held during each call on the controller, and so also while the
///    private overrides below execute the controller's actions;
/// 3. the lock of `StreamDelivery`, `HealthChecker`, `RateLimitedLogger` or a thread pool. A thread with one
///    of these locks takes no other lock.
/// The thread of `StreamServer` holds no lock when it calls its `StreamEventHandler`.
class PlatformServer : private control_plane::ControllerFrontend {
 public:
  /// Starts serving. Throws `net::Error` if a listening address cannot be bound.
  PlatformServer(PlatformConfig config, std::shared_ptr<spdlog::logger> log);
  ~PlatformServer() override { stop(); }
  /// Returns the address where proxies and collectors connect.
  net::Address address() const { return streams_->address(); }
  /// Applies the part of the configuration that may change at run time: the address of discovery.
  void reload(const PlatformConfig& config);
  /// Closes all connections and joins all threads.
  void stop();

 private:
  void on_published(Nanos now, const std::optional<routing_state::RoutingState::Publication>& published,
                    const std::vector<RequestAcknowledgement>& requests) override;
  void on_ejection_changed(ReplicaId, bool) override {}
  void request_health_check(ReplicaId replica) override;
  void watch_endpoint_list(bool) override {}
  void refresh_endpoint_list() override { list_refresh_requested_ = true; }
  void send_to_peer(std::optional<PeerId> peer, std::string_view message) override;
  void log(std::string_view line) override;

  std::unique_ptr<HealthChecker> make_health_checker();
  std::unique_ptr<control_plane::ControllerDriver> make_driver();
  std::unique_ptr<EndpointListIntake> make_endpoint_list_intake();
  std::unique_ptr<GossipChannel> make_gossip();
  std::unique_ptr<StreamServer> make_streams();
  MessageNames make_message_names() const;
  void run_maintenance();

  const PlatformConfig config_;
  const std::shared_ptr<spdlog::logger> log_;
  control_plane::RateLimitedLogger peer_errors_;
  StreamDelivery delivery_;
  std::atomic<bool> list_refresh_requested_ = false;

  // Each member is declared after the members that it uses, so that it is destroyed before them.
  std::unique_ptr<control_plane::ControllerDriver> driver_;
  std::unique_ptr<HealthChecker> health_checker_;
  std::unique_ptr<EndpointListIntake> endpoint_list_intake_;
  std::unique_ptr<StreamEventRouter> stream_events_;
  std::unique_ptr<net::ThreadPool> gossip_sender_;  // null if gossip is disabled
  std::unique_ptr<GossipChannel> gossip_;           // null if gossip is disabled
  std::unique_ptr<StreamServer> streams_;
  std::unique_ptr<discovery::DiscoveryWatcher> discovery_watcher_;
  std::atomic<bool> stopped_ = false;
};

}  // namespace ospreypost::platform
