/// Renders the state of a control plane as JSON, and parses the load values that replicas return to health
/// checks.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "delivery/endpoint_directory.h"
#include "load_reports/load_report_processor.h"
#include "policy/settings.h"
#include "policy/types.h"
#include "routing_state/pull_delivery.h"
#include "routing_state/push_scheduler.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::control_plane {

/// A consistent copy of the state of a control plane, taken between two calls on its controller.
struct ControlPlaneStatus {
  std::shared_ptr<const routing_state::RoutingSnapshot> snapshot;
  std::shared_ptr<const delivery::EndpointDirectory> directory;
  std::vector<EndpointPhase> phases;  ///< indexed by replica id
  std::set<ProxyId> joined_proxies;
  routing_state::PullDelivery::Counts pull_counts;
  routing_state::PushScheduler::Counts push_counts;
};

/// Name of a phase in log lines and JSON documents.
const char* name_of(EndpointPhase phase);

/// Renders the JSON document for /tables, /replicas, /proxies or /versions; returns empty for any other
/// target.
std::optional<std::string> render_status(std::string_view target, const config::Config& config,
                                         const ControlPlaneStatus& status,
                                         const load_reports::ReportCounts& reports);

/// Parses the response of a replica to a health check, such as {"util": 0.5, ...}, into load values in the
/// order of `columns`.
/// Returns an empty list if the body is not a JSON object or a column is missing or not a number.
std::vector<float> parse_load(std::string_view body, const std::vector<LoadMetric>& columns);

}  // namespace ospreypost::control_plane
