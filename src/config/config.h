// Configuration of a control plane instance: the settings of the policy module, and those of the program
// around it.
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
  double usual_rate = 0;              // requests per second
  std::optional<net::Address> entry;  // address for requests that other proxies forward; empty: accepts none
  bool vouched = false;               // queries the control plane instance without a DNS cache in between
  std::string folder;                 // folder on this host that tables are pushed to
  std::optional<net::Address>
      receiver;  // receiver that tables are pushed to; with neither, the proxy uses DNS
  bool is_pushed_to() const { return !folder.empty() || receiver; }
};

struct Proxies {
  std::vector<ProxyEntry> known;  // indexed by ProxyId
  Nanos silence{};
};

struct Reports {
  net::Address listen;
  std::string probe_path;
  Nanos probe_timeout{};
  std::size_t most_bytes = 0;  // maximum size of the body of a request
  Nanos oldest{};              // maximum age of the end of a span that is accepted
};

struct EndpointFileSource {
  std::string path;
  Nanos every{};  // interval between two reads of the file
};

struct DnsFront {
  net::Address listen;
  std::string apex, server_name;  // absolute names, with the dot at the end
  std::chrono::seconds max_ttl{};
  Nanos flight{};
  std::size_t threads = 1;
  std::size_t max_udp_bytes = 1232;
  std::size_t max_connections = 64;
  double answers_per_second = 0;  // limit of UDP responses to one address
};

struct FilesFront {
  bool envoy = true;  // false: an nginx upstream block
  std::size_t threads = 8;
  Nanos patience{std::chrono::seconds(1)};  // time limit of a push
  Nanos renew{std::chrono::seconds(1)};     // interval between lease renewals
  Nanos lease{std::chrono::seconds(5)};     // time without a renewal after which tables are stale
  std::size_t keep = 5;                     // number of generations kept in the folder
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
  std::string text;  // XML that the configuration was read from
};

// Returns the settings for the policy module as the program runs it.
Settings module_settings(const Config& config);

// Returns the limits from which DNS TTLs are derived, so that clients keep to the drain grace.
dns::ClientTtlLimits client_limits(const Config& config);

// Returns the name used in configurations, reports and health check responses.
const char* name_of(LoadMetric metric);

// Throws ConfigError. `label` names the source in messages.
Config parse_config(std::string_view text, const std::string& label);
Config read_config(const std::string& path);

// Returns the proxy of a name; empty if there is none.
std::optional<ProxyId> find_proxy(const Config& config, std::string_view name);

}  // namespace ospreypost::config
