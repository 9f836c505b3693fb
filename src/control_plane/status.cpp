#include "control_plane/status.h"

#include <nlohmann/json.hpp>

namespace ospreypost::control_plane {
namespace {

using json = nlohmann::ordered_json;

const char* name_of(EndpointPhase phase) {
  return phase == EndpointPhase::ready ? "ready" : phase == EndpointPhase::draining ? "draining" : "gone";
}

json tables(const config::Config& config, const ControlPlaneStatus& standing) {
  json rows = json::array();
  for (const auto& [proxy, proxy_snapshot] : standing.version->proxy_snapshots) {
    for (std::size_t k = 0; k < proxy_snapshot->routing_tables.size(); ++k) {
      if (!proxy_snapshot->routing_tables[k]) continue;
      for (const auto& line : proxy_snapshot->routing_tables[k]->entries) {
        rows.push_back({{"proxy", config.proxies.known[static_cast<std::size_t>(proxy)].name},
                        {"class", config.classes[k]},
                        {"replica", standing.directory->endpoint(line.replica).name},
                        {"weight", line.weight},
                        {"level", proxy_snapshot->routing_tables[k]->traffic_policies[k].admitted_fraction}});
      }
    }
  }
  return rows;
}

json replicas(const ControlPlaneStatus& standing) {
  json rows = json::array();
  for (std::size_t n = 0; n < standing.phases.size(); ++n) {
    const auto& place = standing.directory->endpoints[n];
    rows.push_back(
        {{"replica", place.name}, {"phase", name_of(standing.phases[n])}, {"address", place.address.text()}});
  }
  return rows;
}

json proxies(const config::Config& config, const ControlPlaneStatus& standing) {
  json rows = json::array();
  for (std::size_t p = 0; p < config.proxies.known.size(); ++p) {
    const auto& proxy = config.proxies.known[p];
    const auto proxy_snapshot = standing.version->snapshot_of(ProxyId{static_cast<std::uint16_t>(p)});
    rows.push_back(
        {{"proxy", proxy.name},
         {"zone", config.zones[static_cast<std::size_t>(proxy.zone)]},
         {"joined", static_cast<bool>(standing.joined[p])},
         {"version", proxy_snapshot ? static_cast<std::uint64_t>(proxy_snapshot->changed_in) : 0}});
  }
  return rows;
}

json versions(const ControlPlaneStatus& standing, const load_reports::ReportCounts& reports) {
  return json::array(
      {{{"version", static_cast<std::uint64_t>(standing.version->version)},
        {"lines-waiting", standing.counts.queued_entries + standing.pushes.queued_entries},
        {"worst-waiting", standing.counts.max_queued_entries + standing.pushes.max_queued_entries},
        {"messages", standing.counts.messages + standing.pushes.pushes},
        {"push-failures", standing.pushes.failures},
        {"held-back", standing.counts.rate_limited_queries},
        {"reports-taken", reports.taken},
        {"reports-repeated", reports.repeated},
        {"reports-too-old", reports.too_old},
        {"reports-malformed", reports.malformed},
        {"reports-unknown", reports.unknown}}});
}

}  // namespace

std::optional<std::string> status_of(std::string_view target, const config::Config& config,
                                     const ControlPlaneStatus& standing,
                                     const load_reports::ReportCounts& reports) {
  if (target == "/tables") return tables(config, standing).dump();
  if (target == "/replicas") return replicas(standing).dump();
  if (target == "/proxies") return proxies(config, standing).dump();
  if (target == "/versions") return versions(standing, reports).dump();
  return std::nullopt;
}

std::vector<float> read_load(std::string_view body, const std::vector<LoadMetric>& columns) {
  const auto report = json::parse(body, nullptr, false);
  if (!report.is_object()) return {};
  std::vector<float> load;
  for (const auto column : columns) {
    const auto at = report.find(config::name_of(column));
    if (at == report.end() || !at->is_number()) return {};
    load.push_back(at->get<float>());
  }
  return load;
}

}  // namespace ospreypost::control_plane
