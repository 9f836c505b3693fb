/// The entry point of the decision module: receives the events of the fleet and issues actions through an
/// `ActionSink`. docs/design.md gives the reasons for the controller's rules.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "policy/action_sink.h"
#include "policy/observations.h"
#include "policy/settings.h"
#include "policy/types.h"

namespace ospreypost {

/// Makes the decisions of one control plane instance. Construct a controller when the instance starts, and
/// call the method of each event when the event happens. Every call issues its actions to the sink before
/// returning. The time passed to the calls must never decrease. Not thread-safe.
class Controller {
 public:
  /// `seed` seeds all random choices of the controller. `actions` must outlive the controller.
  Controller(const Settings& settings, std::uint64_t seed, Nanos now, ActionSink& actions);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  void on_endpoint_list(Nanos now, EndpointListKind kind, const std::vector<EndpointUpdate>& entries);
  /// Reports that the watched endpoint list is unavailable. The controller watches again after a backoff.
  void on_endpoint_list_failed(Nanos now);
  /// `fresh`: whether the proxy holds no tables yet. The controller sends tables in either case.
  void on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_requests_per_second, bool fresh);
  void on_proxy_left(Nanos now, ProxyId proxy);
  void on_replica_load_report(Nanos now, const ReplicaLoadReport& report);
  void on_demand_report(Nanos now, ProxyId proxy, const DemandReport& demand);
  /// Reports that the proxy has applied everything sent before the request.
  /// `elapsed` is the time since the request was sent.
  void on_acknowledged(Nanos now, ProxyId proxy, AckRequestId request, Nanos elapsed);
  void on_health_check_result(Nanos now, const HealthCheckResult& result);
  void on_timer(Nanos now, TimerId timer);

  // The following methods do nothing. They exist because the simulator's protocol has these events.
  // The controller needs no gossip between instances.
  // The controller does not support deployments with slices and leaves their tables unchanged.
  void on_peer_message(Nanos now, PeerId peer, std::string_view message);
  void on_slice_granted(Nanos now, TableId slice);
  void on_slice_revoked(Nanos now, TableId slice);
  void on_slice_entry_stored(Nanos now, TableId slice, ReplicaId replica, double weight);
  void on_slice_demand_report(Nanos now, TableId slice, const DemandReport& demand);

 private:
  class ControlLoop;
  std::unique_ptr<ControlLoop> loop_;
};

}  // namespace ospreypost
