#include "policy/controller.h"

#include "policy/control_loop.h"

namespace ospreypost {

Controller::Controller(const Settings& settings, std::uint64_t seed, Nanos now, ActionSink& actions)
    : loop_(std::make_unique<ControlLoop>(settings, seed, now, actions)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

void Controller::on_endpoint_list(Nanos now, EndpointListKind kind,
                                  const std::vector<EndpointUpdate>& entries) {
  loop_->on_endpoint_list(now, kind, entries);
}

void Controller::on_endpoint_list_failed(Nanos) { loop_->on_endpoint_list_failed(); }

void Controller::on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_requests_per_second,
                                 bool) {
  loop_->on_proxy_joined(now, proxy, zone, usual_requests_per_second);
}

void Controller::on_proxy_left(Nanos, ProxyId proxy) { loop_->on_proxy_left(proxy); }

void Controller::on_replica_load_report(Nanos now, const ReplicaLoadReport& report) {
  loop_->on_replica_load_report(now, report);
}

void Controller::on_demand_report(Nanos now, ProxyId proxy, const DemandReport& demand) {
  loop_->on_demand_report(now, proxy, demand);
}

void Controller::on_acknowledged(Nanos now, ProxyId, AckRequestId request, Nanos) {
  loop_->on_acknowledged(now, request);
}

void Controller::on_health_check_result(Nanos now, const HealthCheckResult& result) {
  loop_->on_health_check_result(now, result);
}

void Controller::on_timer(Nanos now, TimerId timer) { loop_->on_timer(now, timer); }

void Controller::on_peer_message(Nanos, PeerId, std::string_view) {}
void Controller::on_slice_granted(Nanos, TableId) {}
void Controller::on_slice_revoked(Nanos, TableId) {}
void Controller::on_slice_entry_stored(Nanos, TableId, ReplicaId, double) {}
void Controller::on_slice_demand_report(Nanos, TableId, const DemandReport&) {}

}  // namespace ospreypost
