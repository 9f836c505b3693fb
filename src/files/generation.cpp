#include "files/generation.h"

#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "json/untrusted_json.h"
#include "net/socket.h"

namespace ospreypost::files {
namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t kMaxBytes = std::size_t{16} << 20, kMaxFiles = 64;

json body_of(const Generation& generation) {
  return {{"epoch", generation.stamp.epoch}, {"version", generation.stamp.version},
          {"owner", generation.owner},       {"lines", generation.lines},
          {"lease_ms", generation.lease_ms}, {"names", generation.names},
          {"out", generation.excluded},      {"files", generation.files}};
}

std::string checksum_of(const json& body) {
  const auto text = body.dump();
  char hex[20];
  std::snprintf(hex, sizeof(hex), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return hex;
}

// Returns true if the name cannot refer to a path outside the folder.
bool is_plain_name(const std::string& name) {
  const auto stem = name.substr(0, name.rfind('.'));
  const bool ends = name.ends_with(".json") || name.ends_with(".conf");
  return ends && !stem.empty() && name.size() <= 100 && name != "manifest.json" &&
         std::all_of(stem.begin(), stem.end(), [](unsigned char letter) {
           return std::isalnum(letter) || letter == '-' || letter == '_';
         });
}

template <typename Value>
Value read_field(const json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end()) throw net::Error(std::string("the generation has no ") + key);
  try {
    return found->get<Value>();
  } catch (const nlohmann::json::exception&) {
    throw net::Error(std::string("the generation's ") + key + " has the wrong JSON type");
  }
}

std::uint64_t read_count(const json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end() || !found->is_number_unsigned())
    throw net::Error(std::string("the generation's ") + key + " is not an unsigned integer");
  return found->get<std::uint64_t>();
}

}  // namespace

std::string write_generation(const Generation& generation) {
  auto body = body_of(generation);
  body["checksum"] = checksum_of(body_of(generation));
  return body.dump();
}

Generation read_generation(std::string_view text) {
  if (text.size() > kMaxBytes) throw net::Error("the generation is longer than 16 MiB");
  const auto body = json_input::parse_untrusted<json>(text);
  if (!body.is_object()) throw net::Error("the generation is truncated, or no JSON object");
  Generation generation;
  generation.stamp = {read_count(body, "epoch"), read_count(body, "version")};
  generation.owner = read_field<std::string>(body, "owner");
  generation.lines = read_count(body, "lines");
  generation.lease_ms = read_count(body, "lease_ms");
  generation.names = read_field<std::vector<std::string>>(body, "names");
  generation.excluded = read_field<std::vector<std::string>>(body, "out");
  generation.files = read_field<std::map<std::string, std::string>>(body, "files");
  if (generation.files.size() > kMaxFiles) throw net::Error("the generation has more than 64 files");
  for (const auto& [name, content] : generation.files) {
    if (!is_plain_name(name)) throw net::Error("the generation's file '" + name + "' is not a plain name");
  }
  std::string expected;
  try {
    expected = checksum_of(body_of(generation));
  } catch (const nlohmann::json::exception&) {
    throw net::Error("the generation contains text that is not UTF-8");
  }
  if (read_field<std::string>(body, "checksum") != expected)
    throw net::Error("the generation's checksum does not match its contents");
  return generation;
}

}  // namespace ospreypost::files
