// What a running governor shows of itself, as JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "control_plane/control_plane.h"
#include "load_reports/load_report_processor.h"

namespace ospreypost::control_plane {

// For /tables, /replicas, /proxies and /versions; empty for anything else.
std::optional<std::string> status_of(std::string_view target, const config::Config& config,
                                     const ControlPlaneStatus& standing,
                                     const load_reports::ReportCounts& reports);

// A replica's answer to a probe: {"util": 0.5, ...}. Empty if a column is missing or it is no such object.
std::vector<float> read_load(std::string_view body, const std::vector<LoadMetric>& columns);

}  // namespace ospreypost::control_plane
