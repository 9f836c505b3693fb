#include "platform/endpoint_list_intake.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "control_plane/controller_driver.h"
#include "discovery/discovery_watcher.h"
#include "net/socket.h"
#include "platform/endpoint_registry.h"
#include "policy/controller.h"
#include "record/recording_controller.h"
#include "routing_state/routing_state.h"

namespace ospreypost::platform {
namespace {

bool started_within(const discovery::EndpointEntry& entry, Nanos duration) {
  if (!entry.started) return false;
  const Nanos unix_time = std::chrono::system_clock::now().time_since_epoch();
  return unix_time - *entry.started < duration;
}

const char* phase_text(EndpointPhase phase, bool warming_up) {
  switch (phase) {
    case EndpointPhase::ready:
      return warming_up ? "warming_up" : "ready";
    case EndpointPhase::draining:
      return "draining";
    case EndpointPhase::gone:
      return "gone";
  }
  return "gone";
}

}  // namespace

EndpointListIntake::EndpointListIntake(const Targets& targets, std::shared_ptr<spdlog::logger> log,
                                       Nanos warm_up_duration, std::function<void()> on_applied)
    : targets_(targets),
      log_(std::move(log)),
      warm_up_duration_(warm_up_duration),
      on_applied_(std::move(on_applied)) {}

std::uint64_t EndpointListIntake::apply_cached(const std::string& text) {
  std::uint64_t revision = 0;
  try {
    const auto list = discovery::parse_endpoint_list_update(text);
    revision = list.revision;
    apply(list, Source::cached);
  } catch (const net::Error& error) {
    targets_.errors.add(std::string("cannot read the cached endpoint list: ") + error.what());
  }
  return revision;
}

void EndpointListIntake::on_endpoint_list_update(const discovery::EndpointListUpdate& list) {
  apply(list, Source::discovery);
}

void EndpointListIntake::on_discovery_error(const std::string& why) {
  targets_.errors.add("endpoint list unavailable: " + why);
}

void EndpointListIntake::apply(const discovery::EndpointListUpdate& list, Source source) {
  log_list(list, source);
  std::size_t rejected = list.rejected;
  targets_.driver.call([&](record::RecordingController& controller, routing_state::RoutingState&, Nanos now) {
    const auto changes = targets_.delivery.apply(list);
    rejected += changes.rejected;
    auto kind = EndpointListKind::changes;
    if (list.complete && !changes.must_apply_as_changes) kind = EndpointListKind::complete;
    if (source == Source::cached) kind = EndpointListKind::cached;
    controller.on_endpoint_list(now, kind, changes.updates);
  });
  if (rejected > 0) targets_.errors.add("the endpoint list has entries that cannot be read");
  on_applied_();
}

// Logs one line for a complete list, or one line for each entry of a list of changes.
void EndpointListIntake::log_list(const discovery::EndpointListUpdate& list, Source source) {
  std::size_t ready = 0;
  std::size_t warming_up = 0;
  for (const auto& entry : list.entries) {
    const bool recent = started_within(entry, warm_up_duration_);
    if (entry.phase == EndpointPhase::ready) {
      ready += 1;
      warming_up += recent ? 1 : 0;
    }
    if (!list.complete)
      log_->info("endpoint_changed replica={} phase={}", entry.name, phase_text(entry.phase, recent));
  }
  if (!list.complete) return;
  log_->info("endpoint_list_received source={} entries={} ready={} warming_up={}",
             source == Source::cached ? "cached" : "discovery", list.entries.size(), ready, warming_up);
}

}  // namespace ospreypost::platform
