#include "replay/event_decoder.h"

#include <vector>

#include "record.pb.h"
#include "replay/decode_id.h"

namespace ospreypost::replay {
namespace {

using kept::Entry;

std::vector<EndpointUpdate> decode(const kept::ListReceived& encoded) {
  std::vector<EndpointUpdate> entries;
  for (const auto& entry : encoded.entries()) entries.push_back(decode_endpoint_update(entry));
  return entries;
}

ReplicaLoadReport decode(const kept::ReplicaSummed& encoded) {
  ReplicaLoadReport report;
  report.zone = decode_id<ZoneId>(encoded.zone());
  report.replica = decode_id<ReplicaId>(encoded.replica());
  report.attempts = encoded.tries();
  report.failed = encoded.failed();
  report.mean_latency = Nanos(encoded.mean_time());
  report.span = Nanos(encoded.span());
  report.load.assign(encoded.load().begin(), encoded.load().end());
  return report;
}

DemandReport decode(const kept::DemandSummed& encoded) {
  DemandReport report;
  report.cls = decode_id<ClassId>(encoded.cls());
  report.operations = encoded.operations();
  report.unanswered = encoded.unanswered();
  report.span = Nanos(encoded.span());
  return report;
}

HealthCheckResult decode(const kept::ProbeAnswered& encoded) {
  HealthCheckResult result;
  result.replica = decode_id<ReplicaId>(encoded.replica());
  result.answered = encoded.answered();
  result.refused = encoded.refused();
  result.took = Nanos(encoded.took());
  result.load.assign(encoded.load().begin(), encoded.load().end());
  return result;
}

void dispatch(const kept::ProxyJoined& encoded, Nanos now, Controller& controller) {
  controller.on_proxy_joined(now, decode_id<ProxyId>(encoded.proxy()), decode_id<ZoneId>(encoded.zone()),
                             encoded.usual_rate(), encoded.fresh());
}

void dispatch(const kept::OrdersApplied& encoded, Nanos now, Controller& controller) {
  controller.on_acknowledged(now, decode_id<ProxyId>(encoded.proxy()), AckRequestId{encoded.mark()},
                             Nanos(encoded.took()));
}

}  // namespace

EndpointUpdate decode_endpoint_update(const kept::ListEntry& encoded) {
  EndpointUpdate update;
  update.replica = decode_id<ReplicaId>(encoded.replica());
  update.zone = decode_id<ZoneId>(encoded.zone());
  update.kind = decode_id<HardwareKindId>(encoded.kind());
  update.cell = decode_id<CellId>(encoded.cell());
  update.phase = static_cast<EndpointPhase>(encoded.phase());
  update.weight = encoded.weight();
  if (encoded.has_started()) update.started = Nanos(encoded.started());
  return update;
}

bool dispatch_event(const Entry& entry, Controller& controller) {
  const Nanos now(entry.at());
  switch (entry.call_case()) {
    case Entry::kListReceived: {
      const auto kind = static_cast<EndpointListKind>(entry.list_received().kind());
      controller.on_endpoint_list(now, kind, decode(entry.list_received()));
      return true;
    }
    case Entry::kListFailed:
      controller.on_endpoint_list_failed(now);
      return true;
    case Entry::kProxyJoined:
      dispatch(entry.proxy_joined(), now, controller);
      return true;
    case Entry::kProxyLeft:
      controller.on_proxy_left(now, decode_id<ProxyId>(entry.proxy_left()));
      return true;
    case Entry::kReplicaSummed:
      controller.on_replica_load_report(now, decode(entry.replica_summed()));
      return true;
    case Entry::kDemandSummed: {
      const auto proxy = decode_id<ProxyId>(entry.demand_summed().proxy());
      controller.on_demand_report(now, proxy, decode(entry.demand_summed()));
      return true;
    }
    case Entry::kOrdersApplied:
      dispatch(entry.orders_applied(), now, controller);
      return true;
    case Entry::kProbeAnswered:
      controller.on_health_check_result(now, decode(entry.probe_answered()));
      return true;
    case Entry::kTimerDue:
      controller.on_timer(now, TimerId{entry.timer_due()});
      return true;
    case Entry::kPeerSaid:
      controller.on_peer_message(now, decode_id<PeerId>(entry.peer_said().peer()),
                                 entry.peer_said().message());
      return true;
    case Entry::kBegin:
    case Entry::kNamed:
    case Entry::CALL_NOT_SET:
      return false;
  }
  return false;
}

}  // namespace ospreypost::replay
