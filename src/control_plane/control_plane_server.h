/// A running control plane instance: the control plane together with its endpoint list source, load report
/// processing, DNS server, HTTP server and file pusher.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config/config.h"
#include "control_plane/control_plane.h"
#include "control_plane/control_plane_host.h"
#include "control_plane/health_checker.h"
#include "control_plane/http_api.h"
#include "control_plane/log_lines.h"
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
#include "routing_state/routing_snapshot.h"

namespace spdlog {
class logger;
}

namespace ospreypost::control_plane {

/// Creates, starts and stops the components of a control plane instance, and passes calls between them.
class ControlPlaneServer : private ControlPlaneHost,
                           private discovery::EndpointSourceListener,
                           private load_reports::LoadReportListener {
 public:
  /// Starts all components. Throws `net::Error` if an address cannot be bound.
  ControlPlaneServer(config::Config config, std::shared_ptr<spdlog::logger> log);
  ~ControlPlaneServer() override { stop(); }
  net::Address dns_address() const { return dns_server_->address(); }
  net::Address http_address() const { return http_server_->address(); }
  /// Closes all connections and joins all threads, within a second.
  void stop();

 private:
  void request_health_check(ReplicaId replica, const net::Address& address) override;
  void refresh_endpoint_list() override;
  void log(std::string_view line, routing_state::SnapshotVersion version) override;

  void on_endpoint_list_changed(const discovery::EndpointList::Changes& changes) override;
  void on_endpoint_list_unreadable(const std::string& why) override;

  std::optional<ReplicaId> find_replica(std::string_view name) const override;
  void on_replica_load_report(const ReplicaLoadReport& report, const record::Origin& origin) override;
  void on_demand_report(const DemandReport& report, const record::Origin& origin) override;
  void on_report(ProxyId proxy) override { control_plane_->on_report(proxy); }

  std::unique_ptr<record::Writer> make_record_writer() const;
  std::unique_ptr<ControlPlane> make_control_plane();
  std::unique_ptr<HealthChecker> make_health_checker();
  std::unique_ptr<http::Server> make_http_server();
  void log_peer_error(const std::string& what) { peer_errors_.add(what); }

  const config::Config config_;
  const std::shared_ptr<spdlog::logger> log_;
  RateLimitedLogger peer_errors_;
  std::atomic<bool> stopped_ = false;

  // The components, in the order in which they are started.
  std::unique_ptr<record::Writer> record_writer_;  // null if nothing is recorded
  std::unique_ptr<ControlPlane> control_plane_;
  std::unique_ptr<load_reports::LoadReportProcessor> load_reports_;
  std::unique_ptr<dns::Responder> dns_responder_;
  std::unique_ptr<HealthChecker> health_checker_;
  std::unique_ptr<dns::Server> dns_server_;
  std::unique_ptr<HttpApi> http_api_;
  std::unique_ptr<http::Server> http_server_;
  std::unique_ptr<files::Pusher> pusher_;
  std::unique_ptr<discovery::EndpointFileSource> endpoint_source_;
};

}  // namespace ospreypost::control_plane
