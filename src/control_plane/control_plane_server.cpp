#include "control_plane/control_plane_server.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/config.h"
#include "control_plane/control_plane.h"
#include "control_plane/control_plane_host.h"
#include "control_plane/health_checker.h"
#include "control_plane/http_api.h"
#include "control_plane/status.h"
#include "discovery/endpoint_file_source.h"
#include "discovery/endpoint_list.h"
#include "dns/responder.h"
#include "dns/server.h"
#include "files/pusher.h"
#include "http/http.h"
#include "load_reports/load_report_processor.h"
#include "net/socket.h"
#include "policy/observations.h"
#include "policy/types.h"
#include "record/origin.h"
#include "record/writer.h"
#include "routing_state/lease_table.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxHttpConnections = 64;
constexpr Nanos kPeerErrorLogInterval = 1min;

Nanos steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }
Nanos unix_now() { return std::chrono::system_clock::now().time_since_epoch(); }

}  // namespace

ControlPlaneServer::ControlPlaneServer(config::Config config, std::shared_ptr<spdlog::logger> log)
    : config_(std::move(config)), log_(std::move(log)), peer_errors_(log_, kPeerErrorLogInterval) {
  record_writer_ = make_record_writer();
  control_plane_ = make_control_plane();
  load_reports_ = std::make_unique<load_reports::LoadReportProcessor>(
      config_, static_cast<load_reports::LoadReportListener&>(*this));
  dns_responder_ = std::make_unique<dns::Responder>(config_, *control_plane_);
  health_checker_ = make_health_checker();
  dns_server_ = std::make_unique<dns::Server>(config_.dns, *dns_responder_, config_.seed,
                                              [this](const std::string& what) { log_peer_error(what); });
  http_api_ = std::make_unique<HttpApi>(
      HttpApi::Targets{config_, *control_plane_, *load_reports_, peer_errors_}, log_);
  http_server_ = make_http_server();
  pusher_ = std::make_unique<files::Pusher>(config_, *control_plane_);
  http_api_->set_pusher(pusher_.get());
  control_plane_->set_push_listener(pusher_.get());
  endpoint_source_ = std::make_unique<discovery::EndpointFileSource>(
      config_, static_cast<discovery::EndpointSourceListener&>(*this), steady_now);
}

// Stops each component before the components that it calls.
void ControlPlaneServer::stop() {
  if (stopped_.exchange(true)) return;
  endpoint_source_->stop();
  http_server_->stop();
  dns_server_->stop();
  control_plane_->set_push_listener(nullptr);
  pusher_->stop();
  control_plane_->stop();
  health_checker_->stop();
  if (record_writer_) record_writer_->stop();
}

// --- Construction of the components

std::unique_ptr<record::Writer> ControlPlaneServer::make_record_writer() const {
  if (!config_.record.keep) return nullptr;
  return std::make_unique<record::Writer>(record::RetentionPolicy{
      config_.record.folder, config_.record.most_bytes, config_.record.file_bytes, config_.record.file_age});
}

std::unique_ptr<ControlPlane> ControlPlaneServer::make_control_plane() {
  // The start time in the owner's name makes the name unique among all processes. The first epoch is the
  // start time in seconds; after the clock was set back, a claim uses an epoch above the epoch that the proxy
  // reports.
  const auto start = static_cast<std::uint64_t>(unix_now() / 1s);
  const routing_state::LeaseTable leases(start, config_.name + "." + std::to_string(unix_now().count()));
  return std::make_unique<ControlPlane>(config_, static_cast<ControlPlaneHost&>(*this), steady_now, leases,
                                        record_writer_.get());
}

std::unique_ptr<HealthChecker> ControlPlaneServer::make_health_checker() {
  return std::make_unique<HealthChecker>(config_, [this](const HealthCheckResult& result) {
    if (!stopped_) control_plane_->on_health_check_result(result);
  });
}

std::unique_ptr<http::Server> ControlPlaneServer::make_http_server() {
  http::Limits limits;
  limits.max_body_bytes = config_.reports.most_bytes;
  const auto handle = [this](const http::Request& request) { return http_api_->handle(request); };
  const auto on_error = [this](const std::string& what) { log_peer_error(what); };
  return std::make_unique<http::Server>("http", config_.reports.listen, limits, kMaxHttpConnections, handle,
                                        on_error);
}

// --- Requests of the control plane, made with its locks held and possibly before all components exist

void ControlPlaneServer::request_health_check(ReplicaId replica, const net::Address& address) {
  if (health_checker_) health_checker_->request(replica, address);
}

void ControlPlaneServer::refresh_endpoint_list() {
  if (endpoint_source_) endpoint_source_->refresh();
}

void ControlPlaneServer::log(std::string_view line, routing_state::SnapshotVersion version) {
  log_->info("{} version={}", line, static_cast<std::uint64_t>(version));
}

// --- The endpoint list

void ControlPlaneServer::on_endpoint_list_changed(const discovery::EndpointList::Changes& changes) {
  for (const auto& change : changes.changes) {
    log_->info("endpoint_changed replica={} phase={}", change.name, name_of(change.phase));
  }
  control_plane_->on_endpoint_list_changed(changes);
}

// An unreadable endpoint list does not mean that no endpoint is left: the last good list stays in use.
// The controller is not notified, because it could do nothing about the error.
void ControlPlaneServer::on_endpoint_list_unreadable(const std::string& why) {
  log_->warn("endpoint_list_unavailable error={}", why);
}

// --- Load reports

std::optional<ReplicaId> ControlPlaneServer::find_replica(std::string_view name) const {
  return control_plane_->find_replica(name);
}

void ControlPlaneServer::on_replica_load_report(const ReplicaLoadReport& report,
                                                const record::Origin& origin) {
  control_plane_->on_replica_load_report(report, origin);
}

void ControlPlaneServer::on_demand_report(const DemandReport& report, const record::Origin& origin) {
  control_plane_->on_demand_report(report, origin);
}

}  // namespace ospreypost::control_plane
