/// Owns the parts of the decision module and calls them in order, on each event and in each iteration.
#pragma once

#include <random>

#include "policy/admission_controller.h"
#include "policy/control_channel.h"
#include "policy/controller.h"
#include "policy/endpoint_membership.h"
#include "policy/fleet_statistics.h"
#include "policy/load_feedback.h"
#include "policy/load_signal.h"
#include "policy/locality_planner.h"
#include "policy/outlier_detector.h"
#include "policy/request_classes.h"
#include "policy/slow_start.h"
#include "policy/subset_assignment.h"
#include "policy/table_publisher.h"
#include "policy/warm_up_limiter.h"

namespace ospreypost {

/// The implementation of `Controller`. Urgent work is done in the call that reports the event: ejecting
/// draining and removed replicas, and sending tables to a joining proxy. All other work is done in the next
/// iteration of the control loop.
class Controller::ControlLoop {
 public:
  ControlLoop(const Settings& settings, std::uint64_t seed, Nanos now, ActionSink& actions);

  void on_endpoint_list(Nanos now, EndpointListKind kind, const std::vector<EndpointUpdate>& entries);
  void on_endpoint_list_failed();
  void on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_requests_per_second);
  void on_proxy_left(ProxyId proxy);
  void on_replica_load_report(Nanos now, const ReplicaLoadReport& report);
  void on_demand_report(Nanos now, ProxyId proxy, const DemandReport& demand);
  void on_acknowledged(Nanos now, AckRequestId request);
  void on_health_check_result(Nanos now, const HealthCheckResult& result);
  void on_timer(Nanos now, TimerId timer);

 private:
  void run_iteration();
  void apply(const EndpointUpdate& update, bool known_before_start);
  void forget_expired_replicas();
  void request_health_checks();
  void collect_statistics();
  void restore_endpoints();
  void bind_unassigned_proxies();
  void migrate_proxies();
  void bind(ProxyId proxy, std::size_t subset, policy::TablePublisher::Binding binding);
  void publish();
  policy::TableSet plan_tables();

  policy::ReplicaMap& replicas() { return membership_.replicas(); }
  std::size_t zones() const { return assignment_.layout().zones(); }

  ActionSink& actions_;
  const Nanos interval_;
  std::mt19937 random_;

  policy::EvidenceClock clock_;
  policy::RequestClasses classes_;
  policy::LoadSignal load_signal_;
  policy::SlowStart slow_start_;
  policy::EndpointMembership membership_;
  policy::OutlierDetector outlier_detector_;
  policy::LoadFeedback load_feedback_;
  policy::AdmissionController admission_;
  policy::SubsetAssignment assignment_;
  policy::LocalityPlanner planner_;
  policy::WarmUpLimiter warm_up_limiter_;
  policy::ControlChannel channel_;
  policy::TablePublisher publisher_;

  policy::FleetStatistics fleet_;  // collected at the last iteration or the last endpoint list
  policy::ProxyDemand demand_;     // collected together with fleet_
  unsigned iteration_ = 0;
  int list_failures_ = 0;  // consecutive failures to get the endpoint list
};

}  // namespace ospreypost
