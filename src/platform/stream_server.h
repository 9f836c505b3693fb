/// Server for the connections of proxies, collectors and peers that have not yet identified themselves. One
/// thread serves all connections with non-blocking I/O.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/poller.h"
#include "net/socket.h"
#include "net/threads.h"
#include "platform/messages.h"
#include "policy/controller.h"
#include "resp/resp.h"

namespace ospreypost::platform {

/// Receives the events of the streams, and supplies the messages to be written on them. Called from the
/// server's thread without a lock held.
class StreamEventHandler {
 public:
  virtual ~StreamEventHandler() = default;
  /// A proxy has identified itself on a stream. `newly_added`: the proxy has no routing tables yet.
  virtual void on_proxy_joined(ProxyId proxy, ZoneId zone, double requests_per_second, bool newly_added) = 0;
  /// The proxy's stream ended, and the proxy has no newer stream.
  virtual void on_proxy_left(ProxyId proxy) = 0;
  /// A report or an acknowledgement arrived. The arguments are those of the same methods of `MessageHandler`.
  virtual void on_replica_load_report(const ReplicaLoadReport& report) = 0;
  virtual void on_demand_report(ProxyId proxy, const DemandReport& report) = 0;
  virtual void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos elapsed) = 0;
  /// Returns the proxies that may have a pending message.
  virtual std::vector<ProxyId> due_proxies() = 0;
  /// Returns the bytes to write to a proxy, which count as sent from then on; empty if no message is pending.
  virtual std::string next_message(ProxyId proxy) = 0;
  /// Logs an error that a peer caused.
  virtual void log_peer_error(const std::string& what) = 0;
};

/// Accepts connections, dispatches the received messages, and writes the pending messages.
class StreamServer {
 public:
  struct Limits {
    /// Maximum number of open connections; at the maximum, the oldest connection that has not identified
    /// itself is closed in favour of a new one, or else that of the collector which has been silent longest.
    std::size_t max_connections = 0;
    /// Time of silence after which a collector's connection may be closed for that. A collector reports every
    /// few seconds, and a machine that vanishes leaves its connection open.
    net::Steady::duration min_collector_silence = std::chrono::seconds(5);
    /// Maximum size of a message that a peer sends. Each connection holds up to twice as much of an
    /// unfinished one.
    std::size_t max_message_bytes = std::size_t{64} << 10;
  };
  /// Starts serving on `listen`. Throws `net::Error` if the address cannot be bound.
  StreamServer(const net::Address& listen, const Limits& limits, MessageNames names,
               StreamEventHandler& handler);
  ~StreamServer() { stop(); }
  /// Returns the address where peers connect, with the port that the system chose if `listen` had port 0.
  net::Address address() const { return net::local_address(listener_); }
  /// Makes the server's thread ask the handler for pending messages. Thread-safe.
  void wake() { poller_.wake(); }
  /// Joins the server's thread; the handler is not called afterwards.
  void stop();

 private:
  struct Connection {
    std::uint64_t key = 0;  // sequence number in the order of acceptance, from 1
    net::Socket socket;
    resp::MessageReader reader;
    MessageSender peer;
    net::Deadline accepted_at;
    net::Deadline last_received_at;
    // Bytes that the socket has not accepted yet. For a proxy, they contain at most the result of one
    // `next_message` call and the answers to liveness requests.
    std::string unsent;
    std::size_t unsent_answers = 0;  // answers to liveness requests since `unsent` was last empty
    bool has_write_interest = false;
  };
  class ConnectionMessageHandler;

  void run();
  void run_once();
  void resume_accepting_if_due();
  void on_ready(const net::Poller::Ready& event);

  void accept_connections();
  void pause_accepting();
  void add_connection(net::Socket socket);
  void close_least_needed();
  void close_oldest_unidentified();
  void close_longest_silent_collector();
  void close_overdue_connections();
  bool is_still_unidentified(std::uint64_t key);

  void on_readable(Connection& connection);
  void read_messages(Connection& connection);
  bool dispatch_message(Connection& connection);
  void reject(Connection& connection, const std::string& reason);
  void close_connection(std::uint64_t key);

  void write_due_messages();
  bool write(Connection& connection, std::string_view bytes);

  const Limits limits_;
  const MessageNames names_;
  StreamEventHandler& handler_;
  net::Socket listener_;
  net::Poller poller_;
  std::map<std::uint64_t, Connection> connections_;
  std::set<std::uint64_t> unidentified_;            // connection keys, oldest first
  std::map<ProxyId, std::uint64_t> proxy_streams_;  // connection key of each proxy's stream
  std::uint64_t last_key_ = 0;
  // Time at which accepting resumes; empty unless accepting is paused.
  std::optional<net::Deadline> resume_accepting_at_;
  std::atomic<bool> stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::platform
