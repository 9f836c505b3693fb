#include "record/recording_controller.h"

#include "record.pb.h"
#include "record/action_encoder.h"
#include "record/event_encoder.h"
#include "record/writer.h"

namespace ospreypost::record {

template <typename Handler>
void RecordingController::record(Nanos now, const Event& event, Handler handle) {
  if (!writer_) {
    handle();
    return;
  }
  entry_->Clear();
  entry_->set_at(now.count());
  encode_event(event, *entry_);
  handle();
  serialized_entry_.clear();
  entry_->AppendToString(&serialized_entry_);
  writer_->append(now, serialized_entry_);
}

RecordingController::RecordingController(const Settings& settings, std::uint64_t seed, Nanos now,
                                         ActionSink& actions, Writer* writer,
                                         const std::string& configuration)
    : actions_(actions), writer_(writer), entry_(std::make_unique<kept::Entry>()) {
  const Nanos wall_time = std::chrono::system_clock::now().time_since_epoch();
  record(now, IncarnationStarted{configuration, wall_time}, [&] {
    controller_ = std::make_unique<Controller>(settings, seed, now, static_cast<ActionSink&>(*this));
  });
}

RecordingController::~RecordingController() = default;

void RecordingController::on_endpoint_list(Nanos now, EndpointListKind kind,
                                           const std::vector<EndpointUpdate>& entries) {
  record(now, EndpointListReceived{kind, entries},
         [&] { controller_->on_endpoint_list(now, kind, entries); });
}

void RecordingController::on_endpoint_list_failed(Nanos now) {
  record(now, EndpointListFailed{}, [&] { controller_->on_endpoint_list_failed(now); });
}

void RecordingController::on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone,
                                          double usual_requests_per_second, bool fresh) {
  record(now, ProxyJoined{proxy, zone, usual_requests_per_second, fresh},
         [&] { controller_->on_proxy_joined(now, proxy, zone, usual_requests_per_second, fresh); });
}

void RecordingController::on_proxy_left(Nanos now, ProxyId proxy) {
  record(now, ProxyLeft{proxy}, [&] { controller_->on_proxy_left(now, proxy); });
}

void RecordingController::on_replica_load_report(Nanos now, const ReplicaLoadReport& report,
                                                 const Origin& origin) {
  record(now, ReplicaLoadReported{report, origin}, [&] { controller_->on_replica_load_report(now, report); });
}

void RecordingController::on_demand_report(Nanos now, const DemandReport& report, const Origin& origin) {
  record(now, DemandReported{report, origin},
         [&] { controller_->on_demand_report(now, origin.proxy, report); });
}

void RecordingController::on_acknowledged(Nanos now, ProxyId proxy, AckRequestId request, Nanos elapsed) {
  record(now, Acknowledged{proxy, request, elapsed},
         [&] { controller_->on_acknowledged(now, proxy, request, elapsed); });
}

void RecordingController::on_health_check_result(Nanos now, const HealthCheckResult& result) {
  record(now, HealthCheckCompleted{result}, [&] { controller_->on_health_check_result(now, result); });
}

void RecordingController::on_timer(Nanos now, TimerId timer) {
  record(now, TimerExpired{timer}, [&] { controller_->on_timer(now, timer); });
}

void RecordingController::on_peer_message(Nanos now, PeerId peer, std::string_view message) {
  record(now, PeerMessageReceived{peer, message}, [&] { controller_->on_peer_message(now, peer, message); });
}

void RecordingController::on_replica_named(Nanos now, ReplicaId replica, const std::string& name) {
  record(now, ReplicaNamed{replica, name}, [] {});
}

void RecordingController::on_action(const Action& action) {
  if (writer_) encode_action(action, *entry_);
  actions_.on_action(action);
}

}  // namespace ospreypost::record
