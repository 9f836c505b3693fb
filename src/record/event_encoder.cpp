#include "record/event_encoder.h"

#include "record.pb.h"
#include "record/id_number.h"

namespace ospreypost::record {
namespace {

void encode(const IncarnationStarted& event, kept::Entry& entry) {
  auto& encoded = *entry.mutable_begin();
  encoded.set_configuration(event.configuration);
  encoded.set_wall(event.wall_time.count());
}

void encode(const ReplicaNamed& event, kept::Entry& entry) {
  auto& encoded = *entry.mutable_named();
  encoded.set_replica(id_number(event.replica));
  encoded.set_name(event.name);
}

void encode(const EndpointUpdate& update, kept::ListEntry& encoded) {
  encoded.set_replica(id_number(update.replica));
  encoded.set_zone(id_number(update.zone));
  encoded.set_kind(id_number(update.kind));
  encoded.set_cell(id_number(update.cell));
  encoded.set_phase(static_cast<std::uint32_t>(update.phase));
  encoded.set_weight(update.weight);
  if (update.started) encoded.set_started(update.started->count());
}

void encode(const EndpointListReceived& event, kept::Entry& entry) {
  auto& encoded = *entry.mutable_list_received();
  encoded.set_kind(static_cast<std::uint32_t>(event.kind));
  for (const auto& update : event.entries) encode(update, *encoded.add_entries());
}

void encode(const EndpointListFailed&, kept::Entry& entry) { entry.set_list_failed(true); }

void encode(const ProxyJoined& event, kept::Entry& entry) {
  auto& encoded = *entry.mutable_proxy_joined();
  encoded.set_proxy(id_number(event.proxy));
  encoded.set_zone(id_number(event.zone));
  encoded.set_usual_rate(event.usual_requests_per_second);
  encoded.set_fresh(event.fresh);
}

void encode(const ProxyLeft& event, kept::Entry& entry) { entry.set_proxy_left(id_number(event.proxy)); }

void encode(const ReplicaLoadReported& event, kept::Entry& entry) {
  auto& encoded = *entry.mutable_replica_summed();
  encoded.set_zone(id_number(event.report.zone));
  encoded.set_replica(id_number(event.report.replica));
  encoded.set_tries(event.report.attempts);
  encoded.set_failed(event.report.failed);
  encoded.set_mean_time(event.report.mean_latency.count());
  encoded.set_span(event.report.span.count());
  for (const float value : event.report.load) encoded.add_load(value);
  encoded.set_proxy(id_number(event.origin.proxy));
  encoded.set_late(event.origin.late.count());
}

void encode(const DemandReported& event, kept::Entry& entry) {
  auto& encoded = *entry.mutable_demand_summed();
  encoded.set_proxy(id_number(event.origin.proxy));
  encoded.set_late(event.origin.late.count());
  encoded.set_cls(id_number(event.report.cls));
  encoded.set_operations(event.report.operations);
  encoded.set_unanswered(event.report.unanswered);
  encoded.set_span(event.report.span.count());
}

void encode(const Acknowledged& event, kept::Entry& entry) {
  auto& encoded = *entry.mutable_orders_applied();
  encoded.set_proxy(id_number(event.proxy));
  encoded.set_mark(id_number(event.request));
  encoded.set_took(event.elapsed.count());
}

void encode(const HealthCheckCompleted& event, kept::Entry& entry) {
  auto& encoded = *entry.mutable_probe_answered();
  encoded.set_replica(id_number(event.result.replica));
  encoded.set_answered(event.result.answered);
  encoded.set_refused(event.result.refused);
  encoded.set_took(event.result.took.count());
  for (const float value : event.result.load) encoded.add_load(value);
}

void encode(const TimerExpired& event, kept::Entry& entry) { entry.set_timer_due(id_number(event.timer)); }

void encode(const PeerMessageReceived& event, kept::Entry& entry) {
  auto& encoded = *entry.mutable_peer_said();
  encoded.set_peer(id_number(event.peer));
  encoded.set_message(std::string(event.message));
}

}  // namespace

void encode_event(const Event& event, kept::Entry& entry) {
  std::visit([&entry](const auto& typed_event) { encode(typed_event, entry); }, event);
}

}  // namespace ospreypost::record
