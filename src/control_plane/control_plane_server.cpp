#include "control_plane/control_plane_server.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <nlohmann/json.hpp>

#include "control_plane/status.h"

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t kProbers = 4, kProbesWaiting = 1000;
constexpr std::size_t kHttpConnections = 64;
constexpr Nanos kComplainEvery = 1min;

Nanos now() { return std::chrono::steady_clock::now().time_since_epoch(); }
Nanos wall_now() { return std::chrono::system_clock::now().time_since_epoch(); }

}  // namespace

ControlPlaneServer::ControlPlaneServer(const config::Config& config, std::shared_ptr<spdlog::logger> log)
    : config_(config), log_(std::move(log)), complaints_(log_, kComplainEvery) {
  // No other process has this name and moment; where the clock went back, claims go above what they meet.
  const routing_state::LeaseTable claims(static_cast<std::uint64_t>(wall_now() / 1s),
                                         config_.name + "." + std::to_string(wall_now().count()));
  if (config_.record.keep) {
    record_ = std::make_unique<record::Writer>(
        record::RetentionPolicy{config_.record.folder, config_.record.most_bytes, config_.record.file_bytes,
                                config_.record.file_age});
  }
  live_ = std::make_unique<ControlPlane>(config_, static_cast<ControlPlaneHost&>(*this), now, claims,
                                         record_.get());
  intake_ = std::make_unique<load_reports::LoadReportProcessor>(
      config_, static_cast<load_reports::LoadReportListener&>(*this));
  responder_ = std::make_unique<dns::Responder>(config_, *live_);
  probers_ = std::make_unique<net::ThreadPool>("prober", kProbers, kProbesWaiting);
  const auto complain = [this](const std::string& what) { this->log_peer_error(what); };
  dns_ = std::make_unique<dns::Server>(config_.dns, *responder_, config_.seed, complain);
  http::Limits limits;
  limits.most_body_bytes = config_.reports.most_bytes;
  http_ = std::make_unique<http::Server>(
      "http", config_.reports.listen, limits, kHttpConnections,
      [this](const http::Request& request) { return answer(request); }, complain);
  pusher_ = std::make_unique<files::Pusher>(config_, *live_);
  live_->tell_orders_to(pusher_.get());
  roll_ = std::make_unique<discovery::EndpointFileSource>(
      config_, static_cast<discovery::EndpointSourceListener&>(*this), now);
}

// Whoever calls in ends before what it calls.
void ControlPlaneServer::stop() {
  if (stopped_.exchange(true)) return;
  roll_->stop();
  http_->stop();
  dns_->stop();
  live_->tell_orders_to(nullptr);
  pusher_->stop();
  live_->stop();
  probers_->stop();
  if (record_) record_->stop();
}

void ControlPlaneServer::request_health_check(ReplicaId replica, const net::Address& at) {
  if (probers_) probers_->take([this, replica, at] { ask_load(replica, at); });
}

void ControlPlaneServer::ask_load(ReplicaId replica, const net::Address& at) {
  HealthCheckResult answer;
  answer.replica = replica;
  const auto begun = net::Steady::now();
  try {
    http::Request request;
    request.target = config_.reports.probe_path;
    const auto got = http::fetch(at, request, begun + config_.reports.probe_timeout);
    answer.refused = got.status == 503;
    answer.answered = got.status == 200;
    if (answer.answered) answer.load = read_load(got.body, config_.settings.load_columns);
  } catch (const std::exception&) {
    // No answer is an answer, and told as one.
  }
  answer.took = net::Steady::now() - begun;
  if (!stopped_) live_->on_health_check_result(answer);
}

void ControlPlaneServer::refresh_endpoint_list() {
  if (roll_) roll_->refresh();
}

void ControlPlaneServer::log(std::string_view line, routing_state::SnapshotVersion version) {
  log_->info("{} version={}", line, static_cast<std::uint64_t>(version));
}

void ControlPlaneServer::on_endpoint_list_changed(const discovery::EndpointList::Changes& taken) {
  for (const auto& change : taken.changes) {
    const char* phase = change.phase == EndpointPhase::ready      ? "ready"
                        : change.phase == EndpointPhase::draining ? "draining"
                                                                  : "gone";
    log_->info("list replica={} phase={}", change.name, phase);
  }
  live_->on_endpoint_list_changed(taken);
}

// No news is not a list without anybody: what was last known stands, and the module is not told of a failure
// that it could do nothing about.
void ControlPlaneServer::on_endpoint_list_unreadable(const std::string& why) {
  log_->warn("no news of the list: {}", why);
}

std::optional<ReplicaId> ControlPlaneServer::find_replica(std::string_view name) const {
  return live_->find_replica(name);
}

http::Response ControlPlaneServer::take_metrics(const http::Request& request) {
  if (!request.content_type.starts_with("application/json"))
    return {415, "text/plain", "only application/json is taken\n", std::nullopt, true};
  if (!request.content_encoding.empty() && request.content_encoding != "identity")
    return {415, "text/plain", "no content encoding is taken\n", std::nullopt, true};
  std::vector<load_reports::MetricsReport> reports;
  try {
    reports = load_reports::parse_metrics(request.body);
  } catch (const std::exception& error) {
    return {400, "application/json", json({{"code", 3}, {"message", error.what()}}).dump(), std::nullopt,
            true};
  }
  const auto outcome = intake_->take(wall_now(), reports);
  const auto refused = outcome.repeated + outcome.too_old + outcome.malformed + outcome.unknown;
  if (outcome.unknown > 0) log_peer_error("reports about proxies, replicas or classes that nobody knows");
  json body = json::object();
  if (refused > 0) {
    body["partialSuccess"] = {
        {"rejectedDataPoints", std::to_string(refused)},
        {"errorMessage", std::to_string(outcome.repeated) + " repeated, " + std::to_string(outcome.too_old) +
                             " too old, " + std::to_string(outcome.malformed) + " malformed, " +
                             std::to_string(outcome.unknown) + " unknown"}};
  }
  return {200, "application/json", body.dump(), std::nullopt, true};
}

http::Response ControlPlaneServer::answer_generations(const std::string& name) {
  const auto proxy = config::find_proxy(config_, name);
  if (!proxy) return {404, "text/plain", "there is no proxy '" + name + "'\n", std::nullopt, true};
  try {
    return {200, "application/json", files::write_state(pusher_->look(*proxy)), std::nullopt, true};
  } catch (const net::Error& error) {
    return {502, "text/plain", std::string(error.what()) + "\n", std::nullopt, true};
  }
}

http::Response ControlPlaneServer::answer_rollback(const std::string& rest) {
  constexpr std::string_view asks = "?version=";
  const auto at = rest.find(asks);
  const auto proxy = config::find_proxy(config_, rest.substr(0, at));
  std::uint64_t version = 0;
  const auto* end = rest.data() + rest.size();
  if (at == std::string::npos || std::from_chars(rest.data() + at + asks.size(), end, version).ptr != end)
    return {400, "text/plain", "ask for /rollback/PROXY?version=N\n", std::nullopt, true};
  if (!proxy)
    return {404, "text/plain", "there is no proxy '" + rest.substr(0, at) + "'\n", std::nullopt, true};
  try {
    const auto state = pusher_->roll_back(*proxy, version, live_->out());
    log_->warn("rolled back {} to version {} by hand", rest.substr(0, at), version);
    return {200, "application/json", files::write_state(state), std::nullopt, true};
  } catch (const net::Error& error) {
    return {409, "text/plain", std::string(error.what()) + "\n", std::nullopt, true};
  }
}

http::Response ControlPlaneServer::answer(const http::Request& request) {
  constexpr std::string_view generations = "/generations/", rollback = "/rollback/";
  if (request.method == "POST" && request.target.starts_with(rollback))
    return answer_rollback(request.target.substr(rollback.size()));
  if (request.target == "/v1/metrics") {
    if (request.method != "POST") return {405, "text/plain", "POST reports here\n", std::nullopt, true};
    return take_metrics(request);
  }
  if (request.method != "GET") return {405, "text/plain", "only GET here\n", std::nullopt, true};
  if (request.target.starts_with(generations))
    return answer_generations(request.target.substr(generations.size()));
  const auto body = status_of(request.target, config_, live_->standing(), intake_->totals());
  if (!body) return {404, "text/plain", "nothing of that name\n", std::nullopt, true};
  return {200, "application/json", *body, std::nullopt, true};
}

}  // namespace ospreypost::control_plane
