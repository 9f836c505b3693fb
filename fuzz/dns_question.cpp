// Passes arbitrary bytes to the DNS responder. The responder must not answer a message that is not a query.
// An answer must have between 12 and 1232 bytes.
#include <cstdlib>

#include "dns/responder.h"
#include "program/support.h"

namespace {

using namespace ospreypost;

struct FixedPullService : delivery::PullService {
  delivery::PullAnswer on_query(ProxyId, ClassId) override { return pull_answer; }
  delivery::PullAnswer on_zone_query(ZoneId) override { return pull_answer; }
  std::shared_ptr<const delivery::EndpointDirectory> directory() const override {
    return pull_answer.directory;
  }
  routing_state::SnapshotVersion version() const override { return {}; }
  FixedPullService() {
    delivery::EndpointDirectory endpoint_directory;
    auto routing_table = std::make_shared<routing_state::RoutingTable>();
    routing_table->traffic_policies.resize(2);
    for (std::uint32_t id = 0; id < 40; ++id) {
      const auto name = "unit-" + std::to_string(id);
      endpoint_directory.endpoints.push_back({name, "east", {"127.0.0.1", 9000}, false});
      endpoint_directory.ids_by_name[name] = ReplicaId{id};
      routing_table->entries.push_back({ReplicaId{id}, 1.0});
    }
    auto proxy_snapshot = std::make_shared<routing_state::ProxySnapshot>();
    proxy_snapshot->routing_tables = {routing_table, routing_table};
    pull_answer.ttl_decision.service = dns::ClientService::replicas;
    pull_answer.proxy_snapshot = proxy_snapshot;
    pull_answer.directory = std::make_shared<delivery::EndpointDirectory>(std::move(endpoint_directory));
  }
  delivery::PullAnswer pull_answer;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const auto config = test::small_config();
  static FixedPullService pull_service;
  static dns::Responder responder(config, pull_service);
  const auto answer = responder.answer({data, size}, false);
  const bool is_answer = size >= 3 && (data[2] & 0x80) != 0;
  if (answer && (is_answer || answer->size() > 1232 || answer->size() < 12)) std::abort();
  if (answer && size < 12) std::abort();
  return 0;
}
