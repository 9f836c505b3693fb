#include "platform/platform_config.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "config/xml.h"
#include "simulator/codec.h"
#include "simulator/settings.h"

namespace ospreypost::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMostBytes = std::size_t{8} << 20;

class Fields {
 public:
  Fields(const json& object, std::string where) : object_(object), where_(std::move(where)) {
    if (!object.is_object()) fail("", "is no object");
  }
  const json& at(const char* field) const {
    const auto found = object_.find(field);
    if (found == object_.end()) fail(field, "is missing");
    return *found;
  }
  bool has(const char* field) const { return object_.contains(field); }
  std::string text(const char* field) const {
    if (!at(field).is_string()) fail(field, "is no text");
    return at(field).get<std::string>();
  }
  net::Address address(const char* field) const {
    try {
      return net::Address::parse(text(field));
    } catch (const net::Error& error) {
      fail(field, error.what());
    }
  }
  [[noreturn]] void fail(const std::string& field, const std::string& what) const {
    throw config::ConfigError(where_ + ": " + (field.empty() ? "it" : field) + " " + what);
  }

 private:
  const json& object_;
  std::string where_;
};

// Nested settings as the path=value lines that the simulator's first message has, so that both doors derive
// them by the same code.
void flatten(const json& value, const std::string& path, std::string& lines) {
  const auto under = [&](const std::string& key) { return path.empty() ? key : path + "." + key; };
  const auto plain = [](const json& item) {
    return item.is_string() ? item.get<std::string>() : item.dump();
  };
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(item, under(key), lines);
    return;
  }
  if (!value.is_array()) {
    if (!value.is_null()) lines += path + "=" + plain(value) + "\n";
    return;
  }
  const bool of_objects = !value.empty() && value.front().is_object();
  if (of_objects) lines += path + ".count=" + std::to_string(value.size()) + "\n";
  std::string items;
  for (std::size_t n = 0; n < value.size(); ++n) {
    if (of_objects) flatten(value[n], under(std::to_string(n)), lines);
    if (!of_objects) items += (n > 0 ? "," : "") + plain(value[n]);
  }
  if (!of_objects) lines += path + "=" + items + "\n";
}

std::vector<std::string> names_of(const Fields& fields, const json& list, const char* field) {
  std::vector<std::string> names;
  if (!list.is_array()) fields.fail(field, "is no list");
  for (const auto& item : list) {
    const auto& name = item.is_object() && item.contains("name") ? item["name"] : item;
    if (!name.is_string()) fields.fail(field, "holds what is no name");
    names.push_back(name.get<std::string>());
  }
  return names;
}

RetryMode retry_of(const Fields& fields, int number) {
  if (number < 0 || number > 3) fields.fail("settings.family-info.default-retry", "is none of 0 to 3");
  return static_cast<RetryMode>(number);
}

}  // namespace

PlatformConfig parse_platform_config(std::string_view text, const std::string& where) {
  json document;
  try {
    document = json::parse(text);
  } catch (const json::exception& error) {
    throw config::ConfigError(where + ": no JSON: " + error.what());
  }
  const Fields fields(document, where);
  PlatformConfig read;
  read.name = fields.text("name");
  read.listen = fields.address("listen");
  read.discovery = fields.address("discovery");
  const auto seed = fields.text("seed");
  const auto seen = std::from_chars(seed.data(), seed.data() + seed.size(), read.seed, 16);
  if (seen.ec != std::errc{} || seen.ptr != seed.data() + seed.size())
    fields.fail("seed", "is no hexadecimal number of 64 bits");
  const Fields limits(fields.at("limits"), where + ": limits");
  if (!limits.at("sockets").is_number_unsigned() || limits.at("sockets").get<std::size_t>() < 64)
    limits.fail("sockets", "is no number of at least 64");
  read.max_descriptors = limits.at("sockets").get<std::size_t>();
  if (fields.has("peer_listen") && fields.has("peers")) {
    read.peer_listen = fields.address("peer_listen");
    for (const auto& peer : names_of(fields, fields.at("peers"), "peers")) {
      try {
        read.peers.push_back(net::Address::parse(peer));
      } catch (const net::Error& error) {
        fields.fail("peers", error.what());
      }
    }
    if (fields.has("peers_all")) read.all_peers = fields.address("peers_all");
  }
  const auto& nested = fields.at("settings");
  const Fields settings(nested, where + ": settings");
  std::string lines;
  try {
    flatten(nested, "", lines);
    read.settings = simulator::parse_settings(lines);
    read.default_retry = retry_of(fields, nested.at("family-info").at("default-retry").get<int>());
    const double quantum = nested.at("quantum-s").get<double>();
    if (!(quantum >= 0 && quantum < 60)) settings.fail("quantum-s", "is out of range");
    read.min_batch_interval = Nanos(std::llround(quantum * 1e9));
    read.gossip_enabled = !read.peers.empty() && nested.at("allowed").value("peers", false);
    read.load_columns = names_of(settings, nested.at("report").at("columns"), "report.columns");
  } catch (const simulator::ProtocolError& error) {
    throw config::ConfigError(where + ": " + error.what());
  } catch (const json::exception& error) {
    throw config::ConfigError(where + ": settings: " + error.what());
  }
  read.classes = names_of(settings, settings.at("classes"), "classes");
  read.zones = names_of(settings, settings.at("azs"), "azs");
  read.hardware_kinds = names_of(settings, settings.at("skus"), "skus");
  read.cached_endpoint_list = fields.at("known").dump();
  return read;
}

PlatformConfig read_platform_config(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw config::ConfigError(path + ": cannot be read");
  std::string text;
  char piece[16384];
  while (file.read(piece, sizeof(piece)) || file.gcount() > 0) {
    text.append(piece, static_cast<std::size_t>(file.gcount()));
    if (text.size() > kMostBytes) throw config::ConfigError(path + ": is larger than any configuration");
  }
  return parse_platform_config(text, path);
}

}  // namespace ospreypost::platform
