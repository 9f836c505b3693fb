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
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  virtual void proxy_joined(ProxyId proxy, ZoneId zone, double operations_per_second, bool fresh) = 0;
  virtual void proxy_left(ProxyId proxy) = 0;
  virtual void replica_summed(const ReplicaSum& sum) = 0;
  virtual void demand_summed(ProxyId proxy, const Demand& demand) = 0;
  virtual void mark_answered(ProxyId proxy, std::uint64_t nonce, Nanos took) = 0;
  // Whom there is something to write to, and the bytes of it, which then count as written.
  virtual std::vector<ProxyId> due() = 0;
  virtual std::string next_for(ProxyId proxy) = 0;
  virtual void complain(const std::string& what) = 0;
};

class Streams {
 public:
  // `most`: connections at once; the oldest that has not joined gives way. Throws net::Error if the address
  // cannot be had. Serves from then on.
  Streams(const net::Address& listen, std::size_t most, Vocabulary vocabulary, StreamSink& sink);
  ~Streams() { stop(); }
  net::Address address() const { return net::local_address(listener_); }
  // There may be something to write. From any thread.
  void wake() { poller_.wake(); }
  void stop();

 private:
  struct Guest {
    std::uint64_t key = 0;
    net::Socket socket;
    resp::Reader reader;
    Party party = Party::stranger;
    std::optional<ProxyId> proxy;
    net::Deadline since;
    std::string out;  // not taken by the system yet; of a proxy at most one message and its answers
    bool waits_for_room = false;
  };
  class Ear;
  using Guests = std::map<std::uint64_t, Guest>;

  void work();
  void turn();
  void admit();
  void hear(Guest& guest);
  bool understand(Guest& guest);
  void write_due();
  // False if the stream broke.
  bool write(Guest& guest, std::string_view bytes);
  void refuse(Guest& guest, const std::string& why);
  void end(std::uint64_t key);
  void end_old_strangers();
  bool is_still_strange(std::uint64_t key);
  void make_room();

  const std::size_t most_;
  const Vocabulary vocabulary_;
  StreamSink& sink_;
  net::Socket listener_;
  net::Poller poller_;
  Guests guests_;
  std::set<std::uint64_t> strangers_;  // by age
  std::map<ProxyId, std::uint64_t> joined_;
  std::uint64_t last_key_ = 0;
  std::optional<net::Deadline> accepts_again_;  // there was no descriptor for a connection
  std::atomic<bool> stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::platform
