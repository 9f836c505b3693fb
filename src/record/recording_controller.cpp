#include "record/recording_controller.h"

#include "record.pb.h"
#include "record/action_encoder.h"
#include "record/writer.h"

namespace ospreypost::record {
namespace {

using kept::Entry;

template <typename Id>
auto number(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace

template <typename Fill, typename Make>
void RecordingController::call(Nanos now, Fill fill, Make make) {
  if (!writer_) {
    make();
    entry_->Clear();
    return;
  }
  entry_->Clear();
  entry_->set_at(now.count());
  fill(*entry_);
  make();
  text_.clear();
  entry_->AppendToString(&text_);
  writer_->append(now, text_);
}

RecordingController::RecordingController(const Settings& settings, std::uint64_t seed, Nanos now,
                                         ActionSink& host, Writer* writer, const std::string& configuration)
    : host_(host), writer_(writer), entry_(std::make_unique<Entry>()) {
  call(
      now,
      [&](Entry& entry) {
        auto& begin = *entry.mutable_begin();
        begin.set_configuration(configuration);
        begin.set_wall(Nanos(std::chrono::system_clock::now().time_since_epoch()).count());
      },
      [&] {
        governor_ = std::make_unique<Controller>(settings, seed, now, static_cast<ActionSink&>(*this));
      });
}

RecordingController::~RecordingController() = default;

// --- Calls

void RecordingController::on_endpoint_list(Nanos now, EndpointListKind kind,
                                           const std::vector<EndpointUpdate>& entries) {
  call(
      now,
      [&](Entry& entry) {
        auto& list = *entry.mutable_list_received();
        list.set_kind(static_cast<std::uint32_t>(kind));
        for (const auto& from : entries) {
          auto& to = *list.add_entries();
          to.set_replica(number(from.replica));
          to.set_zone(number(from.zone));
          to.set_kind(number(from.kind));
          to.set_cell(number(from.cell));
          to.set_phase(static_cast<std::uint32_t>(from.phase));
          to.set_weight(from.weight);
          if (from.started) to.set_started(from.started->count());
        }
      },
      [&] { governor_->on_endpoint_list(now, kind, entries); });
}
void RecordingController::on_endpoint_list_failed(Nanos now) {
  call(
      now, [](Entry& entry) { entry.set_list_failed(true); },
      [&] { governor_->on_endpoint_list_failed(now); });
}
void RecordingController::on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_rate,
                                          bool fresh) {
  call(
      now,
      [&](Entry& entry) {
        auto& joined = *entry.mutable_proxy_joined();
        joined.set_proxy(number(proxy));
        joined.set_zone(number(zone));
        joined.set_usual_rate(usual_rate);
        joined.set_fresh(fresh);
      },
      [&] { governor_->on_proxy_joined(now, proxy, zone, usual_rate, fresh); });
}
void RecordingController::on_proxy_left(Nanos now, ProxyId proxy) {
  call(
      now, [&](Entry& entry) { entry.set_proxy_left(number(proxy)); },
      [&] { governor_->on_proxy_left(now, proxy); });
}
void RecordingController::on_replica_load_report(Nanos now, const ReplicaLoadReport& sum,
                                                 const Origin& origin) {
  call(
      now,
      [&](Entry& entry) {
        auto& to = *entry.mutable_replica_summed();
        to.set_zone(number(sum.zone));
        to.set_replica(number(sum.replica));
        to.set_tries(sum.attempts);
        to.set_failed(sum.failed);
        to.set_mean_time(sum.mean_latency.count());
        to.set_span(sum.span.count());
        for (const auto value : sum.load) to.add_load(value);
        to.set_proxy(number(origin.proxy));
        to.set_late(origin.late.count());
      },
      [&] { governor_->on_replica_load_report(now, sum); });
}
void RecordingController::on_demand_report(Nanos now, const DemandReport& demand, const Origin& origin) {
  call(
      now,
      [&](Entry& entry) {
        auto& to = *entry.mutable_demand_summed();
        to.set_proxy(number(origin.proxy));
        to.set_late(origin.late.count());
        to.set_cls(number(demand.cls));
        to.set_operations(demand.operations);
        to.set_unanswered(demand.unanswered);
        to.set_span(demand.span.count());
      },
      [&] { governor_->on_demand_report(now, origin.proxy, demand); });
}
void RecordingController::on_acknowledged(Nanos now, ProxyId proxy, AckRequestId mark, Nanos took) {
  call(
      now,
      [&](Entry& entry) {
        auto& to = *entry.mutable_orders_applied();
        to.set_proxy(number(proxy));
        to.set_mark(number(mark));
        to.set_took(took.count());
      },
      [&] { governor_->on_acknowledged(now, proxy, mark, took); });
}
void RecordingController::on_health_check_result(Nanos now, const HealthCheckResult& answer) {
  call(
      now,
      [&](Entry& entry) {
        auto& to = *entry.mutable_probe_answered();
        to.set_replica(number(answer.replica));
        to.set_answered(answer.answered);
        to.set_refused(answer.refused);
        to.set_took(answer.took.count());
        for (const auto value : answer.load) to.add_load(value);
      },
      [&] { governor_->on_health_check_result(now, answer); });
}
void RecordingController::on_timer(Nanos now, TimerId timer) {
  call(
      now, [&](Entry& entry) { entry.set_timer_due(number(timer)); },
      [&] { governor_->on_timer(now, timer); });
}
void RecordingController::on_peer_message(Nanos now, PeerId peer, std::string_view message) {
  call(
      now,
      [&](Entry& entry) {
        entry.mutable_peer_said()->set_peer(number(peer));
        entry.mutable_peer_said()->set_message(std::string(message));
      },
      [&] { governor_->on_peer_message(now, peer, message); });
}
void RecordingController::on_replica_named(Nanos now, ReplicaId replica, const std::string& name) {
  call(
      now,
      [&](Entry& entry) {
        entry.mutable_named()->set_replica(number(replica));
        entry.mutable_named()->set_name(name);
      },
      [] {});
}

void RecordingController::on_action(const Action& action) {
  encode_action(action, *entry_);
  host_.on_action(action);
}

}  // namespace ospreypost::record
