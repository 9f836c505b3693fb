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

#include "policy/controller.h"

namespace ospreypost::platform {

// One line saying what is wrong with a message.
class MessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Whoever is at the other end of a connection.
enum class PeerRole { unidentified, collector, proxy };

// What a message may tell.
class MessageHandler {
 public:
  virtual ~MessageHandler() = default;
  virtual void on_liveness_request() = 0;
  virtual void on_proxy_hello(ProxyId proxy, ZoneId zone, double operations_per_second, bool fresh) = 0;
  virtual void on_collector_hello(ZoneId zone) = 0;
  virtual void on_replica_load_report(const ReplicaLoadReport& sum) = 0;
  virtual void on_demand_report(ProxyId proxy, const DemandReport& demand) = 0;
  virtual void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos took) = 0;
};

// The names that messages may use.
struct MessageNames {
  std::vector<std::string> classes, zones, load_columns;  // in the order of the settings
  std::size_t proxies = 0;
  std::function<std::optional<ReplicaId>(std::string_view)> find_replica;
};

// `from`: who sent it, and `proxy` which, if it is one. Throws Spoilt, and then nothing was told.
void parse_message(const std::vector<std::string_view>& words, const MessageNames& vocabulary, PeerRole from,
                   std::optional<ProxyId> proxy, MessageHandler& told);

// "inflight=7, queue=2, util=0.61" with '=' or ':' between, in the order of `columns`. Throws Spoilt.
std::vector<float> parse_load_columns(std::string_view text, char between,
                                      const std::vector<std::string>& columns);
// The body of a replica's load report; empty if it has none.
std::vector<float> parse_load_report(std::string_view body, const std::vector<std::string>& columns);

}  // namespace ospreypost::platform
