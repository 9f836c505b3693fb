#include "control_plane/http_api.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <chrono>
#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/config.h"
#include "control_plane/status.h"
#include "files/generation.h"
#include "http/http.h"
#include "load_reports/load_report_processor.h"
#include "load_reports/otlp_metrics.h"
#include "net/socket.h"
#include "policy/types.h"

namespace ospreypost::control_plane {
namespace {

using nlohmann::json;

constexpr std::string_view kMetricsTarget = "/v1/metrics";
constexpr std::string_view kGenerationsPrefix = "/generations/";
constexpr std::string_view kRollbackPrefix = "/rollback/";

// Code INVALID_ARGUMENT of google.rpc.Code, which OTLP requires in the response to an invalid request.
constexpr int kInvalidArgument = 3;

http::Response text_response(unsigned status, std::string body) {
  return {status, "text/plain", std::move(body), std::nullopt, true};
}

http::Response json_response(unsigned status, std::string body) {
  return {status, "application/json", std::move(body), std::nullopt, true};
}

http::Response unknown_proxy(const std::string& name) {
  return text_response(404, "unknown proxy '" + name + "'\n");
}

// Returns the response body that OTLP requires; it has a partialSuccess object if some data points were
// rejected.
std::string partial_success(const load_reports::ReportCounts& counts) {
  const auto rejected = counts.repeated + counts.too_old + counts.malformed + counts.unknown;
  json body = json::object();
  if (rejected > 0) {
    const auto message = std::to_string(counts.repeated) + " repeated, " + std::to_string(counts.too_old) +
                         " too old, " + std::to_string(counts.malformed) + " malformed, " +
                         std::to_string(counts.unknown) + " unknown";
    body["partialSuccess"] = {{"rejectedDataPoints", std::to_string(rejected)}, {"errorMessage", message}};
  }
  return body.dump();
}

struct RollbackRequest {
  std::string proxy_name;
  std::uint64_t version = 0;
};

std::optional<RollbackRequest> parse_rollback(const std::string& proxy_and_query) {
  constexpr std::string_view kVersionQuery = "?version=";
  const auto query = proxy_and_query.find(kVersionQuery);
  if (query == std::string::npos) return std::nullopt;
  RollbackRequest request;
  request.proxy_name = proxy_and_query.substr(0, query);
  const auto* const digits = proxy_and_query.data() + query + kVersionQuery.size();
  const auto* const end = proxy_and_query.data() + proxy_and_query.size();
  if (std::from_chars(digits, end, request.version).ptr != end) return std::nullopt;
  return request;
}

}  // namespace

http::Response HttpApi::handle(const http::Request& request) {
  const auto& target = request.target;
  if (request.method == "POST" && target.starts_with(kRollbackPrefix)) {
    if (request.client_has_left) return text_response(400, "the client has left\n");
    return roll_back(target.substr(kRollbackPrefix.size()));
  }
  if (target == kMetricsTarget) {
    if (request.method != "POST") return text_response(405, "method not allowed: expected POST\n");
    return receive_metrics(request);
  }
  if (request.method != "GET") return text_response(405, "method not allowed: expected GET\n");
  if (target.starts_with(kGenerationsPrefix)) {
    return show_generations(target.substr(kGenerationsPrefix.size()));
  }
  return show_status(target);
}

http::Response HttpApi::receive_metrics(const http::Request& request) {
  if (!request.content_type.starts_with("application/json"))
    return text_response(415, "unsupported content type: expected application/json\n");
  if (!request.content_encoding.empty() && request.content_encoding != "identity")
    return text_response(415, "unsupported content encoding: expected none or identity\n");
  const ParserSlot slot(free_parsers_);
  std::vector<load_reports::MetricsReport> reports;
  try {
    reports = load_reports::parse_metrics(request.body);
  } catch (const std::exception& error) {
    return json_response(400, json({{"code", kInvalidArgument}, {"message", error.what()}}).dump());
  }
  const Nanos received = std::chrono::system_clock::now().time_since_epoch();
  const auto counts = targets_.load_reports.process(received, reports);
  if (counts.unknown > 0) {
    targets_.peer_errors.add("load report with an unknown proxy, replica or request class");
  }
  return json_response(200, partial_success(counts));
}

http::Response HttpApi::show_generations(const std::string& proxy_name) {
  const auto proxy = config::find_proxy(targets_.config, proxy_name);
  if (!proxy) return unknown_proxy(proxy_name);
  auto* const pusher = pusher_.load();
  if (pusher == nullptr) return text_response(503, "the control plane is still starting\n");
  try {
    return json_response(200, files::write_state(pusher->fetch_state(*proxy)));
  } catch (const net::Error& error) {
    return text_response(502, std::string(error.what()) + "\n");
  }
}

http::Response HttpApi::roll_back(const std::string& proxy_and_query) {
  const auto request = parse_rollback(proxy_and_query);
  if (!request) return text_response(400, "expected /rollback/PROXY?version=N\n");
  const auto proxy = config::find_proxy(targets_.config, request->proxy_name);
  if (!proxy) return unknown_proxy(request->proxy_name);
  auto* const pusher = pusher_.load();
  if (pusher == nullptr) return text_response(503, "the control plane is still starting\n");
  try {
    const auto unroutable = targets_.control_plane.unroutable_replicas();
    const auto state = pusher->roll_back(*proxy, request->version, unroutable);
    log_->warn("table_rolled_back proxy={} version={}", request->proxy_name, request->version);
    return json_response(200, files::write_state(state));
  } catch (const net::Error& error) {
    return text_response(409, std::string(error.what()) + "\n");
  }
}

http::Response HttpApi::show_status(const std::string& target) {
  auto body =
      render_status(target, targets_.config, targets_.control_plane.status(), targets_.load_reports.totals());
  if (!body) return text_response(404, "unknown path\n");
  return json_response(200, std::move(*body));
}

}  // namespace ospreypost::control_plane
