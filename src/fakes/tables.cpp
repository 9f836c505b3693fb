#include "fakes/tables.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace ospreypost::fakes {
namespace {

using nlohmann::json;

Resolved empty_table() {
  Resolved table;
  table.kind = Resolved::Kind::answer;
  table.replicas = true;
  return table;
}

std::optional<std::string> read_text(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the text after `key`, up to the next space, ';' or the end of the line; empty if `key` is missing.
std::string word_after(const std::string& line, const std::string& key) {
  const auto key_position = line.find(key);
  if (key_position == std::string::npos) return {};
  const auto from = key_position + key.size();
  return line.substr(from, line.find_first_of(" ;", from) - from);
}

}  // namespace

Resolved read_envoy(const std::string& text) {
  auto table = empty_table();
  try {
    const auto response = json::parse(text);
    table.version = std::stoull(response.at("version_info").get<std::string>());
    for (const auto& resource : response.at("resources")) {
      for (const auto& drop : resource.at("policy").at("drop_overloads"))
        table.level = 1 - drop.at("drop_percentage").at("numerator").get<double>() / 1e6;
      for (const auto& locality : resource.at("endpoints")) {
        for (const auto& line : locality.at("lb_endpoints")) {
          const auto& address = line.at("endpoint").at("address").at("socket_address");
          table.targets.push_back(
              {line.at("endpoint").at("hostname").get<std::string>(),
               {address.at("address").get<std::string>(), address.at("port_value").get<std::uint16_t>()},
               locality.at("priority").get<std::uint16_t>(),
               line.at("load_balancing_weight").get<std::uint16_t>()});
        }
      }
    }
  } catch (const std::exception&) {
    return {};
  }
  return table;
}

Resolved read_upstream(const std::string& text) {
  auto table = empty_table();
  std::istringstream lines(text);
  std::string line;
  bool block_open = false, block_closed = false;
  try {
    while (std::getline(lines, line)) {
      if (line.starts_with("# version=")) {
        table.version = std::stoull(word_after(line, "version="));
        table.level = std::stod(word_after(line, "level="));
        table.retry = word_after(line, "retry=");
      } else if (line.starts_with("upstream ") && line.ends_with(" {")) {
        block_open = true;
      } else if (line == "}") {
        block_closed = true;
      } else if (const auto at = line.find("server ");
                 block_open && !block_closed && at != std::string::npos) {
        const auto name = line.rfind("# ");
        if (line.find(" down;") != std::string::npos) continue;
        if (name == std::string::npos) return {};
        table.targets.push_back(
            {line.substr(name + 2), net::Address::parse(word_after(line, "server ")), 0,
             static_cast<std::uint16_t>(std::clamp(std::stoi(word_after(line, "weight=")), 0, 65535))});
      }
    }
  } catch (const std::exception&) {
    return {};
  }
  return block_open && block_closed ? table : Resolved{};
}

Resolved read_table(const std::string& folder, const std::string& cls) {
  if (const auto text = read_text(folder + "/" + cls + ".json")) return read_envoy(*text);
  const auto text = read_text(folder + "/" + cls + ".conf");
  return text ? read_upstream(*text) : Resolved{};
}

}  // namespace ospreypost::fakes
