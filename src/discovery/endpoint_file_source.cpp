#include "discovery/endpoint_file_source.h"

#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace ospreypost::discovery {
namespace {

using nlohmann::json;

constexpr Nanos kSettled = std::chrono::milliseconds(50);
constexpr std::size_t kMostBytes = std::size_t{16} << 20;

bool is_label(const std::string& name) {
  const auto fits = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
  return !name.empty() && name.size() <= 62 && name.front() != '-' && name.back() != '-' &&
         std::all_of(name.begin(), name.end(), fits);
}

std::string text_of(const json& entry, const char* key, const std::string& otherwise) {
  const auto at = entry.find(key);
  if (at == entry.end()) return otherwise;
  if (!at->is_string()) throw net::Error(std::string("the roll's ") + key + " is no text");
  return at->get<std::string>();
}

double number_of(const json& value, const std::string& what) {
  const double number = value.is_number() ? value.get<double>() : NAN;
  if (!std::isfinite(number)) throw net::Error(what + " is no number");
  return number;
}

bool known(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

discovery::Endpoint backend_of(const json& entry, const config::Config& config) {
  if (!entry.is_object()) throw net::Error("the roll holds an entry that is no object");
  discovery::Endpoint backend;
  backend.name = text_of(entry, "name", "");
  if (!is_label(backend.name))
    throw net::Error("the roll's name '" + backend.name + "' is no label of a DNS name");
  const auto whose = "the roll's " + backend.name + ": ";
  backend.zone = text_of(entry, "zone", "");
  if (!known(config.zones, backend.zone)) throw net::Error(whose + "unknown zone '" + backend.zone + "'");
  backend.kind = text_of(entry, "kind", config.kinds.empty() ? "" : config.kinds.front());
  if (!config.kinds.empty() && !known(config.kinds, backend.kind))
    throw net::Error(whose + "unknown kind '" + backend.kind + "'");
  backend.cell = text_of(entry, "cell", backend.zone);
  backend.address = net::Address::parse(text_of(entry, "address", ""));
  const auto phase = text_of(entry, "phase", "ready");
  if (phase != "ready" && phase != "draining") throw net::Error(whose + "unknown phase '" + phase + "'");
  backend.draining = phase == "draining";
  if (entry.contains("weight")) backend.weight = number_of(entry["weight"], whose + "weight");
  if (backend.weight <= 0 || backend.weight > 1e6) throw net::Error(whose + "weight must be above 0");
  if (entry.contains("started")) {
    const double started = number_of(entry["started"], whose + "started");
    if (started < 0 || started > 9e9) throw net::Error(whose + "started is out of range");
    backend.started = discovery::WallTime(Nanos(std::llround(started * 1e6) * 1000));
  }
  return backend;
}

}  // namespace

std::vector<discovery::Endpoint> parse_endpoint_file(std::string_view text, const config::Config& config) {
  if (text.size() > kMostBytes) throw net::Error("the roll is longer than 16 MiB");
  const auto roll = json::parse(text, nullptr, false);
  if (roll.is_discarded()) throw net::Error("the roll is no JSON, or only half of one");
  const auto backends = roll.is_object() ? roll.find("backends") : roll.end();
  if (!roll.is_object() || backends == roll.end() || !backends->is_array())
    throw net::Error("the roll has no list of backends");
  std::vector<discovery::Endpoint> found;
  for (const auto& entry : *backends) found.push_back(backend_of(entry, config));
  return found;
}

EndpointFileSource::EndpointFileSource(const config::Config& config, EndpointSourceListener& sink,
                                       Clock clock)
    : config_(config), sink_(sink), clock_(std::move(clock)) {
  thread_ = net::Thread("roll", [this] { watch(); });
}

void EndpointFileSource::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  stopped_.notify_all();
  thread_.join();
}

void EndpointFileSource::watch() {
  std::unique_lock held(lock_);
  while (!stopping_) {
    held.unlock();
    read();
    held.lock();
    stopped_.wait_for(held, config_.roll.every, [this] { return stopping_; });
  }
}

void EndpointFileSource::read() {
  try {
    struct stat found {};
    if (::stat(config_.roll.path.c_str(), &found) != 0) throw net::Error("the roll is not there");
    const Mark mark{found.st_mtim.tv_sec, found.st_mtim.tv_nsec, found.st_size, found.st_ino};
    if (mark == last_ && !again_.exchange(false)) return;
    const auto read = clock_();
    const auto wall = std::chrono::time_point_cast<Nanos>(std::chrono::system_clock::now());
    const auto taken =
        roll_.update(read, wall, parse_endpoint_file(config::read_file(config_.roll.path), config_));
    // A file that was written a moment ago may be written again within one tick of the file system's clock.
    const bool settled =
        wall.time_since_epoch() - Nanos(found.st_mtim.tv_sec * 1'000'000'000 + found.st_mtim.tv_nsec) >
        kSettled;
    last_ = settled ? mark : Mark{};
    last_fault_.clear();
    if (taken.is_first_list || !taken.changes.empty()) sink_.on_endpoint_list_changed(taken);
  } catch (const std::exception& error) {
    // Tried again at the next look, as it may be half-written now; complained of once.
    if (last_fault_ != error.what()) sink_.on_endpoint_list_unreadable(error.what());
    last_fault_ = error.what();
  }
}

}  // namespace ospreypost::discovery
