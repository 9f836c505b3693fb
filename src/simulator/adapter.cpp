#include "simulator/adapter.h"

#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <string>

#include "simulator/settings.h"

namespace ospreypost {
namespace {

using simulator::ActionCode;
using simulator::EventCode;
using simulator::ProtocolError;

constexpr std::size_t kBatchHeaderBytes = 12;

// Encodes the actions of a controller into the reply frame.
class ActionEncoder : public ActionHandler {
 public:
  explicit ActionEncoder(simulator::ReplyFrame& reply) : reply_(reply) {}

 protected:
  void handle(const SetTableEntry& action) override {
    reply_.record(ActionCode::endpoint, action.replica, action.table, static_cast<float>(action.weight));
  }
  void handle(const ClearTable& action) override { reply_.record(ActionCode::empty, action.table); }
  void handle(const BindProxy& action) override {
    reply_.record(ActionCode::pin, action.classes, action.table, action.proxy);
  }
  void handle(const SetEjected& action) override {
    reply_.record(ActionCode::cordon, action.replica, static_cast<std::uint8_t>(action.ejected));
  }
  void handle(const SetAdmittedFraction& action) override {
    reply_.record(ActionCode::set_admitted_fraction, static_cast<float>(action.fraction), action.classes,
                  action.retry, action.table);
  }
  void handle(const RequestAcknowledgement& action) override {
    reply_.record(ActionCode::mark, static_cast<std::uint8_t>(action.all_proxies), action.request);
  }
  void handle(const StartTimer& action) override {
    reply_.record(ActionCode::arm, static_cast<double>(action.delay.count()) / 1e9, action.timer);
  }
  void handle(const WatchEndpointList& action) override {
    reply_.record(ActionCode::watch, static_cast<std::uint8_t>(action.enabled));
  }
  void handle(const RefreshEndpointList&) override { reply_.record(ActionCode::lookup); }
  void handle(const RequestHealthCheck& action) override {
    reply_.record(ActionCode::ask_load, action.replica);
  }
  void handle(const SendToPeer& action) override {
    reply_.record_peer_message(static_cast<std::uint16_t>(action.peer.value_or(PeerId{65535})),
                               action.message);
  }
  void handle(const LogLine& action) override { reply_.record_text(ActionCode::print, action.text); }

 private:
  simulator::ReplyFrame& reply_;
};

std::vector<EndpointUpdate> read_entries(simulator::FieldReader& fields) {
  constexpr std::size_t entry_bytes = 23;
  const auto count = fields.take<std::uint32_t>("records");
  if (count > fields.left() / entry_bytes) fields.fail("more list entries than the record holds");
  std::vector<EndpointUpdate> entries(count);
  for (auto& entry : entries) {
    entry.replica = ReplicaId{fields.take<std::uint32_t>("replica")};
    entry.zone = ZoneId{fields.take<std::uint16_t>("hall")};
    entry.kind = HardwareKindId{fields.take<std::uint16_t>("hw")};
    entry.cell = CellId{fields.take<std::uint16_t>("block")};
    switch (fields.take<std::uint8_t>("phase")) {
      case 1:
        entry.phase = EndpointPhase::draining;
        break;
      case 2:
        entry.phase = EndpointPhase::ready;
        break;
      case 3:
        entry.phase = EndpointPhase::gone;
        break;
      default:
        fields.fail("unknown phase of a list entry");
    }
    entry.weight = fields.small_number("part");
    const auto started = fields.time("last-start-s");
    if (started != Nanos{}) entry.started = started;
  }
  return entries;
}

DemandReport read_request_count(simulator::FieldReader& fields) {
  DemandReport demand;
  demand.operations = fields.take<std::uint32_t>("count");
  return demand;
}

}  // namespace

struct Adapter::Instance {
  ActionEncoder encoder;
  Controller controller;
  Instance(simulator::ReplyFrame& reply, const Settings& settings, std::uint64_t seed, Nanos now)
      : encoder(reply), controller(settings, seed, now, encoder) {}
};

Adapter::Adapter() = default;
Adapter::~Adapter() = default;

std::span<const std::byte> Adapter::answer(std::span<const std::byte> frame) {
  simulator::FieldReader batch(frame, "batch");
  const auto length = batch.take<std::uint32_t>("length");
  if (length != frame.size()) batch.fail("length does not fit the frame");
  const auto now = batch.time("clock");
  reply_.begin();
  std::optional<std::uint32_t> instance;
  while (batch.left() > 0) {
    const auto offset = std::to_string(frame.size() - batch.left());
    const auto code = static_cast<EventCode>(batch.take<std::uint16_t>("code"));
    const auto size = batch.take<std::uint32_t>("record length");
    const auto body = batch.bytes(size, ("record at byte " + offset).c_str());
    simulator::FieldReader fields(
        body, "record " + std::to_string(static_cast<unsigned>(code)) + " at byte " + offset);
    if (code == EventCode::target_instance) {
      instance = fields.take<std::uint32_t>("who");
      reply_.for_instance(*instance);
      continue;
    }
    if (static_cast<std::uint16_t>(code) < 256 || code > EventCode::target_instance) continue;
    if (!instance) fields.fail("no instance named before it");
    handle(code, fields, *instance, now);
  }
  return reply_.finish();
}

void Adapter::handle(EventCode code, simulator::FieldReader& fields, std::uint32_t instance, Nanos now) {
  try {
    if (code == EventCode::halt) {
      instances_.erase(instance);
    } else if (code == EventCode::launch) {
      const auto seed = fields.take<std::uint64_t>("nonce64");
      const auto size = fields.take<std::uint32_t>("profile-data");
      const auto settings = simulator::parse_settings(fields.text(size, "profile-data"));
      instances_[instance] = std::make_unique<Instance>(reply_, settings, seed, now);
    } else {
      const auto found = instances_.find(instance);
      if (found == instances_.end()) fields.fail("instance " + std::to_string(instance) + " is not running");
      call_controller(found->second->controller, code, fields, now);
    }
  } catch (const ProtocolError&) {
    throw;
  } catch (const std::exception& error) {
    reply_.record_text(ActionCode::bail_out, error.what());
  }
}

void Adapter::call_controller(Controller& controller, EventCode code, simulator::FieldReader& fields,
                              Nanos now) {
  switch (code) {
    case EventCode::due:
      controller.on_timer(now, TimerId{fields.take<std::uint64_t>("cookie")});
      break;
    case EventCode::discovery: {
      fields.take<std::uint64_t>("serial");
      const auto scope = fields.take<std::uint8_t>("scope");
      const auto entries = read_entries(fields);
      if (scope == 3) {
        controller.on_endpoint_list_failed(now);
      } else if (scope < 3) {
        controller.on_endpoint_list(now, static_cast<EndpointListKind>(scope), entries);
      } else {
        fields.fail("unknown scope of a list");
      }
      break;
    }
    case EventCode::subscribed: {
      const ProxyId proxy{fields.take<std::uint16_t>("edge")};
      const ZoneId zone{fields.take<std::uint16_t>("hall")};
      const double usual_rate = fields.small_number("part");
      controller.on_proxy_joined(now, proxy, zone, usual_rate, fields.take<std::uint8_t>("yes") != 0);
      break;
    }
    case EventCode::parted:
      controller.on_proxy_left(now, ProxyId{fields.take<std::uint16_t>("edge")});
      break;
    case EventCode::digest: {
      ReplicaLoadReport load_report;
      load_report.zone = ZoneId{fields.take<std::uint16_t>("hall")};
      load_report.replica = ReplicaId{fields.take<std::uint32_t>("replica")};
      load_report.attempts = fields.take<std::uint32_t>("count");
      load_report.failed = fields.take<std::uint32_t>("bad");
      load_report.mean_latency = fields.time("spent-s");
      load_report.span = fields.time("elapsed-s");
      load_report.load = fields.load("feedback");
      controller.on_replica_load_report(now, load_report);
      break;
    }
    case EventCode::demand: {
      const ProxyId proxy{fields.take<std::uint16_t>("edge")};
      const ClassId cls{fields.take<std::uint16_t>("cls")};
      auto demand = read_request_count(fields);
      demand.cls = cls;
      demand.unanswered = fields.take<std::uint32_t>("bad");
      demand.span = fields.time("elapsed-s");
      controller.on_demand_report(now, proxy, demand);
      break;
    }
    case EventCode::slice_load: {
      const auto unanswered = fields.take<std::uint32_t>("bad");
      const ClassId cls{fields.take<std::uint16_t>("cls")};
      const TableId slice{fields.take<std::uint16_t>("sheet")};
      auto demand = read_request_count(fields);
      demand.cls = cls;
      demand.unanswered = unanswered;
      demand.span = fields.time("elapsed-s");
      controller.on_slice_demand_report(now, slice, demand);
      break;
    }
    case EventCode::installed: {
      const auto took = fields.time("spent-s");
      const AckRequestId request{fields.take<std::uint64_t>("serial")};
      controller.on_acknowledged(now, ProxyId{fields.take<std::uint16_t>("edge")}, request, took);
      break;
    }
    case EventCode::in_store: {
      const ReplicaId replica{fields.take<std::uint32_t>("replica")};
      const double weight = fields.small_number("part");
      controller.on_slice_entry_stored(now, TableId{fields.take<std::uint16_t>("sheet")}, replica, weight);
      break;
    }
    case EventCode::mandate: {
      const TableId slice{fields.take<std::uint16_t>("sheet")};
      if (fields.take<std::uint8_t>("yes") != 0) {
        controller.on_slice_granted(now, slice);
      } else {
        controller.on_slice_revoked(now, slice);
      }
      break;
    }
    case EventCode::echo: {
      HealthCheckResult result;
      const auto disposition = fields.take<std::uint16_t>("disposition");
      result.answered = disposition == 0;
      result.refused = disposition == 11;
      result.took = fields.time("spent-s");
      result.replica = ReplicaId{fields.take<std::uint32_t>("replica")};
      result.load = fields.load("feedback");
      controller.on_health_check_result(now, result);
      break;
    }
    case EventCode::heard: {
      const PeerId peer{fields.take<std::uint16_t>("neighbour")};
      const auto size = fields.take<std::uint16_t>("msg");
      controller.on_peer_message(now, peer, fields.text(size, "msg"));
      break;
    }
    case EventCode::halt:
    case EventCode::launch:
    case EventCode::target_instance:
      break;
  }
}

namespace {

// Reads until `bytes` is full. Returns the number of bytes that were read before the input ended.
std::size_t read_fully(int input, std::span<std::byte> bytes) {
  std::size_t total = 0;
  while (total < bytes.size()) {
    const auto got = ::read(input, bytes.data() + total, bytes.size() - total);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) throw ProtocolError(std::string("cannot read a batch: ") + std::strerror(errno));
    if (got == 0) break;
    total += static_cast<std::size_t>(got);
  }
  return total;
}

void write_fully(int output, std::span<const std::byte> bytes) {
  while (!bytes.empty()) {
    const auto written = ::write(output, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) throw ProtocolError(std::string("cannot write a reply: ") + std::strerror(errno));
    bytes = bytes.subspan(static_cast<std::size_t>(written));
  }
}

}  // namespace

void serve(int input, int output) {
  // The length in the header is not trusted: the buffer grows in chunks as the bytes arrive, so that a wrong
  // length does not allocate up to 4 GiB at once.
  constexpr std::size_t chunk = std::size_t{1} << 20;
  Adapter adapter;
  std::vector<std::byte> frame;
  for (;;) {
    frame.resize(kBatchHeaderBytes);
    const auto got = read_fully(input, frame);
    if (got == 0) return;
    if (got < kBatchHeaderBytes) throw ProtocolError("batch: input ends within the header");
    std::uint32_t length = 0;
    std::memcpy(&length, frame.data(), sizeof(length));
    if (length < kBatchHeaderBytes) throw ProtocolError("batch: length is shorter than its header");
    while (frame.size() < length) {
      const auto offset = frame.size();
      frame.resize(std::min<std::size_t>(length, offset + chunk));
      if (read_fully(input, std::span(frame).subspan(offset)) < frame.size() - offset) {
        throw ProtocolError("batch: input ends within a frame of " + std::to_string(length) + " bytes");
      }
    }
    write_fully(output, adapter.answer(frame));
  }
}

}  // namespace ospreypost
