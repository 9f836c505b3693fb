/// The way of endpoint lists from discovery to the controller and to the streams.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "control_plane/controller_driver.h"
#include "control_plane/log_lines.h"
#include "discovery/discovery_watcher.h"
#include "platform/stream_delivery.h"
#include "policy/controller.h"

namespace spdlog {
class logger;
}

namespace ospreypost::platform {

/// Logs each list and applies it. Called by one thread at a time: the caller's at the start, then the
/// watcher's.
class EndpointListIntake : public discovery::EndpointListHandler {
 public:
  /// What lists go to, which must outlive the intake.
  struct Targets {
    control_plane::ControllerDriver& driver;
    StreamDelivery& delivery;
    control_plane::RateLimitedLogger& errors;
  };
  /// `warm_up_duration`: for so long after its start a replica is logged as warming up. `on_applied` is
  /// called without a lock after each list: there may be something to write on streams.
  EndpointListIntake(const Targets& targets, std::shared_ptr<spdlog::logger> log, Nanos warm_up_duration,
                     std::function<void()> on_applied);

  /// Applies the list that was known before the start, if it can be read. Returns its revision, or 0.
  std::uint64_t apply_cached(const std::string& text);
  /// Applies a list of the watcher.
  void on_endpoint_list_update(const discovery::EndpointListUpdate& list) override;
  void on_discovery_error(const std::string& why) override;

 private:
  enum class Source { cached, discovery };

  void apply(const discovery::EndpointListUpdate& list, Source source);
  void log_list(const discovery::EndpointListUpdate& list, Source source);

  const Targets targets_;
  const std::shared_ptr<spdlog::logger> log_;
  const Nanos warm_up_duration_;
  const std::function<void()> on_applied_;
};

}  // namespace ospreypost::platform
