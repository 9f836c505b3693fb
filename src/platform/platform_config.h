/// What the platform passes to a control plane instance at its start: the JSON configuration that the
/// environment variable ROUTER_CONFIG names.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "policy/controller.h"

namespace ospreypost::platform {

/// The configuration, checked.
struct PlatformConfig {
  std::string name;
  net::Address listen;       ///< for proxies and collectors
  net::Address discovery;    ///< the server of the endpoint list
  net::Address peer_listen;  ///< for gossip
  net::Address all_peers;    ///< reaches every peer
  /// By number, its own included; empty: there are none.
  std::vector<net::Address> peers;
  bool gossip_enabled = false;
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 0;  ///< file descriptors of the process
  Settings settings;

  // The names that the numbers in the settings stand for, in their order.
  std::vector<std::string> classes;
  std::vector<std::string> zones;
  std::vector<std::string> hardware_kinds;
  std::vector<std::string> load_columns;

  /// The mode of a proxy that received none for a class.
  RetryMode default_retry = RetryMode::after_rejection_proof;
  /// The shortest time between two batches of calls on the controller.
  Nanos min_batch_interval{};
  /// The last endpoint list that was known before the start, in discovery's form.
  std::string cached_endpoint_list;
};

/// `where` names the text in errors. Throws `config::ConfigError`, whose message is one line that names
/// `where` and the field.
PlatformConfig parse_platform_config(std::string_view text, const std::string& where);
/// Throws `config::ConfigError` like `parse_platform_config`, and where the file cannot be read or is too
/// large.
PlatformConfig read_platform_config(const std::string& path);

}  // namespace ospreypost::platform
