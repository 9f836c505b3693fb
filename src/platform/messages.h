// The platform's words, checked into the module's types. Pure. A message that is spoilt is refused whole,
// with its reason; the messages around it stand.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "rules.h"

namespace ospreypost::platform {

// One line saying what is wrong with a message.
class Spoilt : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Whoever is at the other end of a connection.
enum class Party { stranger, collector, proxy };

// What a message may tell.
class Told {
 public:
  virtual ~Told() = default;
  virtual void asked_for_life() = 0;
  virtual void proxy_said_hello(ProxyId proxy, ZoneId zone, double operations_per_second, bool fresh) = 0;
  virtual void collector_said_hello(ZoneId zone) = 0;
  virtual void replica_summed(const ReplicaSum& sum) = 0;
  virtual void demand_summed(ProxyId proxy, const Demand& demand) = 0;
  virtual void mark_answered(ProxyId proxy, std::uint64_t nonce, Nanos took) = 0;
};

// The names that messages may use.
struct Vocabulary {
  std::vector<std::string> classes, zones, load_columns;  // in the order of the settings
  std::size_t proxies = 0;
  std::function<std::optional<ReplicaId>(std::string_view)> replica_of;
};

// `from`: who sent it, and `proxy` which, if it is one. Throws Spoilt, and then nothing was told.
void read_message(const std::vector<std::string_view>& words, const Vocabulary& vocabulary, Party from,
                  std::optional<ProxyId> proxy, Told& told);

// "inflight=7, queue=2, util=0.61" with '=' or ':' between, in the order of `columns`. Throws Spoilt.
std::vector<float> read_columns(std::string_view text, char between, const std::vector<std::string>& columns);
// The body of a replica's load report; empty if it has none.
std::vector<float> read_report(std::string_view body, const std::vector<std::string>& columns);

}  // namespace ospreypost::platform
