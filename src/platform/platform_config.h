/// The JSON configuration that the platform passes to a control plane instance at its start, in the file that
/// the environment variable ROUTER_CONFIG names.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "policy/controller.h"

namespace ospreypost::platform {

/// The validated configuration.
struct PlatformConfig {
  std::string name;          ///< name of this control plane instance
  net::Address listen;       ///< address where proxies and collectors connect
  net::Address discovery;    ///< address of the server of the endpoint list
  net::Address peer_listen;  ///< address where gossip messages are received
  net::Address all_peers;    ///< address that delivers to every peer
  /// Addresses of all instances, indexed by `PeerId`, including this instance; empty if there are no peers.
  std::vector<net::Address> peers;
  bool gossip_enabled = false;
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 0;   ///< limit of the process's file descriptors
  std::size_t max_memory_bytes = 0;  ///< limit of the process's memory
  Settings settings;

  // Names of the request classes, zones, hardware kinds and load report columns. The settings refer to each
  // name by its position in the list.
  std::vector<std::string> classes;
  std::vector<std::string> zones;
  std::vector<std::string> hardware_kinds;
  std::vector<std::string> load_columns;

  /// Retry mode that a proxy applies to a request class until it receives a traffic policy for the class.
  RetryMode default_retry = RetryMode::after_rejection_proof;
  /// Minimum time between two batches of calls on the controller.
  Nanos min_batch_interval{};
  /// Last endpoint list that was received before the start, in discovery's JSON format.
  std::string cached_endpoint_list;
};

/// Parses the configuration. `where`: name of the text, for error messages. Throws `config::ConfigError` with
/// a one-line message that contains `where` and, for a missing or wrong field, the field's name.
PlatformConfig parse_platform_config(std::string_view text, const std::string& where);
/// Reads and parses the configuration file. Throws `config::ConfigError` like `parse_platform_config`, and
/// also if the file cannot be read or is larger than 8 MiB.
PlatformConfig read_platform_config(const std::string& path);

}  // namespace ospreypost::platform
