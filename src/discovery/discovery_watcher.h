// Discovery of the platform: its list and its watch over HTTP/1.1, as a source of the list.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/cancellation_event.h"
#include "net/socket.h"
#include "net/threads.h"
#include "policy/controller.h"

namespace ospreypost::discovery {

// One entry as discovery writes it.
struct EndpointEntry {
  std::string name, zone, kind;
  std::uint32_t cell = 0;
  net::Address address;
  EndpointPhase phase = EndpointPhase::ready;
  double weight = 1;
  std::optional<Nanos> started;  // since 1970; absent: long ago
};

struct EndpointListUpdate {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<EndpointEntry> entries;
  std::size_t rejected = 0;                 // entries that could not be read; the others stand
  std::vector<std::string> rejected_names;  // of those, the ones that say whose they are
};

// Throws net::Error naming what is wrong where the document as a whole can't be read.
EndpointListUpdate parse_endpoint_list_update(std::string_view text);

// What a registry tells. Called from its own threads, never two calls at a time.
class EndpointListHandler {
 public:
  virtual ~EndpointListHandler() = default;
  virtual void on_endpoint_list_update(const EndpointListUpdate& roster) = 0;
  virtual void on_discovery_error(const std::string& why) = 0;  // the last list stands
};

// Watches until stopped, and dials again whenever a watch ends, is silent or can't be read. A list only goes
// forward: what is older than the one known is not taken, whoever sends it.
class DiscoveryWatcher {
 public:
  struct Timeouts {
    net::Steady::duration connect =
        std::chrono::seconds(1);  // for a connection, and for the question to leave
    // After so long without a whole line the watch is dead: an empty one comes every 2 s while nothing
    // changes. With a pause and a connection it stays below the 6 s after which what changed counts as told.
    net::Steady::duration idle = std::chrono::seconds(3);
    // After a move, the watch that is left goes on for so long: what it has written counts as told, and the
    // new address may be behind.
    net::Steady::duration draining = std::chrono::seconds(2);
    // Who sends older lists for so long is not behind, but begins anew, and is taken at its word.
    net::Steady::duration stale = std::chrono::seconds(60);
  };
  // `revision`: of the list that is known already.
  DiscoveryWatcher(const net::Address& address, std::uint64_t revision, EndpointListHandler& sink)
      : DiscoveryWatcher(address, revision, sink, Timeouts{}) {}
  DiscoveryWatcher(const net::Address& address, std::uint64_t revision, EndpointListHandler& sink,
                   Timeouts waits);
  ~DiscoveryWatcher();
  // Dials there at once.
  void move_to(const net::Address& address);
  // The whole list is asked for anew.
  void refresh();
  void stop();

 private:
  class Follower;
  // Of one line, from one address. False: it is not taken, as it is older than what is known.
  bool take(const EndpointListUpdate& roster, bool anew);
  std::uint64_t revision() const;
  void silent(const std::string& why);

  EndpointListHandler& sink_;
  const Timeouts waits_;
  mutable std::mutex taking_;  // held while the sink is told, so that lists are told in their order
  std::uint64_t revision_;
  std::mutex lock_;  // of who follows; never held while anything is read, written or told
  std::unique_ptr<Follower> follower_;
  std::vector<std::unique_ptr<Follower>> leaving_;
};

}  // namespace ospreypost::discovery
