// What the platform tells a governor at its start: the JSON configuration that ROUTER_CONFIG names.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/discovery_watcher.h"
#include "net/socket.h"
#include "policy/controller.h"

namespace ospreypost::platform {

struct PlatformConfig {
  std::string name;
  net::Address listen, discovery, peer_listen;
  std::vector<net::Address> peers;  // by number, its own included; empty: none
  bool gossip_enabled = false;      // to them
  net::Address all_peers;
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 0;  // file descriptors at most
  Settings settings;
  // The names that the settings' numbers stand for, in their order.
  std::vector<std::string> classes, zones, hardware_kinds, load_columns;
  RetryMode default_retry = RetryMode::after_rejection_proof;  // of a proxy that has no orders for a class
  Nanos min_batch_interval{};        // the simulator's least time between two batches
  std::string cached_endpoint_list;  // the list as last had, in discovery's form
};

// Throws config::Faulty: one line that names `where` and the field.
PlatformConfig parse_platform_config(std::string_view text, const std::string& where);
// Throws config::Faulty also where there is no such file.
PlatformConfig read_platform_config(const std::string& path);

}  // namespace ospreypost::platform
