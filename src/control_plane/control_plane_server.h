// The running governor: sources, intake and fronts round the live governor, started and stopped together.
#pragma once

#include <atomic>
#include <memory>

#include "config/config.h"
#include "control_plane/control_plane.h"
#include "control_plane/log_lines.h"
#include "discovery/endpoint_file_source.h"
#include "dns/server.h"
#include "files/pusher.h"
#include "http/http.h"
#include "load_reports/load_report_processor.h"
#include "record/writer.h"

namespace spdlog {
class logger;
}

namespace ospreypost::control_plane {

class ControlPlaneServer : private ControlPlaneHost,
                           private discovery::EndpointSourceListener,
                           private load_reports::LoadReportListener {
 public:
  // Throws net::Error if an address cannot be had. Serves from then on.
  ControlPlaneServer(const config::Config& config, std::shared_ptr<spdlog::logger> log);
  ~ControlPlaneServer() override { stop(); }
  net::Address dns_address() const { return dns_->address(); }
  net::Address http_address() const { return http_->address(); }
  // Within a second.
  void stop();

 private:
  void request_health_check(ReplicaId replica, const net::Address& at) override;
  void refresh_endpoint_list() override;
  void log(std::string_view line, routing_state::SnapshotVersion version) override;
  void on_endpoint_list_changed(const discovery::EndpointList::Changes& taken) override;
  void on_endpoint_list_unreadable(const std::string& why) override;
  std::optional<ReplicaId> find_replica(std::string_view name) const override;
  void on_replica_load_report(const ReplicaLoadReport& sum, const record::Origin& origin) override {
    live_->on_replica_load_report(sum, origin);
  }
  void on_demand_report(const DemandReport& demand, const record::Origin& origin) override {
    live_->on_demand_report(demand, origin);
  }
  void reported(ProxyId proxy) override { live_->reported(proxy); }

  http::Response answer(const http::Request& request);
  http::Response take_metrics(const http::Request& request);
  // /generations/PROXY, /rollback/PROXY?version=N
  http::Response answer_generations(const std::string& proxy);
  http::Response answer_rollback(const std::string& rest);
  void log_peer_error(const std::string& what) { complaints_.add(what); }
  void ask_load(ReplicaId replica, const net::Address& at);

  const config::Config config_;
  const std::shared_ptr<spdlog::logger> log_;
  RateLimitedLogger complaints_;
  std::unique_ptr<record::Writer> record_;
  std::unique_ptr<ControlPlane> live_;
  std::unique_ptr<load_reports::LoadReportProcessor> intake_;
  std::unique_ptr<dns::Responder> responder_;
  std::unique_ptr<net::ThreadPool> probers_;
  std::unique_ptr<dns::Server> dns_;
  std::unique_ptr<http::Server> http_;
  std::unique_ptr<files::Pusher> pusher_;
  std::unique_ptr<discovery::EndpointFileSource> roll_;
  std::atomic<bool> stopped_ = false;
};

}  // namespace ospreypost::control_plane
