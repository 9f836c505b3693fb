#include "discovery/endpoint_file_source.h"

#include <sys/stat.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <exception>
#include <limits>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/config.h"
#include "discovery/endpoint_list.h"
#include "net/socket.h"
#include "net/threads.h"
#include "policy/types.h"

namespace ospreypost::discovery {
namespace {

using nlohmann::json;

// A file that is written twice within this time may have the same modification time after both writes.
constexpr Nanos kFileTimestampResolution = std::chrono::milliseconds(50);
constexpr std::size_t kMaxFileBytes = std::size_t{16} << 20;
constexpr std::size_t kMaxNameLength = 62;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxUnixSeconds = 9e9;

bool is_dns_label(const std::string& name) {
  const auto is_allowed = [](char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-';
  };
  return !name.empty() && name.size() <= kMaxNameLength && name.front() != '-' && name.back() != '-' &&
         std::all_of(name.begin(), name.end(), is_allowed);
}

std::string text_of(const json& entry, const char* key, const std::string& default_value) {
  const auto found = entry.find(key);
  if (found == entry.end()) return default_value;
  if (!found->is_string()) throw net::Error(std::string("the endpoint file's ") + key + " is not a string");
  return found->get<std::string>();
}

double number_of(const json& value, const std::string& description) {
  const double number = value.is_number() ? value.get<double>() : std::numeric_limits<double>::quiet_NaN();
  if (!std::isfinite(number)) throw net::Error(description + " is not a number");
  return number;
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool parse_draining(const json& entry, const std::string& error_prefix) {
  const auto phase = text_of(entry, "phase", "ready");
  if (phase != "ready" && phase != "draining") {
    throw net::Error(error_prefix + "unknown phase '" + phase + "'");
  }
  return phase == "draining";
}

double parse_weight(const json& entry, const std::string& error_prefix) {
  if (!entry.contains("weight")) return Endpoint{}.weight;
  const double weight = number_of(entry["weight"], error_prefix + "weight");
  if (weight <= 0 || weight > kMaxWeight)
    throw net::Error(error_prefix + "weight must be above 0 and at most 1000000");
  return weight;
}

std::optional<WallTime> parse_start(const json& entry, const std::string& error_prefix) {
  if (!entry.contains("started")) return std::nullopt;
  const double seconds = number_of(entry["started"], error_prefix + "started");
  if (seconds < 0 || seconds > kMaxUnixSeconds) throw net::Error(error_prefix + "started is out of range");
  return WallTime(std::chrono::microseconds(std::llround(seconds * 1e6)));
}

Endpoint parse_endpoint(const json& entry, const config::Config& config) {
  if (!entry.is_object()) throw net::Error("the endpoint file contains an entry that is not an object");
  Endpoint endpoint;
  endpoint.name = text_of(entry, "name", "");
  if (!is_dns_label(endpoint.name))
    throw net::Error("the endpoint file's name '" + endpoint.name + "' is not a valid label of a DNS name");
  const auto error_prefix = "the endpoint file's " + endpoint.name + ": ";
  endpoint.zone = text_of(entry, "zone", "");
  if (!contains(config.zones, endpoint.zone))
    throw net::Error(error_prefix + "unknown zone '" + endpoint.zone + "'");
  endpoint.kind = text_of(entry, "kind", config.kinds.empty() ? "" : config.kinds.front());
  if (!config.kinds.empty() && !contains(config.kinds, endpoint.kind))
    throw net::Error(error_prefix + "unknown kind '" + endpoint.kind + "'");
  endpoint.cell = text_of(entry, "cell", endpoint.zone);
  endpoint.address = net::Address::parse(text_of(entry, "address", ""));
  endpoint.draining = parse_draining(entry, error_prefix);
  endpoint.weight = parse_weight(entry, error_prefix);
  endpoint.started = parse_start(entry, error_prefix);
  return endpoint;
}

WallTime modification_time(const struct stat& status) {
  return WallTime(std::chrono::seconds(status.st_mtim.tv_sec) + Nanos(status.st_mtim.tv_nsec));
}

}  // namespace

std::vector<Endpoint> parse_endpoint_file(std::string_view text, const config::Config& config) {
  if (text.size() > kMaxFileBytes) throw net::Error("the endpoint file is longer than 16 MiB");
  const auto document = json::parse(text, nullptr, false);
  if (document.is_discarded()) throw net::Error("the endpoint file is no JSON, or is incomplete");
  const auto entries = document.is_object() ? document.find("backends") : document.end();
  if (!document.is_object() || entries == document.end() || !entries->is_array())
    throw net::Error("the endpoint file has no array 'backends'");
  std::vector<Endpoint> endpoints;
  for (const auto& entry : *entries) endpoints.push_back(parse_endpoint(entry, config));
  return endpoints;
}

EndpointFileSource::EndpointFileSource(const config::Config& config, EndpointSourceListener& listener,
                                       Clock clock)
    : config_(config), listener_(listener), clock_(std::move(clock)) {
  thread_ = net::Thread("roll", [this] { run(); });
}

void EndpointFileSource::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  thread_.join();
}

void EndpointFileSource::run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    poll();
    lock.lock();
    stop_requested_.wait_for(lock, config_.roll.every, [this] { return stopping_; });
  }
}

void EndpointFileSource::poll() {
  try {
    read_if_changed();
  } catch (const std::exception& error) {
    // The next poll reads the file again, as the file may be only half-written now. An error that repeats the
    // last error is not reported again.
    if (last_error_ != error.what()) listener_.on_endpoint_list_unreadable(error.what());
    last_error_ = error.what();
  }
}

void EndpointFileSource::read_if_changed() {
  struct stat status {};
  if (::stat(config_.roll.path.c_str(), &status) != 0)
    throw net::Error("the endpoint file does not exist or cannot be accessed");
  const FileStamp stamp{status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size, status.st_ino};
  if (stamp == last_stamp_ && !refresh_requested_.exchange(false)) return;
  const auto read_at = clock_();
  const auto wall_time = std::chrono::time_point_cast<Nanos>(std::chrono::system_clock::now());
  auto endpoints = parse_endpoint_file(config::read_file(config_.roll.path), config_);
  const auto changes = list_.update(read_at, wall_time, std::move(endpoints));
  const bool settled = wall_time - modification_time(status) > kFileTimestampResolution;
  last_stamp_ = settled ? stamp : FileStamp{};
  last_error_.clear();
  if (changes.is_first_list || !changes.changes.empty()) listener_.on_endpoint_list_changed(changes);
}

}  // namespace ospreypost::discovery
