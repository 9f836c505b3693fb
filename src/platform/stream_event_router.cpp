#include "platform/stream_event_router.h"

#include <cstdint>

#include "policy/controller.h"
#include "record/recording_controller.h"
#include "routing_state/routing_state.h"

namespace ospreypost::platform {

using record::RecordingController;
using routing_state::RoutingState;

void StreamEventRouter::on_proxy_joined(ProxyId proxy, ZoneId zone, double requests_per_second,
                                        bool newly_added) {
  driver_.call([&](RecordingController& controller, RoutingState& state, Nanos now) {
    delivery_.on_proxy_joined(proxy);
    // The proxy may have joined earlier on a stream that this one replaces. `on_proxy_left` is not called for
    // a replaced stream.
    state.remove_proxy(proxy);
    state.add_proxy(proxy);
    controller.on_proxy_joined(now, proxy, zone, requests_per_second, newly_added);
  });
}

void StreamEventRouter::on_proxy_left(ProxyId proxy) {
  driver_.call([&](RecordingController& controller, RoutingState& state, Nanos now) {
    controller.on_proxy_left(now, proxy);
    state.remove_proxy(proxy);
    delivery_.on_proxy_left(proxy);
  });
}

void StreamEventRouter::on_replica_load_report(const ReplicaLoadReport& report) {
  driver_.call([&](RecordingController& controller, RoutingState&, Nanos now) {
    controller.on_replica_load_report(now, report, record::Origin{});
  });
}

void StreamEventRouter::on_demand_report(ProxyId proxy, const DemandReport& report) {
  driver_.call([&](RecordingController& controller, RoutingState&, Nanos now) {
    controller.on_demand_report(now, report, record::Origin{proxy, {}});
  });
}

void StreamEventRouter::on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos elapsed) {
  for (const auto request : delivery_.on_acknowledgement(proxy, nonce)) {
    driver_.call([&](RecordingController& controller, RoutingState&, Nanos now) {
      controller.on_acknowledged(now, proxy, request, elapsed);
    });
  }
}

}  // namespace ospreypost::platform
