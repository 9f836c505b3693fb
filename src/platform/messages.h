/// Parses and validates the messages that proxies and collectors send on their streams, and converts them
/// into the controller's types. No I/O. A message with any error is rejected as a whole, with a reason; the
/// messages before and after it remain valid.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::platform {

/// Thrown for a message that is rejected; `what()` is one line with the reason.
class MessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Role of the peer on a connection. The peer is unidentified until its first `hello` (proxy) or `agent`
/// (collector) message.
enum class PeerRole { unidentified, collector, proxy };

/// The role of a message's sender and, for a proxy, its id.
struct MessageSender {
  PeerRole role = PeerRole::unidentified;
  std::optional<ProxyId> proxy;  ///< id of the proxy; empty unless the role is `proxy`
};

/// Receives the content of parsed messages, with one call for each message.
class MessageHandler {
 public:
  virtual ~MessageHandler() = default;
  /// The sender requests an immediate answer (`probe`).
  virtual void on_liveness_request() = 0;
  /// The sender is this proxy, in that zone. `newly_added`: the proxy has no routing tables yet.
  virtual void on_proxy_hello(ProxyId proxy, ZoneId zone, double requests_per_second, bool newly_added) = 0;
  /// The sender is a collector, which forwards the load reports of all proxies in that zone.
  virtual void on_collector_hello(ZoneId zone) = 0;
  /// A load report arrived: outcomes and latencies that one zone's proxies measured at one replica.
  virtual void on_replica_load_report(const ReplicaLoadReport& report) = 0;
  /// A demand report arrived: how many requests of one class arrived at the proxy and how many failed.
  virtual void on_demand_report(ProxyId proxy, const DemandReport& report) = 0;
  /// The proxy acknowledges a table update. `nonce`: nonce of the acknowledgement request. `elapsed`: time
  /// since the request was sent, by the proxy's clock.
  virtual void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos elapsed) = 0;
};

/// The names that messages may contain, for the conversion into ids.
struct MessageNames {
  std::vector<std::string> classes;       ///< request class names, in the order of the settings
  std::vector<std::string> zones;         ///< zone names, in the order of the settings
  std::vector<std::string> load_columns;  ///< load report columns, in the order of the settings
  std::size_t proxies = 0;                ///< number of proxies; their ids are 0 to `proxies` - 1
  /// Returns the id of the replica with this name; empty if the name is unknown.
  std::function<std::optional<ReplicaId>(std::string_view)> find_replica;
};

/// Parses one message and calls the matching method of the handler. `words` must not be empty.
/// Throws `MessageError` if the message is rejected; the handler is not called then.
/// Exceptions of the handler are propagated.
void parse_message(const std::vector<std::string_view>& words, const MessageNames& names,
                   const MessageSender& sender, MessageHandler& handler);

/// Parses a list such as "inflight=7, queue=2, util=0.61" and returns the values in the order of `columns`.
/// `separator`: the character between name and value. Throws `MessageError` if the list contains an unknown
/// column, lacks a column of `columns`, or has a value that is out of range.
std::vector<float> parse_load_columns(std::string_view text, char separator,
                                      const std::vector<std::string>& columns);
/// Parses the load report in the body of a replica's answer to a health check, and returns the values in the
/// order of `columns`; empty if the body contains no load report.
/// Throws `MessageError` in the same cases as `parse_load_columns`.
std::vector<float> parse_load_report(std::string_view body, const std::vector<std::string>& columns);

}  // namespace ospreypost::platform
