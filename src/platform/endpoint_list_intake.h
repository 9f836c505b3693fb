/// Passes endpoint lists from discovery to the controller and to the proxies' streams.
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

/// Logs each endpoint list and applies it. The methods must not be called concurrently: `PlatformServer`
/// calls `apply_cached` before it starts the discovery watcher, whose thread makes the later calls.
class EndpointListIntake : public discovery::EndpointListHandler {
 public:
  /// The objects that receive the lists and the errors. They must outlive the intake.
  struct Targets {
    control_plane::ControllerDriver& driver;
    StreamDelivery& delivery;
    control_plane::RateLimitedLogger& errors;
  };
  /// `warm_up_duration`: time after a replica's start during which the replica is logged as warming up.
  /// `on_applied` is called after each applied list, without a lock held, so that the streams can send the
  /// resulting table updates.
  EndpointListIntake(const Targets& targets, std::shared_ptr<spdlog::logger> log, Nanos warm_up_duration,
                     std::function<void()> on_applied);

  /// Applies the endpoint list that was cached before the start. Returns its revision, or 0 if `text` cannot
  /// be parsed.
  std::uint64_t apply_cached(const std::string& text);
  /// Applies a list that the discovery watcher received.
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
