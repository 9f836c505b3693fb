/// Passes the messages that proxies and collectors send on their streams to the controller.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control_plane/controller_driver.h"
#include "control_plane/log_lines.h"
#include "platform/stream_delivery.h"
#include "platform/stream_server.h"
#include "policy/controller.h"

namespace ospreypost::platform {

/// Makes one call on the controller for each stream event, and one for each acknowledgement request that an
/// acknowledgement completes. Called from the thread of `StreamServer`.
class StreamEventRouter : public StreamEventHandler {
 public:
  /// The arguments must outlive the router.
  StreamEventRouter(control_plane::ControllerDriver& driver, StreamDelivery& delivery,
                    control_plane::RateLimitedLogger& errors)
      : driver_(driver), delivery_(delivery), errors_(errors) {}

  void on_proxy_joined(ProxyId proxy, ZoneId zone, double requests_per_second, bool newly_added) override;
  void on_proxy_left(ProxyId proxy) override;
  void on_replica_load_report(const ReplicaLoadReport& report) override;
  void on_demand_report(ProxyId proxy, const DemandReport& report) override;
  void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos elapsed) override;
  std::vector<ProxyId> due_proxies() override { return delivery_.due_proxies(); }
  std::string next_message(ProxyId proxy) override { return delivery_.next_message(proxy); }
  void log_peer_error(const std::string& what) override { errors_.add(what); }

 private:
  control_plane::ControllerDriver& driver_;
  StreamDelivery& delivery_;
  control_plane::RateLimitedLogger& errors_;
};

}  // namespace ospreypost::platform
