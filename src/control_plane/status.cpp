#include "control_plane/status.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "load_reports/load_report_processor.h"
#include "policy/settings.h"
#include "policy/types.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::control_plane {
namespace {

// Keeps the members of an object in the order in which they were added.
using json = nlohmann::ordered_json;

void append_table_rows(const std::string& proxy, const routing_state::ProxySnapshot& proxy_snapshot,
                       const config::Config& config, const delivery::EndpointDirectory& directory,
                       json& rows) {
  for (std::size_t n = 0; n < proxy_snapshot.routing_tables.size(); ++n) {
    const auto& table = proxy_snapshot.routing_tables[n];
    if (!table) continue;
    for (const auto& entry : table->entries) {
      rows.push_back({{"proxy", proxy},
                      {"class", config.classes[n]},
                      {"replica", directory.endpoint(entry.replica).name},
                      {"weight", entry.weight},
                      {"level", table->traffic_policies[n].admitted_fraction}});
    }
  }
}

json render_tables(const config::Config& config, const ControlPlaneStatus& status) {
  json rows = json::array();
  for (const auto& [proxy, proxy_snapshot] : status.snapshot->proxy_snapshots) {
    const auto& name = config.proxies.known[static_cast<std::size_t>(proxy)].name;
    append_table_rows(name, *proxy_snapshot, config, *status.directory, rows);
  }
  return rows;
}

json render_replicas(const ControlPlaneStatus& status) {
  json rows = json::array();
  for (std::size_t n = 0; n < status.phases.size(); ++n) {
    const auto& endpoint = status.directory->endpoints[n];
    rows.push_back({{"replica", endpoint.name},
                    {"phase", name_of(status.phases[n])},
                    {"address", endpoint.address.text()}});
  }
  return rows;
}

json render_proxies(const config::Config& config, const ControlPlaneStatus& status) {
  json rows = json::array();
  for (std::size_t n = 0; n < config.proxies.known.size(); ++n) {
    const auto& proxy = config.proxies.known[n];
    const ProxyId id{static_cast<std::uint16_t>(n)};
    const auto proxy_snapshot = status.snapshot->snapshot_of(id);
    const auto version = proxy_snapshot ? static_cast<std::uint64_t>(proxy_snapshot->changed_in) : 0;
    rows.push_back({{"proxy", proxy.name},
                    {"zone", config.zones[static_cast<std::size_t>(proxy.zone)]},
                    {"joined", status.joined_proxies.contains(id)},
                    {"version", version}});
  }
  return rows;
}

json render_versions(const ControlPlaneStatus& status, const load_reports::ReportCounts& reports) {
  const auto& pull = status.pull_counts;
  const auto& push = status.push_counts;
  return json::array({{{"version", static_cast<std::uint64_t>(status.snapshot->version)},
                       {"lines-waiting", pull.queued_entries + push.queued_entries},
                       {"worst-waiting", pull.max_queued_entries + push.max_queued_entries},
                       {"messages", pull.messages + push.pushes},
                       {"push-failures", push.failures},
                       {"held-back", pull.rate_limited_queries},
                       {"reports-taken", reports.accepted},
                       {"reports-repeated", reports.repeated},
                       {"reports-too-old", reports.too_old},
                       {"reports-malformed", reports.malformed},
                       {"reports-unknown", reports.unknown}}});
}

}  // namespace

const char* name_of(EndpointPhase phase) {
  switch (phase) {
    case EndpointPhase::ready:
      return "ready";
    case EndpointPhase::draining:
      return "draining";
    case EndpointPhase::gone:
      return "gone";
  }
  return "gone";
}

std::optional<std::string> render_status(std::string_view target, const config::Config& config,
                                         const ControlPlaneStatus& status,
                                         const load_reports::ReportCounts& reports) {
  if (target == "/tables") return render_tables(config, status).dump();
  if (target == "/replicas") return render_replicas(status).dump();
  if (target == "/proxies") return render_proxies(config, status).dump();
  if (target == "/versions") return render_versions(status, reports).dump();
  return std::nullopt;
}

std::vector<float> parse_load(std::string_view body, const std::vector<LoadMetric>& columns) {
  const auto report = json::parse(body, nullptr, false);
  if (!report.is_object()) return {};
  std::vector<float> load;
  for (const auto column : columns) {
    const auto value = report.find(config::name_of(column));
    if (value == report.end() || !value->is_number()) return {};
    load.push_back(value->get<float>());
  }
  return load;
}

}  // namespace ospreypost::control_plane
