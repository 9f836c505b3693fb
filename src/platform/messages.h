/// The messages that peers send on their streams, checked and translated into the controller's types. No I/O.
/// A message with any fault is rejected as a whole, with its reason; the messages around it stand.
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

/// One line that says what is wrong with a message.
class MessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// What is at the other end of a connection; unidentified until its first `hello` or `agent`.
enum class PeerRole { unidentified, collector, proxy };

/// Who sent a message.
struct MessageSender {
  PeerRole role = PeerRole::unidentified;
  std::optional<ProxyId> proxy;  ///< present for proxies only
};

/// Receives what a message says, one call for each message.
class MessageHandler {
 public:
  virtual ~MessageHandler() = default;
  /// The sender is to get an answer at once.
  virtual void on_liveness_request() = 0;
  /// `newly_added`: the proxy holds no tables yet.
  virtual void on_proxy_hello(ProxyId proxy, ZoneId zone, double requests_per_second, bool newly_added) = 0;
  /// The sender collects the reports of the proxies in that zone.
  virtual void on_collector_hello(ZoneId zone) = 0;
  /// What the proxies of one zone measured at one replica.
  virtual void on_replica_load_report(const ReplicaLoadReport& report) = 0;
  /// The requests that arrived at the proxy.
  virtual void on_demand_report(ProxyId proxy, const DemandReport& report) = 0;
  /// `nonce`: of the request that is answered; `elapsed`: since that was sent, by the proxy's clock.
  virtual void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos elapsed) = 0;
};

/// The names that messages may use, by which they become ids.
struct MessageNames {
  std::vector<std::string> classes;       ///< in the order of the settings
  std::vector<std::string> zones;         ///< in the order of the settings
  std::vector<std::string> load_columns;  ///< in the order of the settings
  std::size_t proxies = 0;                ///< the number of proxies, whose ids are 0 up to it
  std::function<std::optional<ReplicaId>(std::string_view)> find_replica;
};

/// Checks one message, which has at least one word, and calls the handler. Throws `MessageError` before any
/// call; what the handler throws passes through.
void parse_message(const std::vector<std::string_view>& words, const MessageNames& names,
                   const MessageSender& sender, MessageHandler& handler);

/// The values of a list such as "inflight=7, queue=2, util=0.61", in the order of `columns`; `separator`
/// stands between name and value. Throws `MessageError` where a column is unknown, missing or out of range.
std::vector<float> parse_load_columns(std::string_view text, char separator,
                                      const std::vector<std::string>& columns);
/// The values in the body of a replica's answer to a health check, in the order of `columns`; empty if it
/// holds no load report. Throws `MessageError` like `parse_load_columns`.
std::vector<float> parse_load_report(std::string_view body, const std::vector<std::string>& columns);

}  // namespace ospreypost::platform
