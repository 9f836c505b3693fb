/// Helpers for tests of records: recording incarnations of a control plane, and replaying them.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "config/config.h"
#include "program/support.h"
#include "record/blocks.h"
#include "record/recording_controller.h"
#include "record/writer.h"
#include "replay/replay.h"

namespace ospreypost::test {

/// Maximum file size in bytes; small, so that a record consists of several files.
inline constexpr std::uint64_t kSmallFileBytes = 2000;

inline std::vector<EndpointUpdate> ready_replicas(std::size_t count) {
  std::vector<EndpointUpdate> updates;
  for (std::uint32_t n = 0; n < count; ++n)
    updates.push_back({ReplicaId{n}, ZoneId{0}, {}, {}, EndpointPhase::ready, 1, {}});
  return updates;
}

/// Records one incarnation with the small configuration: replicas with these names and ids in the order of
/// `names`, one proxy, and one report of the proxy per second. Of the 9 attempts at the replica with id n, n
/// fail; the report number n is n ms late.
inline void record_incarnation(const std::string& folder, Nanos begin, const std::vector<std::string>& names,
                               int reports = 8) {
  const auto config = config::parse_config(small_config_text(), "small");
  record::Writer writer({folder, 1U << 30, kSmallFileBytes});
  ActionHandler actions;  // ignores all actions
  record::RecordingController controller(config::module_settings(config), config.seed, begin, actions,
                                         &writer, config.text);
  for (std::uint32_t n = 0; n < names.size(); ++n) controller.on_replica_named(begin, ReplicaId{n}, names[n]);
  controller.on_endpoint_list(begin, EndpointListKind::cached, ready_replicas(names.size()));
  controller.on_proxy_joined(begin, ProxyId{0}, ZoneId{0}, 10, true);
  for (int n = 1; n <= reports; ++n) {
    const Nanos now = begin + std::chrono::seconds(n);
    const record::Origin origin{ProxyId{0}, std::chrono::milliseconds(n)};
    const Nanos latency = std::chrono::milliseconds(80);
    const Nanos span = std::chrono::seconds(1);
    for (std::uint32_t replica = 0; replica < names.size(); ++replica) {
      controller.on_replica_load_report(
          now, {ZoneId{0}, ReplicaId{replica}, 9, replica, latency, span, {0.5F}}, origin);
    }
    controller.on_demand_report(now, {ClassId{0}, 20, 1, span}, origin);
    controller.on_demand_report(now, {ClassId{1}, 10, 0, span}, origin);
  }
}

/// Replays a record with its recorded configurations.
inline replay::ReplayResult replay_as_recorded(const std::vector<std::string>& files) {
  replay::Options options;
  options.load_config = [](const std::string& text) {
    const auto config = config::parse_config(text, "recorded");
    return replay::ControllerConfig{config::module_settings(config), config.seed};
  };
  return replay::replay(files, options);
}

/// The blocks and corrupt regions that a `BlockReader` finds in a text.
struct FoundBlocks {
  std::vector<record::BlockHeader> headers;
  std::size_t corrupt_regions = 0;

  std::size_t entries() const {
    std::size_t total = 0;
    for (const auto& header : headers) total += header.entries;
    return total;
  }
};

inline FoundBlocks find_blocks(const std::string& text) {
  record::BlockReader reader(text);
  FoundBlocks found;
  while (const auto block = reader.next()) found.headers.push_back(block->header);
  found.corrupt_regions = reader.corrupt_regions();
  return found;
}

}  // namespace ospreypost::test
