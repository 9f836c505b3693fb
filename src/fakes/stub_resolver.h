// Resolves SRV names with the stub resolver of libc from one server, as plain proxies and clients do.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/socket.h"

namespace ospreypost::fakes {

struct Target {
  std::string name;  // first label of the host name
  net::Address address;
  std::uint16_t priority = 0, weight = 0;
};

struct Resolved {
  enum class Kind { answer, no_endpoints, failed } kind = Kind::failed;
  std::uint32_t lifetime = 1;  // TTL in seconds
  std::vector<Target> targets;
  bool replicas = false;  // the targets are replicas: their names are below "replicas"
  std::uint64_t version = 0;
  double level = 1;  // admitted fraction of the operations
  std::string retry = "none";
};

// Sends the query a second time if there is no answer within 1 s. Repeats it over TCP if the answer, or the
// address of a target, didn't fit into a UDP message.
Resolved resolve(const net::Address& server, const std::string& name);

}  // namespace ospreypost::fakes
