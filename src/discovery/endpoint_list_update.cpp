#include "discovery/endpoint_list_update.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "json/untrusted_json.h"
#include "net/socket.h"
#include "policy/types.h"

namespace ospreypost::discovery {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 200;
constexpr double kMaxCell = 4e9;
constexpr double kMaxWeight = 1e9;
constexpr double kMaxUnixMilliseconds = 9e12;
constexpr double kNanosPerMillisecond = 1e6;

std::string text_at(const json& entry, const char* key) {
  const auto found = entry.find(key);
  if (found == entry.end() || !found->is_string()) throw net::Error(std::string(key) + " is not a string");
  return found->get<std::string>();
}

// Returns the number under `key`. Throws `net::Error` unless the number is from 0 to `max`.
double number_at(const json& entry, const char* key, double max) {
  const auto found = entry.find(key);
  if (found == entry.end() || !found->is_number()) throw net::Error(std::string(key) + " is not a number");
  const double number = found->get<double>();
  // NaN is out of range, as both comparisons are false for NaN.
  const bool in_range = number >= 0 && number <= max;
  if (!in_range) throw net::Error(std::string(key) + " is out of range");
  return number;
}

EndpointPhase parse_phase(const std::string& text) {
  if (text == "SERVING") return EndpointPhase::ready;
  if (text == "DRAINING") return EndpointPhase::draining;
  if (text == "DELETED") return EndpointPhase::gone;
  throw net::Error("unknown phase");
}

EndpointEntry parse_entry(const json& fields) {
  if (!fields.is_object()) throw net::Error("an entry is not an object");
  EndpointEntry entry;
  entry.name = text_at(fields, "id");
  if (entry.name.empty() || entry.name.size() > kMaxNameLength) throw net::Error("id is empty or too long");
  entry.phase = parse_phase(text_at(fields, "phase"));
  if (entry.phase == EndpointPhase::gone) return entry;
  entry.address = net::Address::parse(text_at(fields, "host_port"));
  entry.zone = text_at(fields, "locality");
  entry.kind = text_at(fields, "flavor");
  entry.cell = static_cast<std::uint32_t>(number_at(fields, "cell", kMaxCell));
  entry.weight = number_at(fields, "size", kMaxWeight);
  const double started = number_at(fields, "up_since_ms", kMaxUnixMilliseconds);
  if (started > 0) entry.started = Nanos(std::llround(started * kNanosPerMillisecond));
  return entry;
}

json parse_document(std::string_view text) {
  json document = json_input::parse_untrusted(text);
  if (document.is_discarded()) throw net::Error("the list is no JSON, or has too many small values");
  if (!document.is_object()) throw net::Error("the list is not an object");
  return document;
}

std::uint64_t parse_revision(const json& document) {
  const auto revision = document.find("revision");
  if (revision == document.end() || !revision->is_number_unsigned())
    throw net::Error("revision is not an unsigned number");
  return revision->get<std::uint64_t>();
}

bool parse_complete(const json& document) {
  const auto complete = document.find("complete");
  if (complete == document.end() || !complete->is_boolean())
    throw net::Error("complete is neither true nor false");
  return complete->get<bool>();
}

void reject(const json& fields, EndpointListUpdate& update) {
  update.rejected += 1;
  if (!fields.is_object()) return;
  const auto name = fields.find("id");
  if (name != fields.end() && name->is_string()) update.rejected_names.push_back(name->get<std::string>());
}

void parse_entries(const json& document, EndpointListUpdate& update) {
  const auto entries = document.find("members");
  if (entries == document.end() || !entries->is_array()) throw net::Error("members is not an array");
  std::set<std::string> names;
  for (const auto& fields : *entries) {
    try {
      auto entry = parse_entry(fields);
      if (!names.insert(entry.name).second) throw net::Error("an endpoint is listed twice");
      update.entries.push_back(std::move(entry));
    } catch (const net::Error&) {
      reject(fields, update);
    }
  }
}

}  // namespace

EndpointListUpdate parse_endpoint_list_update(std::string_view text) {
  const json document = parse_document(text);
  EndpointListUpdate update;
  update.revision = parse_revision(document);
  update.complete = parse_complete(document);
  parse_entries(document, update);
  return update;
}

}  // namespace ospreypost::discovery
