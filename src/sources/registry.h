// Discovery of the platform: its list and its watch over HTTP/1.1, as a source of the list.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "net/threads.h"
#include "rules.h"

namespace ospreypost::sources {

// One entry as discovery writes it.
struct Member {
  std::string name, zone, kind;
  std::uint32_t cell = 0;
  net::Address address;
  Phase phase = Phase::ready;
  double weight = 1;
  std::optional<Nanos> started;  // since 1970; absent: long ago
};

struct Roster {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<Member> members;
  std::size_t refused = 0;  // entries that could not be read; the others stand
};

// Throws net::Error naming what is wrong where the document as a whole can't be read.
Roster parse_roster(std::string_view text);

// What a registry tells. Called from its own thread.
class RegistrySink {
 public:
  virtual ~RegistrySink() = default;
  virtual void roster_received(const Roster& roster) = 0;
  virtual void registry_silent(const std::string& why) = 0;  // the last list stands
};

// Watches until stopped, and dials again whenever a watch ends, is silent or can't be read.
class Registry {
 public:
  struct Waits {
    net::Steady::duration connect =
        std::chrono::seconds(1);  // for a connection, and for the question to leave
    // After so long without a byte the watch is dead: an empty line comes every 2 s while nothing changes.
    net::Steady::duration silence = std::chrono::seconds(5);
  };
  // `revision`: of the list that is known already.
  Registry(const net::Address& address, std::uint64_t revision, RegistrySink& sink)
      : Registry(address, revision, sink, Waits{}) {}
  Registry(const net::Address& address, std::uint64_t revision, RegistrySink& sink, Waits waits);
  ~Registry() { stop(); }
  // Dials there at once.
  void move_to(const net::Address& address);
  // The whole list is asked for anew.
  void look();
  void stop();

 private:
  void work();
  void watch(const net::Address& address);
  void take(std::string_view line);
  void interrupt();

  RegistrySink& sink_;
  const Waits waits_;
  std::uint64_t revision_;
  bool whole_ = false;  // ask without a revision
  std::mutex lock_;     // of what follows; held for a few instructions
  std::condition_variable changed_;
  net::Address address_;
  int descriptor_ = -1;  // of the watch that is open
  bool moved_ = false, again_ = false, stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::sources
