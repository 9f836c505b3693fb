/// The address that peers of a control plane instance connect to: proxies' streams, collectors and
/// unidentified connections, all served by one thread that never waits for any of them.
#pragma once

#include <atomic>
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

/// Receives what streams say, and gives what is to be written on them. Called from the server's thread, which
/// holds no lock then.
class StreamEventHandler {
 public:
  virtual ~StreamEventHandler() = default;
  /// `newly_added`: the proxy holds no tables yet.
  virtual void on_proxy_joined(ProxyId proxy, ZoneId zone, double requests_per_second, bool newly_added) = 0;
  /// The proxy's stream ended, and the proxy has no newer one.
  virtual void on_proxy_left(ProxyId proxy) = 0;
  /// The reports and acknowledgements of one message each, as `MessageHandler` receives them.
  virtual void on_replica_load_report(const ReplicaLoadReport& report) = 0;
  virtual void on_demand_report(ProxyId proxy, const DemandReport& report) = 0;
  virtual void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos elapsed) = 0;
  /// The proxies that there is something to write to.
  virtual std::vector<ProxyId> due_proxies() = 0;
  /// What there is to write to a proxy; it counts as written from then on.
  virtual std::string next_message(ProxyId proxy) = 0;
  /// Logs what a peer did wrong.
  virtual void log_peer_error(const std::string& what) = 0;
};

/// Accepts connections, dispatches their messages, and writes what is due.
class StreamServer {
 public:
  /// `max_connections`: at once; beyond, the oldest that has not identified itself is closed for a new one.
  /// Throws `net::Error` if the address cannot be had. Serves from then on.
  StreamServer(const net::Address& listen, std::size_t max_connections, MessageNames names,
               StreamEventHandler& handler);
  ~StreamServer() { stop(); }
  /// Where peers connect, with the port that the system chose if none was given.
  net::Address address() const { return net::local_address(listener_); }
  /// There may be something to write. From any thread.
  void wake() { poller_.wake(); }
  /// Joins the thread; the handler is not called afterwards.
  void stop();

 private:
  struct Connection {
    std::uint64_t key = 0;  // connections are numbered in the order in which they were accepted
    net::Socket socket;
    resp::MessageReader reader;
    MessageSender peer;
    net::Deadline accepted_at;
    // What the system has not taken yet; for a proxy at most one message and the answers to its liveness
    // requests.
    std::string unsent;
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
  void close_oldest_unidentified();
  void close_overdue_connections();
  bool is_still_unidentified(std::uint64_t key);

  void on_readable(Connection& connection);
  bool dispatch_message(Connection& connection);
  void reject(Connection& connection, const std::string& reason);
  void close_connection(std::uint64_t key);

  void write_due_messages();
  bool write(Connection& connection, std::string_view bytes);

  const std::size_t max_connections_;
  const MessageNames names_;
  StreamEventHandler& handler_;
  net::Socket listener_;
  net::Poller poller_;
  std::map<std::uint64_t, Connection> connections_;
  std::set<std::uint64_t> unidentified_;            // keys, by age
  std::map<ProxyId, std::uint64_t> proxy_streams_;  // the key of each proxy's connection
  std::uint64_t last_key_ = 0;
  std::optional<net::Deadline> resume_accepting_at_;  // present while there is no descriptor for a connection
  std::atomic<bool> stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::platform
