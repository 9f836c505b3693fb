/// The deciding class: takes what happens in the fleet, and acts through an `ActionSink`. docs/design.md says
/// why it decides as it does.
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

/// One control plane instance's decisions. Construct it when the instance starts, then call the method for
/// each thing that happens; every call carries the time, which never goes back, and acts on the sink before
/// it returns. Not thread-safe.
class Controller {
 public:
  /// `seed` is that of all chance in it; `actions` must outlive it.
  Controller(const Settings& settings, std::uint64_t seed, Nanos now, ActionSink& actions);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  void on_endpoint_list(Nanos now, EndpointListKind kind, const std::vector<EndpointUpdate>& entries);
  /// The list that was watched for cannot be had now.
  void on_endpoint_list_failed(Nanos now);
  /// `fresh`: it holds no tables yet.
  void on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_requests_per_second, bool fresh);
  void on_proxy_left(Nanos now, ProxyId proxy);
  void on_replica_load_report(Nanos now, const ReplicaLoadReport& report);
  void on_demand_report(Nanos now, ProxyId proxy, const DemandReport& demand);
  /// The proxy has applied all that was sent before the request; `elapsed` since it was sent.
  void on_acknowledged(Nanos now, ProxyId proxy, AckRequestId request, Nanos elapsed);
  void on_health_check_result(Nanos now, const HealthCheckResult& result);
  void on_timer(Nanos now, TimerId timer);

  // Only because the simulator's protocol has them: the design needs no gossip between instances, and
  // deployments with slices are not served; their tables are left as the store holds them.
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
