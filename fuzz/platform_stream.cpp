/// Reads arbitrary bytes as the stream of a peer, in pieces of any size, and as the text of a load report.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string_view>

#include "platform/messages.h"
#include "policy/controller.h"
#include "resp/resp.h"

namespace {

using namespace ospreypost;

constexpr resp::MessageLimits kLimits{4096, 32};

void require(bool holds) {
  if (!holds) std::abort();
}

// Aborts if the parser lets a message with an invalid value through.
struct CheckingHandler : platform::MessageHandler {
  void on_liveness_request() override {}
  void on_proxy_hello(ProxyId proxy, ZoneId zone, double requests_per_second, bool) override {
    require(static_cast<unsigned>(proxy) <= 9 && static_cast<unsigned>(zone) <= 1);
    require(requests_per_second >= 0);
  }
  void on_collector_hello(ZoneId) override {}
  void on_replica_load_report(const ReplicaLoadReport& report) override {
    require(report.failed <= report.attempts);
    require(report.span > Nanos{} && report.mean_latency >= Nanos{});
    if (report.load.empty()) return;
    require(report.load.size() == 2);
    for (const float value : report.load) require(value >= 0);
  }
  void on_demand_report(ProxyId, const DemandReport& report) override {
    require(static_cast<unsigned>(report.cls) <= 1 && report.span > Nanos{});
  }
  void on_acknowledgement(ProxyId, std::uint64_t, Nanos elapsed) override { require(elapsed >= Nanos{}); }
};

platform::MessageNames message_names() {
  platform::MessageNames names{{"read", "sign"}, {"east", "west"}, {"inflight", "util"}, 10, {}};
  names.find_replica = [](std::string_view name) {
    return name == "s-1" ? std::optional(ReplicaId{7}) : std::nullopt;
  };
  return names;
}

void dispatch_messages(resp::MessageReader& reader, const platform::MessageNames& names,
                       const platform::MessageSender& sender) {
  CheckingHandler handler;
  while (const auto words = reader.next()) {
    try {
      platform::parse_message(*words, names, sender, handler);
    } catch (const platform::MessageError&) {
      continue;  // an invalid message does not invalidate the messages before and after it
    }
  }
}

void read_stream(std::string_view bytes, std::size_t piece_bytes, const platform::MessageNames& names,
                 const platform::MessageSender& sender) {
  resp::MessageReader reader(kLimits);
  try {
    for (std::size_t position = 0; position < bytes.size(); position += piece_bytes) {
      reader.append(bytes.substr(position, piece_bytes));
      dispatch_messages(reader, names, sender);
      require(reader.buffered_bytes() <= kLimits.max_bytes + piece_bytes + kLimits.max_words);
    }
  } catch (const resp::ProtocolError&) {
    return;  // after a protocol error, the rest of the stream cannot be read
  }
}

void read_load_report(std::string_view bytes, const platform::MessageNames& names) {
  try {
    platform::parse_load_report(bytes, names.load_columns);
  } catch (const platform::MessageError&) {
    return;  // the parser rejects most inputs, which are not valid load reports
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  // The first byte of the input chooses the role of the sender and the size of the pieces.
  const auto role = static_cast<platform::PeerRole>(data[0] % 3);
  const std::size_t piece_bytes = 1 + data[0] / 3;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  const auto names = message_names();
  read_stream(bytes, piece_bytes, names, {role, ProxyId{3}});
  read_load_report(bytes, names);
  return 0;
}
