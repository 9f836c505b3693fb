// Bytes as a hostile asker sends them: no answer may be longer than allowed, or go to what is no question.
#include <cstdlib>

#include "dns/responder.h"
#include "program/support.h"

namespace {

using namespace ospreypost;

struct Nobody : delivery::PullService {
  delivery::PullAnswer on_query(ProxyId, ClassId) override { return told; }
  delivery::PullAnswer on_zone_query(ZoneId) override { return told; }
  std::shared_ptr<const delivery::EndpointDirectory> directory() const override { return told.directory; }
  routing_state::SnapshotVersion version() const override { return {}; }
  Nobody() {
    delivery::EndpointDirectory places;
    auto view = std::make_shared<routing_state::RoutingTable>();
    view->traffic_policies.resize(2);
    for (std::uint32_t id = 0; id < 40; ++id) {
      const auto name = "unit-" + std::to_string(id);
      places.endpoints.push_back({name, "east", {"127.0.0.1", 9000}, false});
      places.ids_by_name[name] = ReplicaId{id};
      view->entries.push_back({ReplicaId{id}, 1.0});
    }
    auto proxy_snapshot = std::make_shared<routing_state::ProxySnapshot>();
    proxy_snapshot->routing_tables = {view, view};
    told.ttl_decision.service = dns::ClientService::replicas;
    told.proxy_snapshot = proxy_snapshot;
    told.directory = std::make_shared<delivery::EndpointDirectory>(std::move(places));
  }
  delivery::PullAnswer told;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const auto config = test::small_config();
  static Nobody core;
  static dns::Responder responder(config, core);
  const auto answer = responder.answer({data, size}, false);
  const bool is_answer = size >= 3 && (data[2] & 0x80) != 0;
  if (answer && (is_answer || answer->size() > 1232 || answer->size() < 12)) std::abort();
  if (answer && size < 12) std::abort();
  return 0;
}
