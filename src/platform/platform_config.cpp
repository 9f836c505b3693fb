#include "platform/platform_config.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <ios>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "config/xml.h"
#include "net/socket.h"
#include "policy/controller.h"
#include "simulator/codec.h"
#include "simulator/settings.h"

namespace ospreypost::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxConfigBytes = std::size_t{8} << 20;
constexpr std::size_t kReadBufferBytes = 16384;
constexpr std::size_t kMinDescriptors = 64;
constexpr std::size_t kBytesPerMebibyte = std::size_t{1} << 20;
constexpr std::size_t kDefaultMemoryMebibytes = 32;
constexpr double kMinMemoryMebibytes = 1;
constexpr double kMaxMemoryMebibytes = 1e6;
constexpr double kMaxBatchIntervalSeconds = 60;
constexpr double kNanosPerSecond = 1e9;
constexpr int kMaxRetryMode = 3;

// Reads the fields of a JSON object. Error messages contain the field's name.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string where) : object_(object), where_(std::move(where)) {
    if (!object.is_object()) fail("", "is not an object");
  }
  const json& at(const char* field) const {
    const auto found = object_.find(field);
    if (found == object_.end()) fail(field, "is missing");
    return *found;
  }
  bool has(const char* field) const { return object_.contains(field); }
  std::string text(const char* field) const {
    if (!at(field).is_string()) fail(field, "is not a string");
    return at(field).get<std::string>();
  }
  net::Address address(const char* field) const { return parse_address(field, text(field)); }
  std::vector<net::Address> addresses(const char* field) const {
    std::vector<net::Address> parsed;
    for (const auto& text : names(field, at(field))) parsed.push_back(parse_address(field, text));
    return parsed;
  }
  // Returns the names in a list whose items are strings or objects with a `name` field.
  std::vector<std::string> names(const char* field, const json& list) const {
    std::vector<std::string> found;
    if (!list.is_array()) fail(field, "is not a list");
    for (const auto& item : list) {
      const auto& name = item.is_object() && item.contains("name") ? item["name"] : item;
      if (!name.is_string())
        fail(field, "contains an item that is neither a string nor an object with a name");
      found.push_back(name.get<std::string>());
    }
    return found;
  }
  [[noreturn]] void fail(const std::string& field, const std::string& what) const {
    throw config::ConfigError(where_ + ": " + (field.empty() ? "the value" : field) + " " + what);
  }

 private:
  net::Address parse_address(const char* field, const std::string& text) const {
    try {
      return net::Address::parse(text);
    } catch (const net::Error& error) {
      fail(field, error.what());
    }
  }

  const json& object_;
  const std::string where_;
};

std::string scalar_text(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string path_below(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "." + key;
}

void flatten(const json& value, const std::string& path, std::string& lines);

void flatten_list(const json& list, const std::string& path, std::string& lines) {
  const bool holds_objects = !list.empty() && list.front().is_object();
  if (holds_objects) {
    lines += path + ".count=" + std::to_string(list.size()) + "\n";
    for (std::size_t n = 0; n < list.size(); ++n)
      flatten(list[n], path_below(path, std::to_string(n)), lines);
    return;
  }
  std::string items;
  for (const auto& item : list) {
    if (&item != &list.front()) items += ',';
    items += scalar_text(item);
  }
  lines += path + "=" + items + "\n";
}

// Writes nested settings as path=value lines, the format in the first message of the simulator's protocol, so
// that `simulator::parse_settings` parses the settings of the platform and of the simulator.
void flatten(const json& value, const std::string& path, std::string& lines) {
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(item, path_below(path, key), lines);
    return;
  }
  if (value.is_array()) return flatten_list(value, path, lines);
  if (!value.is_null()) lines += path + "=" + scalar_text(value) + "\n";
}

json parse_document(std::string_view text, const std::string& where) {
  try {
    return json::parse(text);
  } catch (const json::exception& error) {
    throw config::ConfigError(where + ": no JSON: " + error.what());
  }
}

std::uint64_t parse_seed(const ObjectReader& document) {
  const auto text = document.text("seed");
  const char* const end = text.data() + text.size();
  std::uint64_t seed = 0;
  const auto parsed = std::from_chars(text.data(), end, seed, 16);
  if (parsed.ec != std::errc{} || parsed.ptr != end)
    document.fail("seed", "is not a hexadecimal number of at most 64 bits");
  return seed;
}

std::size_t parse_max_descriptors(const ObjectReader& document, const std::string& where) {
  const ObjectReader limits(document.at("limits"), where + ": limits");
  const auto& sockets = limits.at("sockets");
  if (!sockets.is_number_unsigned() || sockets.get<std::size_t>() < kMinDescriptors)
    limits.fail("sockets", "is not an integer of at least 64");
  return sockets.get<std::size_t>();
}

std::size_t parse_max_memory(const ObjectReader& document, const std::string& where) {
  const ObjectReader limits(document.at("limits"), where + ": limits");
  if (!limits.has("memory_mb")) return kDefaultMemoryMebibytes * kBytesPerMebibyte;
  const auto& memory = limits.at("memory_mb");
  const double mebibytes = memory.is_number() ? memory.get<double>() : 0;
  const bool in_range =
      mebibytes >= kMinMemoryMebibytes && mebibytes <= kMaxMemoryMebibytes;  // false for NaN
  if (!in_range) limits.fail("memory_mb", "is not a number from 1 to 1,000,000");
  return static_cast<std::size_t>(mebibytes * static_cast<double>(kBytesPerMebibyte));
}

void parse_peers(const ObjectReader& document, PlatformConfig& config) {
  if (!document.has("peer_listen") || !document.has("peers")) return;
  config.peer_listen = document.address("peer_listen");
  config.peers = document.addresses("peers");
  if (document.has("peers_all")) config.all_peers = document.address("peers_all");
}

RetryMode parse_default_retry(const ObjectReader& settings, const json& nested) {
  const int number = nested.at("family-info").at("default-retry").get<int>();
  if (number < 0 || number > kMaxRetryMode)
    settings.fail("settings.family-info.default-retry", "is not a retry mode from 0 to 3");
  return static_cast<RetryMode>(number);
}

Nanos parse_min_batch_interval(const ObjectReader& settings, const json& nested) {
  const double seconds = nested.at("quantum-s").get<double>();
  const bool in_range = seconds >= 0 && seconds < kMaxBatchIntervalSeconds;  // NaN is never in range
  if (!in_range) settings.fail("quantum-s", "is not from 0 to below 60");
  return Nanos(std::llround(seconds * kNanosPerSecond));
}

void parse_settings(const ObjectReader& document, const std::string& where, PlatformConfig& config) {
  const auto& nested = document.at("settings");
  const ObjectReader settings(nested, where + ": settings");
  try {
    std::string lines;
    flatten(nested, "", lines);
    config.settings = simulator::parse_settings(lines);
    config.default_retry = parse_default_retry(document, nested);
    config.min_batch_interval = parse_min_batch_interval(settings, nested);
    config.gossip_enabled = !config.peers.empty() && nested.at("allowed").value("peers", false);
    config.load_columns = settings.names("report.columns", nested.at("report").at("columns"));
  } catch (const simulator::ProtocolError& error) {
    throw config::ConfigError(where + ": " + error.what());
  } catch (const json::exception& error) {
    throw config::ConfigError(where + ": settings: " + error.what());
  }
  config.classes = settings.names("classes", settings.at("classes"));
  config.zones = settings.names("azs", settings.at("azs"));
  config.hardware_kinds = settings.names("skus", settings.at("skus"));
}

}  // namespace

PlatformConfig parse_platform_config(std::string_view text, const std::string& where) {
  const auto parsed = parse_document(text, where);
  const ObjectReader document(parsed, where);
  PlatformConfig config;
  config.name = document.text("name");
  config.listen = document.address("listen");
  config.discovery = document.address("discovery");
  config.seed = parse_seed(document);
  config.max_descriptors = parse_max_descriptors(document, where);
  config.max_memory_bytes = parse_max_memory(document, where);
  parse_peers(document, config);
  parse_settings(document, where, config);
  config.cached_endpoint_list = document.at("known").dump();
  return config;
}

PlatformConfig read_platform_config(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw config::ConfigError(path + ": cannot be read");
  std::string text;
  std::array<char, kReadBufferBytes> buffer{};
  while (file.read(buffer.data(), buffer.size()) || file.gcount() > 0) {
    text.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
    if (text.size() > kMaxConfigBytes) throw config::ConfigError(path + ": is larger than 8 MiB");
  }
  return parse_platform_config(text, path);
}

}  // namespace ospreypost::platform
