/// What a control plane shows of its state, as JSON; and how the load that replicas state is read.
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

/// The state of a control plane between two calls on its controller.
struct ControlPlaneStatus {
  std::shared_ptr<const routing_state::RoutingSnapshot> snapshot;
  std::shared_ptr<const delivery::EndpointDirectory> directory;
  std::vector<EndpointPhase> phases;  ///< by replica
  std::set<ProxyId> joined_proxies;
  routing_state::PullDelivery::Counts pull_counts;
  routing_state::PushScheduler::Counts push_counts;
};

/// As logs and JSON show a phase.
const char* name_of(EndpointPhase phase);

/// The JSON document for /tables, /replicas, /proxies or /versions; empty for any other target.
std::optional<std::string> render_status(std::string_view target, const config::Config& config,
                                         const ControlPlaneStatus& status,
                                         const load_reports::ReportCounts& reports);

/// Reads what a replica answers to a health check: {"util": 0.5, ...}, in the order of `columns`. Empty if
/// one of them is missing, or if it is no such object.
std::vector<float> parse_load(std::string_view body, const std::vector<LoadMetric>& columns);

}  // namespace ospreypost::control_plane
