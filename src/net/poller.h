// Waits on many descriptors at once, where a thread for each would cost more than they are worth.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "net/socket.h"

namespace ospreypost::net {

class Poller {
 public:
  // Throws Error if the system has none to give.
  Poller();
  // `key` comes back with what happened.
  void add(int descriptor, std::uint64_t key);
  // Whether room to write is waited for besides.
  void set_write_interest(int descriptor, std::uint64_t key, bool wanted);
  // Whether news of it is waited for at all.
  void set_read_interest(int descriptor, std::uint64_t key, bool wanted);
  void remove(int descriptor);

  struct Ready {
    std::uint64_t key = 0;
    bool readable = false, writable = false;
  };
  // What is ready by then; empty if nothing is, or somebody woke it.
  const std::vector<Ready>& wait(Deadline until);
  // From any thread.
  void wake();

 private:
  Socket poll_, wake_;
  std::vector<Ready> ready_;
};

// Without waiting. Bytes read; 0 at the end of the stream; empty if nothing waits. Throws Error if it broke.
std::optional<std::size_t> read_now(const Socket& socket, std::span<char> into);
// Without waiting. Bytes that the system took, maybe none. Throws Error if the stream broke.
std::size_t write_now(const Socket& socket, std::string_view bytes);

}  // namespace ospreypost::net
