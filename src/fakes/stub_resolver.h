// Resolves SRV names as a plain proxy or a terminal does: by libc's stub resolver, from one server.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/socket.h"

namespace ospreypost::fakes {

struct Target {
  std::string name;  // its first label
  net::Address address;
  std::uint16_t priority = 0, weight = 0;
};

struct Resolved {
  enum class Kind { answer, nobody, failed } kind = Kind::failed;
  std::uint32_t lifetime = 1;  // seconds
  std::vector<Target> targets;
  bool replicas = false;  // they stand under the replicas' branch of the names
  std::uint64_t version = 0;
  double level = 1;
  std::string retry = "none";
};

// Asks once more after a second without an answer; by TCP if the answer, or an address in it, did not fit.
Resolved resolve(const net::Address& server, const std::string& name);

}  // namespace ospreypost::fakes
