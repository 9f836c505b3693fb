// A large fleet for measurements: a configuration, and a live governor that is driven without sockets.
#pragma once

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "config/config.h"
#include "discovery/endpoint_list.h"
#include "program/support.h"

namespace ospreypost::bench {

// From a text that says all of it, so that a record of such a fleet replays.
inline config::Config fleet_config(std::size_t proxies) {
  std::string known;
  for (std::size_t p = 0; p < proxies; ++p) {
    known += "<proxy name=\"proxy-" + std::to_string(p) + "\" zone=\"" + (p % 2 == 0 ? "east" : "west") +
             "\" usual-rate=\"10\" entry=\"127.0.0.1:7001\" vouched=\"true\"/>";
  }
  auto text = test::small_config_text();
  const auto begin = text.find("<proxy name"), end = text.find("</proxies>");
  text = text.substr(0, begin) + known + text.substr(end);
  text = test::replace_first(text, "\"5000\" most-waiting=\"10000\"",
                             "\"" + std::to_string(50 * proxies + 1000) + "\" most-waiting=\"" +
                                 std::to_string(200 * proxies + 2000) + "\"");
  return config::parse_config(text, "fleet");
}

inline discovery::Endpoint backend(std::size_t n, const config::Config& config) {
  discovery::Endpoint made;
  made.name = "unit-" + std::to_string(n);
  made.zone = config.zones[n % config.zones.size()];
  made.cell = made.zone;
  made.address = {"127.0.0." + std::to_string(1 + n % 250), static_cast<std::uint16_t>(9000 + n)};
  return made;
}

inline std::vector<discovery::Endpoint> fleet_roll(std::size_t replicas, const config::Config& config) {
  std::vector<discovery::Endpoint> roll;
  for (std::size_t n = 0; n < replicas; ++n) roll.push_back(backend(n, config));
  return roll;
}

// Beside, then renamed, as the pages ask of whoever writes it.
inline void write_roll(const std::string& path, const std::vector<discovery::Endpoint>& roll) {
  nlohmann::json backends = nlohmann::json::array();
  for (const auto& backend : roll) {
    backends.push_back({{"name", backend.name},
                        {"zone", backend.zone},
                        {"address", backend.address.text()},
                        {"phase", backend.draining ? "draining" : "ready"}});
  }
  std::ofstream(path + ".new") << nlohmann::json({{"backends", backends}}).dump();
  std::filesystem::rename(path + ".new", path);
}

}  // namespace ospreypost::bench
