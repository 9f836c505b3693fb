#include "platform/platform_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control_plane/controller_driver.h"
#include "discovery/discovery_watcher.h"
#include "net/threads.h"
#include "platform/endpoint_list_intake.h"
#include "platform/gossip_channel.h"
#include "platform/health_checker.h"
#include "platform/messages.h"
#include "platform/platform_config.h"
#include "platform/stream_event_router.h"
#include "platform/stream_server.h"
#include "policy/actions.h"
#include "policy/controller.h"
#include "record/recording_controller.h"
#include "routing_state/routing_state.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using control_plane::ControllerDriver;

// File descriptors reserved for everything except streams: one for each concurrent health check, and 24
// others. The 24 others cover the watches of discovery with their cancellation, at the current address and at
// up to four previous addresses that are still being closed; the poller; the listener; a connection that was
// just accepted; gossip; the cancellation of health checks; and the standard streams.
constexpr std::size_t kOtherDescriptors = kMaxConcurrentHealthChecks + 24;
constexpr std::size_t kMaxWaitingGossipMessages = 64;
constexpr std::size_t kGossipSenderStackBytes = std::size_t{64} * 1024;
constexpr Nanos kMinGatherTime = 2ms;
constexpr Nanos kMaintenanceInterval = 500ms;
constexpr Nanos kPeerErrorLogInterval = 5s;
// Maximum size of the messages that all peers send at once, as a fraction of the process's memory.
constexpr std::size_t kMemoryPerStreamMessages = 8;
constexpr std::size_t kMinMessageBytes = std::size_t{4} << 10;
constexpr std::size_t kMaxMessageBytes = std::size_t{64} << 10;
// Maximum length of a line of discovery, as a fraction of the process's memory. A line is held together with
// up to 12 times its size of parsed values while it is read.
constexpr std::size_t kMemoryPerDiscoveryLine = 48;
constexpr std::size_t kMinDiscoveryLineBytes = std::size_t{256} << 10;
constexpr std::size_t kMaxDiscoveryLineBytes = std::size_t{8} << 20;

Nanos steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }
Nanos unix_now() { return std::chrono::system_clock::now().time_since_epoch(); }

}  // namespace

PlatformServer::PlatformServer(PlatformConfig config, std::shared_ptr<spdlog::logger> log)
    : config_(std::move(config)),
      log_(std::move(log)),
      peer_errors_(log_, kPeerErrorLogInterval),
      delivery_(config_, steady_now() - unix_now()) {
  // The health checker is created before the driver, as the controller may request a health check as soon as
  // the driver exists.
  health_checker_ = make_health_checker();
  driver_ = make_driver();
  endpoint_list_intake_ = make_endpoint_list_intake();
  const auto known_revision = endpoint_list_intake_->apply_cached(config_.cached_endpoint_list);
  if (config_.gossip_enabled) {
    gossip_sender_ = std::make_unique<net::ThreadPool>("gossip-send", 1, kMaxWaitingGossipMessages,
                                                       kGossipSenderStackBytes);
    gossip_ = make_gossip();
  }
  stream_events_ = std::make_unique<StreamEventRouter>(*driver_, delivery_, peer_errors_);
  streams_ = make_streams();
  discovery::DiscoveryWatcher::Limits limits;
  limits.max_line_bytes = std::clamp(config_.max_memory_bytes / kMemoryPerDiscoveryLine,
                                     kMinDiscoveryLineBytes, kMaxDiscoveryLineBytes);
  discovery_watcher_ = std::make_unique<discovery::DiscoveryWatcher>(config_.discovery, known_revision,
                                                                     *endpoint_list_intake_, limits);
  driver_->start([this] { run_maintenance(); }, kMaintenanceInterval);
}

void PlatformServer::stop() {
  if (stopped_.exchange(true)) return;
  health_checker_->cancel();
  discovery_watcher_->stop();
  driver_->stop();
  streams_->stop();
  health_checker_->stop();
  if (gossip_sender_) gossip_sender_->stop();
  if (gossip_) gossip_->stop();
}

void PlatformServer::reload(const PlatformConfig& config) {
  log_->info("configuration read again, discovery at {}", config.discovery.text());
  discovery_watcher_->move_to(config.discovery);
}

// --- Creation of the components

std::unique_ptr<HealthChecker> PlatformServer::make_health_checker() {
  const auto on_result = [this](const HealthCheckResult& result) {
    driver_->call([&](record::RecordingController& controller, routing_state::RoutingState&, Nanos now) {
      controller.on_health_check_result(now, result);
    });
  };
  const auto on_error = [this](const std::string& what) { peer_errors_.add(what); };
  return std::make_unique<HealthChecker>(config_.load_columns, on_result, on_error);
}

std::unique_ptr<ControllerDriver> PlatformServer::make_driver() {
  // The changes of all controller calls within the gather time are sent to each proxy as one message, like
  // the changes of one batch of calls in the simulator. Each message has an overhead, and the number of
  // messages to a proxy is limited.
  const auto gather_time = std::max(config_.min_batch_interval, kMinGatherTime);
  const ControllerDriver::Options options{config_.settings, config_.seed, gather_time, nullptr, ""};
  return std::make_unique<ControllerDriver>(options, steady_now,
                                            static_cast<control_plane::ControllerFrontend&>(*this));
}

std::unique_ptr<EndpointListIntake> PlatformServer::make_endpoint_list_intake() {
  const auto wake_streams = [this] {
    if (streams_) streams_->wake();
  };
  return std::make_unique<EndpointListIntake>(EndpointListIntake::Targets{*driver_, delivery_, peer_errors_},
                                              log_, config_.settings.warm_up_duration, wake_streams);
}

std::unique_ptr<GossipChannel> PlatformServer::make_gossip() {
  const auto on_message = [this](PeerId peer, std::string_view message) {
    driver_->call([&](record::RecordingController& controller, routing_state::RoutingState&, Nanos now) {
      controller.on_peer_message(now, peer, message);
    });
  };
  return std::make_unique<GossipChannel>(config_.peer_listen, config_.peers, config_.all_peers, on_message);
}

std::unique_ptr<StreamServer> PlatformServer::make_streams() {
  StreamServer::Limits limits;
  limits.max_connections = config_.max_descriptors - kOtherDescriptors;
  limits.max_message_bytes =
      std::clamp(config_.max_memory_bytes / kMemoryPerStreamMessages / limits.max_connections,
                 kMinMessageBytes, kMaxMessageBytes);
  return std::make_unique<StreamServer>(config_.listen, limits, make_message_names(), *stream_events_);
}

MessageNames PlatformServer::make_message_names() const {
  MessageNames names;
  names.classes = config_.classes;
  names.zones = config_.zones;
  names.load_columns = config_.load_columns;
  names.proxies = config_.settings.proxies;
  names.find_replica = [this](std::string_view name) { return delivery_.find_replica(name); };
  return names;
}

// --- Execution of the controller's actions, with the driver's lock held

void PlatformServer::on_published(Nanos,
                                  const std::optional<routing_state::RoutingState::Publication>& published,
                                  const std::vector<RequestAcknowledgement>& requests) {
  delivery_.on_published(published, requests);
  if (streams_) streams_->wake();
}

void PlatformServer::request_health_check(ReplicaId replica) {
  if (const auto address = delivery_.address_of(replica)) health_checker_->request(replica, *address);
}

void PlatformServer::send_to_peer(std::optional<PeerId> peer, std::string_view message) {
  if (!gossip_) return;
  gossip_sender_->take([this, peer, text = std::string(message)] { gossip_->send_to_peer(peer, text); });
}

void PlatformServer::log(std::string_view line) { log_->info("{}", delivery_.with_replica_name(line)); }

// Runs every `kMaintenanceInterval` without a lock held. Does the work that must not be done during a call on
// the controller, because the work may block or take long.
void PlatformServer::run_maintenance() {
  if (list_refresh_requested_.exchange(false)) discovery_watcher_->refresh();
  delivery_.release_unused_replicas();
}

}  // namespace ospreypost::platform
