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

constexpr std::size_t kBatchHeader = 12;

class WireHost : public ActionHandler {
 public:
  explicit WireHost(simulator::ReplyFrame& reply) : reply_(reply) {}

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
    reply_.memo(static_cast<std::uint16_t>(action.peer.value_or(PeerId{65535})), action.message);
  }
  void handle(const LogLine& action) override { reply_.record_text(ActionCode::print, action.text); }

 private:
  simulator::ReplyFrame& reply_;
};

std::vector<EndpointUpdate> read_entries(simulator::FieldReader& fields) {
  constexpr std::size_t entry_bytes = 23;
  const auto count = fields.take<std::uint32_t>("records");
  if (count > fields.left() / entry_bytes) fields.complain("more list entries than the record holds");
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
        fields.complain("unknown phase of a list entry");
    }
    entry.weight = fields.small_number("part");
    const auto started = fields.time("last-start-s");
    if (started != Nanos{}) entry.started = started;
  }
  return entries;
}

DemandReport read_counts(simulator::FieldReader& fields) {
  DemandReport demand;
  demand.operations = fields.take<std::uint32_t>("count");
  return demand;
}

}  // namespace

struct Adapter::Instance {
  WireHost host;
  Controller governor;
  Instance(simulator::ReplyFrame& reply, const Settings& settings, std::uint64_t seed, Nanos now)
      : host(reply), governor(settings, seed, now, host) {}
};

Adapter::Adapter() = default;
Adapter::~Adapter() = default;

std::span<const std::byte> Adapter::answer(std::span<const std::byte> frame) {
  simulator::FieldReader batch(frame, "batch");
  const auto length = batch.take<std::uint32_t>("length");
  if (length != frame.size()) batch.complain("length does not fit the frame");
  const auto now = batch.time("clock");
  reply_.begin();
  std::optional<std::uint32_t> who;
  while (batch.left() > 0) {
    const auto at = std::to_string(frame.size() - batch.left());
    const auto code = static_cast<EventCode>(batch.take<std::uint16_t>("code"));
    const auto size = batch.take<std::uint32_t>("record length");
    const auto body = batch.bytes(size, ("record at byte " + at).c_str());
    simulator::FieldReader fields(body,
                                  "record " + std::to_string(static_cast<unsigned>(code)) + " at byte " + at);
    if (code == EventCode::target_instance) {
      who = fields.take<std::uint32_t>("who");
      reply_.for_instance(*who);
      continue;
    }
    if (static_cast<std::uint16_t>(code) < 256 || code > EventCode::target_instance) continue;
    if (!who) fields.complain("no instance named before it");
    handle(code, fields, *who, now);
  }
  return reply_.finish();
}

void Adapter::handle(EventCode code, simulator::FieldReader& fields, std::uint32_t who, Nanos now) {
  try {
    if (code == EventCode::halt) {
      instances_.erase(who);
    } else if (code == EventCode::launch) {
      const auto seed = fields.take<std::uint64_t>("nonce64");
      const auto size = fields.take<std::uint32_t>("profile-data");
      const auto settings = simulator::parse_settings(fields.text(size, "profile-data"));
      instances_[who] = std::make_unique<Instance>(reply_, settings, seed, now);
    } else {
      const auto at = instances_.find(who);
      if (at == instances_.end()) fields.complain("instance " + std::to_string(who) + " is not running");
      call(at->second->governor, code, fields, now);
    }
  } catch (const ProtocolError&) {
    throw;
  } catch (const std::exception& error) {
    reply_.record_text(ActionCode::bail_out, error.what());
  }
}

void Adapter::call(Controller& governor, EventCode code, simulator::FieldReader& fields, Nanos now) {
  switch (code) {
    case EventCode::due:
      governor.on_timer(now, TimerId{fields.take<std::uint64_t>("cookie")});
      break;
    case EventCode::discovery: {
      fields.take<std::uint64_t>("serial");
      const auto scope = fields.take<std::uint8_t>("scope");
      const auto entries = read_entries(fields);
      if (scope == 3) {
        governor.on_endpoint_list_failed(now);
      } else if (scope < 3) {
        governor.on_endpoint_list(now, static_cast<EndpointListKind>(scope), entries);
      } else {
        fields.complain("unknown scope of a list");
      }
      break;
    }
    case EventCode::subscribed: {
      const ProxyId proxy{fields.take<std::uint16_t>("edge")};
      const ZoneId zone{fields.take<std::uint16_t>("hall")};
      const double usual = fields.small_number("part");
      governor.on_proxy_joined(now, proxy, zone, usual, fields.take<std::uint8_t>("yes") != 0);
      break;
    }
    case EventCode::parted:
      governor.on_proxy_left(now, ProxyId{fields.take<std::uint16_t>("edge")});
      break;
    case EventCode::digest: {
      ReplicaLoadReport sum;
      sum.zone = ZoneId{fields.take<std::uint16_t>("hall")};
      sum.replica = ReplicaId{fields.take<std::uint32_t>("replica")};
      sum.attempts = fields.take<std::uint32_t>("count");
      sum.failed = fields.take<std::uint32_t>("bad");
      sum.mean_latency = fields.time("spent-s");
      sum.span = fields.time("elapsed-s");
      sum.load = fields.load("feedback");
      governor.on_replica_load_report(now, sum);
      break;
    }
    case EventCode::demand: {
      const ProxyId proxy{fields.take<std::uint16_t>("edge")};
      const ClassId cls{fields.take<std::uint16_t>("cls")};
      auto demand = read_counts(fields);
      demand.cls = cls;
      demand.unanswered = fields.take<std::uint32_t>("bad");
      demand.span = fields.time("elapsed-s");
      governor.on_demand_report(now, proxy, demand);
      break;
    }
    case EventCode::slice_load: {
      const auto unanswered = fields.take<std::uint32_t>("bad");
      const ClassId cls{fields.take<std::uint16_t>("cls")};
      const TableId slice{fields.take<std::uint16_t>("sheet")};
      auto demand = read_counts(fields);
      demand.cls = cls;
      demand.unanswered = unanswered;
      demand.span = fields.time("elapsed-s");
      governor.on_slice_demand_report(now, slice, demand);
      break;
    }
    case EventCode::installed: {
      const auto took = fields.time("spent-s");
      const AckRequestId mark{fields.take<std::uint64_t>("serial")};
      governor.on_acknowledged(now, ProxyId{fields.take<std::uint16_t>("edge")}, mark, took);
      break;
    }
    case EventCode::in_store: {
      const ReplicaId replica{fields.take<std::uint32_t>("replica")};
      const double weight = fields.small_number("part");
      governor.on_slice_entry_stored(now, TableId{fields.take<std::uint16_t>("sheet")}, replica, weight);
      break;
    }
    case EventCode::mandate: {
      const TableId slice{fields.take<std::uint16_t>("sheet")};
      if (fields.take<std::uint8_t>("yes") != 0) {
        governor.on_slice_granted(now, slice);
      } else {
        governor.on_slice_revoked(now, slice);
      }
      break;
    }
    case EventCode::echo: {
      HealthCheckResult answer;
      const auto disposition = fields.take<std::uint16_t>("disposition");
      answer.answered = disposition == 0;
      answer.refused = disposition == 11;
      answer.took = fields.time("spent-s");
      answer.replica = ReplicaId{fields.take<std::uint32_t>("replica")};
      answer.load = fields.load("feedback");
      governor.on_health_check_result(now, answer);
      break;
    }
    case EventCode::heard: {
      const PeerId peer{fields.take<std::uint16_t>("neighbour")};
      const auto size = fields.take<std::uint16_t>("msg");
      governor.on_peer_message(now, peer, fields.text(size, "msg"));
      break;
    }
    case EventCode::halt:
    case EventCode::launch:
    case EventCode::target_instance:
      break;
  }
}

namespace {

// Reads until `bytes` is full; returns how many came before the input ended.
std::size_t read_fully(int input, std::span<std::byte> bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto got = ::read(input, bytes.data() + done, bytes.size() - done);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) throw ProtocolError(std::string("reading: ") + std::strerror(errno));
    if (got == 0) break;
    done += static_cast<std::size_t>(got);
  }
  return done;
}

void write_fully(int output, std::span<const std::byte> bytes) {
  while (!bytes.empty()) {
    const auto put = ::write(output, bytes.data(), bytes.size());
    if (put < 0 && errno == EINTR) continue;
    if (put < 0) throw ProtocolError(std::string("writing: ") + std::strerror(errno));
    bytes = bytes.subspan(static_cast<std::size_t>(put));
  }
}

}  // namespace

void serve(int input, int output) {
  // A length is only a claim until its bytes arrive, so the buffer grows as they do.
  constexpr std::size_t piece = std::size_t{1} << 20;
  Adapter adapter;
  std::vector<std::byte> frame;
  for (;;) {
    frame.resize(kBatchHeader);
    const auto got = read_fully(input, frame);
    if (got == 0) return;
    if (got < kBatchHeader) throw ProtocolError("batch: input ends within the header");
    std::uint32_t length = 0;
    std::memcpy(&length, frame.data(), sizeof(length));
    if (length < kBatchHeader) throw ProtocolError("batch: length is shorter than its header");
    while (frame.size() < length) {
      const auto at = frame.size();
      frame.resize(std::min<std::size_t>(length, at + piece));
      if (read_fully(input, std::span(frame).subspan(at)) < frame.size() - at) {
        throw ProtocolError("batch: input ends within a frame of " + std::to_string(length) + " bytes");
      }
    }
    write_fully(output, adapter.answer(frame));
  }
}

}  // namespace ospreypost
