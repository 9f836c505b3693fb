#include "files/generation.h"

#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "net/socket.h"

namespace ospreypost::files {
namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t kMostBytes = std::size_t{16} << 20, kMostFiles = 64;

json body_of(const Generation& generation) {
  return {{"epoch", generation.stamp.epoch}, {"version", generation.stamp.version},
          {"owner", generation.owner},       {"lines", generation.lines},
          {"lease_ms", generation.lease_ms}, {"names", generation.names},
          {"out", generation.out},           {"files", generation.files}};
}

std::string checksum_of(const json& body) {
  const auto text = body.dump();
  char hex[20];
  std::snprintf(hex, sizeof(hex), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return hex;
}

// Nothing that a file system could take for a way elsewhere.
bool is_plain_name(const std::string& name) {
  const auto stem = name.substr(0, name.rfind('.'));
  const bool ends = name.ends_with(".json") || name.ends_with(".conf");
  return ends && !stem.empty() && name.size() <= 100 && name != "manifest.json" &&
         std::all_of(stem.begin(), stem.end(),
                     [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
}

template <typename Value>
Value take(const json& body, const char* key) {
  const auto at = body.find(key);
  if (at == body.end()) throw net::Error(std::string("the generation has no ") + key);
  try {
    return at->get<Value>();
  } catch (const nlohmann::json::exception&) {
    throw net::Error(std::string("the generation's ") + key + " is of another kind");
  }
}

std::uint64_t count(const json& body, const char* key) {
  const auto at = body.find(key);
  if (at == body.end() || !at->is_number_unsigned())
    throw net::Error(std::string("the generation's ") + key + " is no count");
  return at->get<std::uint64_t>();
}

}  // namespace

std::string write_generation(const Generation& generation) {
  auto body = body_of(generation);
  body["checksum"] = checksum_of(body_of(generation));
  return body.dump();
}

Generation read_generation(std::string_view text) {
  if (text.size() > kMostBytes) throw net::Error("the generation is longer than 16 MiB");
  const auto body = json::parse(text, nullptr, false);
  if (!body.is_object()) throw net::Error("the generation is truncated, or no JSON object");
  Generation generation;
  generation.stamp = {count(body, "epoch"), count(body, "version")};
  generation.owner = take<std::string>(body, "owner");
  generation.lines = count(body, "lines");
  generation.lease_ms = count(body, "lease_ms");
  generation.names = take<std::vector<std::string>>(body, "names");
  generation.out = take<std::vector<std::string>>(body, "out");
  generation.files = take<std::map<std::string, std::string>>(body, "files");
  if (generation.files.size() > kMostFiles) throw net::Error("the generation has more than 64 files");
  for (const auto& [name, content] : generation.files) {
    if (!is_plain_name(name)) throw net::Error("the generation's file '" + name + "' is no plain name");
  }
  std::string expected;
  try {
    expected = checksum_of(body_of(generation));
  } catch (const nlohmann::json::exception&) {
    throw net::Error("the generation holds text that is no UTF-8");
  }
  if (take<std::string>(body, "checksum") != expected)
    throw net::Error("the generation's checksum does not fit");
  return generation;
}

}  // namespace ospreypost::files
