/// The HTTP API of a control plane: receives load reports, shows the status, and shows and rolls back the
/// generations of the proxies' table files.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <semaphore>
#include <string>

#include "config/config.h"
#include "control_plane/control_plane.h"
#include "control_plane/log_lines.h"
#include "files/pusher.h"
#include "http/http.h"
#include "load_reports/load_report_processor.h"

namespace spdlog {
class logger;
}

namespace ospreypost::control_plane {

/// Handles HTTP requests. Thread-safe.
class HttpApi {
 public:
  /// The components that requests are passed to; they must outlive the `HttpApi`.
  struct Targets {
    const config::Config& config;
    ControlPlane& control_plane;
    load_reports::LoadReportProcessor& load_reports;
    RateLimitedLogger& peer_errors;
  };
  HttpApi(const Targets& targets, std::shared_ptr<spdlog::logger> log)
      : targets_(targets), log_(std::move(log)) {}

  /// Sets the pusher that reads and rolls back generations.
  /// Without a pusher, requests for generations are rejected. `pusher` must outlive all requests.
  void set_pusher(files::Pusher* pusher) { pusher_ = pusher; }
  http::Response handle(const http::Request& request);

 private:
  // Handles POST /v1/metrics.
  http::Response receive_metrics(const http::Request& request);
  // Handles GET /generations/PROXY.
  http::Response show_generations(const std::string& proxy_name);
  // Handles POST /rollback/PROXY?version=N. `proxy_and_query` is the part after /rollback/.
  http::Response roll_back(const std::string& proxy_and_query);
  http::Response show_status(const std::string& target);

  static constexpr std::ptrdiff_t kMaxParsers = 4;
  // Waits for a free parser, and occupies it until destroyed.
  class ParserSlot {
   public:
    explicit ParserSlot(std::counting_semaphore<>& free_parsers) : free_parsers_(free_parsers) {
      free_parsers_.acquire();
    }
    ~ParserSlot() { free_parsers_.release(); }
    ParserSlot(const ParserSlot&) = delete;
    ParserSlot& operator=(const ParserSlot&) = delete;

   private:
    std::counting_semaphore<>& free_parsers_;
  };

  const Targets targets_;
  const std::shared_ptr<spdlog::logger> log_;
  std::atomic<files::Pusher*> pusher_ = nullptr;
  // Limits how many requests are parsed at once, as a parsed request takes several times its size.
  std::counting_semaphore<> free_parsers_{kMaxParsers};
};

}  // namespace ospreypost::control_plane
