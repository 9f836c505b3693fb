// Waits for events on many descriptors in one thread, where a thread per descriptor would cost too much.
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
  // Throws Error if the system cannot create the epoll instance or the wake-up event.
  Poller();
  // Starts watching a descriptor for input. `key` identifies the descriptor in the result of wait().
  void add(int descriptor, std::uint64_t key);
  // Sets whether wait() also reports when the descriptor can be written to.
  // The descriptor is watched for input in either case.
  void set_write_interest(int descriptor, std::uint64_t key, bool enabled);
  // Sets whether wait() reports input on the descriptor. Also turns off write interest.
  void set_read_interest(int descriptor, std::uint64_t key, bool enabled);
  void remove(int descriptor);

  struct Ready {
    std::uint64_t key = 0;
    bool readable = false, writable = false;
  };
  // Returns the descriptors that are ready, waiting for the first one until the deadline at most. Returns an
  // empty list if no descriptor is ready by then, or if wake() was called.
  const std::vector<Ready>& wait(Deadline deadline);
  // Makes the current or next call of wait() return at once. May be called from any thread.
  void wake();

 private:
  Socket poll_, wake_;
  std::vector<Ready> ready_;
};

// Reads the bytes that have already arrived, without waiting. Returns their number, 0 at the end of the
// stream, and an empty result if no bytes have arrived. Throws Error if the connection is broken.
std::optional<std::size_t> read_now(const Socket& socket, std::span<char> buffer);
// Writes as many bytes as the system accepts without waiting. Returns their number, which may be 0. Throws
// Error if the connection is broken.
std::size_t write_now(const Socket& socket, std::string_view bytes);

}  // namespace ospreypost::net
