// Builds the configuration and the endpoint list of a large fleet for the benchmarks.
#pragma once

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "config/config.h"
#include "discovery/endpoint_list.h"
#include "program/support.h"

namespace ospreypost::bench {

// Parses a configuration text that contains all settings, so that a record with this text can be replayed.
inline config::Config fleet_config(std::size_t proxies) {
  std::string proxy_elements;
  for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
    proxy_elements += "<proxy name=\"proxy-" + std::to_string(proxy) + "\" zone=\"" +
                      (proxy % 2 == 0 ? "east" : "west") +
                      "\" usual-rate=\"10\" entry=\"127.0.0.1:7001\" vouched=\"true\"/>";
  }
  auto text = test::small_config_text();
  const auto begin = text.find("<proxy name"), end = text.find("</proxies>");
  text = text.substr(0, begin) + proxy_elements + text.substr(end);
  text = test::replace_first(text, "\"5000\" most-waiting=\"10000\"",
                             "\"" + std::to_string(50 * proxies + 1000) + "\" most-waiting=\"" +
                                 std::to_string(200 * proxies + 2000) + "\"");
  return config::parse_config(text, "fleet");
}

inline discovery::Endpoint make_endpoint(std::size_t n, const config::Config& config) {
  discovery::Endpoint endpoint;
  endpoint.name = "unit-" + std::to_string(n);
  endpoint.zone = config.zones[n % config.zones.size()];
  endpoint.cell = endpoint.zone;
  endpoint.address = {"127.0.0." + std::to_string(1 + n % 250), static_cast<std::uint16_t>(9000 + n)};
  return endpoint;
}

inline std::vector<discovery::Endpoint> fleet_endpoints(std::size_t replicas, const config::Config& config) {
  std::vector<discovery::Endpoint> endpoints;
  for (std::size_t n = 0; n < replicas; ++n) endpoints.push_back(make_endpoint(n, config));
  return endpoints;
}

// Writes a temporary file and renames it over `path`, so that readers never see a half-written file.
inline void write_endpoint_file(const std::string& path, const std::vector<discovery::Endpoint>& endpoints) {
  nlohmann::json backends = nlohmann::json::array();
  for (const auto& endpoint : endpoints) {
    backends.push_back({{"name", endpoint.name},
                        {"zone", endpoint.zone},
                        {"address", endpoint.address.text()},
                        {"phase", endpoint.draining ? "draining" : "ready"}});
  }
  std::ofstream(path + ".new") << nlohmann::json({{"backends", backends}}).dump();
  std::filesystem::rename(path + ".new", path);
}

}  // namespace ospreypost::bench
