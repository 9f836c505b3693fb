// What anybody may send to the platform's address, and the orders that a proxy might be sent back.
#include <cstdlib>

#include "platform/messages.h"
#include "resp/resp.h"

namespace {

struct Deaf : ospreypost::platform::MessageHandler {
  void on_liveness_request() override {}
  void on_proxy_hello(ospreypost::ProxyId proxy, ospreypost::ZoneId zone, double rate, bool) override {
    if (static_cast<unsigned>(proxy) > 9 || static_cast<unsigned>(zone) > 1 || !(rate >= 0)) std::abort();
  }
  void on_collector_hello(ospreypost::ZoneId) override {}
  void on_replica_load_report(const ospreypost::ReplicaLoadReport& sum) override {
    if (sum.failed > sum.attempts || sum.span <= ospreypost::Nanos{} ||
        sum.mean_latency < ospreypost::Nanos{})
      std::abort();
    if (!sum.load.empty() && (sum.load.size() != 2 || !(sum.load[0] >= 0) || !(sum.load[1] >= 0)))
      std::abort();
  }
  void on_demand_report(ospreypost::ProxyId, const ospreypost::DemandReport& demand) override {
    if (static_cast<unsigned>(demand.cls) > 1 || demand.span <= ospreypost::Nanos{}) std::abort();
  }
  void on_acknowledgement(ospreypost::ProxyId, std::uint64_t, ospreypost::Nanos took) override {
    if (took < ospreypost::Nanos{}) std::abort();
  }
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  platform::MessageNames known{{"read", "sign"}, {"east", "west"}, {"inflight", "util"}, 10, {}};
  known.find_replica = [](std::string_view name) {
    return name == "s-1" ? std::optional(ReplicaId{7}) : std::nullopt;
  };
  if (size == 0) return 0;
  const auto from = static_cast<platform::PeerRole>(data[0] % 3);
  const std::size_t piece = 1 + data[0] / 3;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  resp::MessageReader reader({4096, 32});
  Deaf deaf;
  try {
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      reader.append(bytes.substr(at, piece));
      while (const auto words = reader.next()) {
        try {
          platform::parse_message(*words, known, {from, ProxyId{3}}, deaf);
        } catch (const platform::MessageError&) {
        }
      }
      if (reader.buffered_bytes() > 4096 + piece + 32) std::abort();
    }
  } catch (const resp::ProtocolError&) {
  }
  try {
    platform::parse_load_report(bytes, known.load_columns);
  } catch (const platform::MessageError&) {
  }
  return 0;
}
