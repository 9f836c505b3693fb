// What a governor is told at its start: the module's settings, and those of the program round it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/xml.h"
#include "dns/client_ttl_policy.h"
#include "net/socket.h"
#include "policy/controller.h"

namespace ospreypost::config {

struct ProxyEntry {
  std::string name;
  ZoneId zone{};
  double usual_rate = 0;                 // operations a second
  std::optional<net::Address> entry;     // where it takes operations of others, if it does
  bool vouched = false;                  // asks the governor without a cache between
  std::string folder;                    // pushed to: a folder on this host, or
  std::optional<net::Address> receiver;  // a receiver; neither: it asks DNS
  bool is_pushed_to() const { return !folder.empty() || receiver; }
};

struct Proxies {
  std::vector<ProxyEntry> known;  // a proxy's number is its position
  Nanos silence{};
};

struct Reports {
  net::Address listen;
  std::string probe_path;
  Nanos probe_timeout{};
  std::size_t most_bytes = 0;  // of one request
  Nanos oldest{};              // that a span may have ended
};

struct EndpointFileSource {
  std::string path;
  Nanos every{};  // looked at
};

struct DnsFront {
  net::Address listen;
  std::string apex, server_name;  // each with its closing dot
  std::chrono::seconds max_ttl{};
  Nanos flight{};
  std::size_t threads = 1;
  std::size_t max_udp_bytes = 1232;
  std::size_t max_connections = 64;
  double answers_per_second = 0;  // by UDP to one address
};

struct FilesFront {
  bool envoy = true;  // else an upstream list
  std::size_t threads = 8;
  Nanos patience{std::chrono::seconds(1)};  // with one push
  Nanos renew{std::chrono::seconds(1)};     // between signs of life
  Nanos lease{std::chrono::seconds(5)};     // of a table, without one
  std::size_t keep = 5;                     // generations
  bool reader_confirms = true;
};

struct Record {
  bool keep = true;
  std::string folder;
  std::uint64_t most_bytes = std::uint64_t{1} << 30, file_bytes = std::uint64_t{64} << 20;
  Nanos file_age = std::chrono::hours(1);
};

struct Logging {
  bool json = false;
  std::string level = "info";
  std::string path;  // empty: standard error
};

struct Config {
  std::string name;
  std::uint64_t seed = 1;
  Settings settings;
  std::vector<std::string> zones, kinds, classes;  // by id
  Proxies proxies;
  Reports reports;
  EndpointFileSource roll;
  DnsFront dns;
  FilesFront files;
  Record record;
  Logging logging;
  std::string text;  // that it was read from
};

// As the module is to have them, in the program.
Settings module_settings(const Config& config);

// By which clients of DNS are held to the grace.
dns::ClientTtlLimits client_limits(const Config& config);

// As written in configurations, reports and probes' answers.
const char* name_of(LoadMetric column);

// Throws Faulty.
Config parse_config(std::string_view text, const std::string& label);
Config read_config(const std::string& path);

// By its name; empty if there is none.
std::optional<ProxyId> find_proxy(const Config& config, std::string_view name);

}  // namespace ospreypost::config
