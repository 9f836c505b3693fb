// The governor's address on the platform: proxies' streams, collectors and strangers, all by one thread that
// never waits for any of them.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "net/poller.h"
#include "net/socket.h"
#include "net/threads.h"
#include "platform/messages.h"
#include "resp/resp.h"

namespace ospreypost::platform {

// What streams are for. Called from their thread, without any lock of theirs.
class StreamEventHandler {
 public:
  virtual ~StreamEventHandler() = default;
  virtual void on_proxy_joined(ProxyId proxy, ZoneId zone, double operations_per_second, bool fresh) = 0;
  virtual void on_proxy_left(ProxyId proxy) = 0;
  virtual void on_replica_load_report(const ReplicaLoadReport& sum) = 0;
  virtual void on_demand_report(ProxyId proxy, const DemandReport& demand) = 0;
  virtual void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos took) = 0;
  // Whom there is something to write to, and the bytes of it, which then count as written.
  virtual std::vector<ProxyId> due_proxies() = 0;
  virtual std::string next_message(ProxyId proxy) = 0;
  virtual void log_peer_error(const std::string& what) = 0;
};

class StreamServer {
 public:
  // `most`: connections at once; the oldest that has not joined gives way. Throws net::Error if the address
  // cannot be had. Serves from then on.
  StreamServer(const net::Address& listen, std::size_t most, MessageNames vocabulary,
               StreamEventHandler& sink);
  ~StreamServer() { stop(); }
  net::Address address() const { return net::local_address(listener_); }
  // There may be something to write. From any thread.
  void wake() { poller_.wake(); }
  void stop();

 private:
  struct Connection {
    std::uint64_t key = 0;
    net::Socket socket;
    resp::MessageReader reader;
    PeerRole party = PeerRole::unidentified;
    std::optional<ProxyId> proxy;
    net::Deadline since;
    std::string out;  // not taken by the system yet; of a proxy at most one message and its answers
    bool waits_for_room = false;
  };
  class ConnectionMessageHandler;
  using Connections = std::map<std::uint64_t, Connection>;

  void work();
  void turn();
  void admit();
  void hear(Connection& guest);
  bool understand(Connection& guest);
  void write_due();
  // False if the stream broke.
  bool write(Connection& guest, std::string_view bytes);
  void refuse(Connection& guest, const std::string& why);
  void end(std::uint64_t key);
  void end_old_strangers();
  bool is_still_strange(std::uint64_t key);
  void make_room();

  const std::size_t most_;
  const MessageNames vocabulary_;
  StreamEventHandler& sink_;
  net::Socket listener_;
  net::Poller poller_;
  Connections guests_;
  std::set<std::uint64_t> strangers_;  // by age
  std::map<ProxyId, std::uint64_t> joined_;
  std::uint64_t last_key_ = 0;
  std::optional<net::Deadline> accepts_again_;  // there was no descriptor for a connection
  std::atomic<bool> stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::platform
