// Blocking sockets with deadlines. IPv4 and IPv6 by literal address; no name is ever looked up here.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace ospreypost::net {

class CancellationEvent;

using Steady = std::chrono::steady_clock;
using Deadline = Steady::time_point;

// What went wrong, and where; the message is one line.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A literal IPv4 or IPv6 address without a port, and its wire bytes.
struct Address {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string text() const;
  bool is_v6() const { return host.find(':') != std::string::npos; }
  auto operator<=>(const Address&) const = default;
  // "127.0.0.1:53" or "[::1]:53". Throws Error on anything else.
  static Address parse(std::string_view text);
};

// Owns a descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }
  int get() const { return descriptor_; }
  explicit operator bool() const { return descriptor_ >= 0; }
  void close();
  // The peer gets a reset instead of an orderly end.
  void reset_on_close() const;

 private:
  int descriptor_ = -1;
};

// Each throws Error when the address is taken or not ours.
Socket bind_udp(const Address& address);
Socket listen_tcp(const Address& address, int backlog);
Address local_address(const Socket& socket);

// Empty when the deadline passes without a connection; throws Error when the listener is closed.
std::optional<std::pair<Socket, Address>> accept(const Socket& listener, Deadline until);
// Throws Error when refused, not connected in time, or interrupted.
Socket connect(const Address& address, Deadline until, const CancellationEvent* interrupt = nullptr);

// The datagram's length and its sender; empty when none came in time.
std::optional<std::pair<std::size_t, Address>> receive_from(const Socket& socket,
                                                            std::span<std::uint8_t> into, Deadline until);
// Nothing is retried: a datagram that cannot leave is lost, as datagrams may be.
void send_to(const Socket& socket, std::span<const std::uint8_t> bytes, const Address& to);

// Bytes read, at least one; 0 at the peer's end of stream. Throws Error at the deadline, a broken stream, or
// when interrupted.
std::size_t read_some(const Socket& socket, std::span<char> into, Deadline until,
                      const CancellationEvent* interrupt = nullptr);
// False if the stream ended before the first byte; throws Error if it ends within, breaks, or at the
// deadline.
bool read_fully(const Socket& socket, std::span<char> into, Deadline until);
// Nothing waits to be read, neither bytes nor the end of the stream.
bool is_idle(const Socket& socket);
// Ends both directions, so that whoever blocks on it in another thread returns at once.
void shut_down(int descriptor);
// Throws Error at the deadline, a broken stream, or when interrupted.
void write_fully(const Socket& socket, std::span<const char> bytes, Deadline until,
                 const CancellationEvent* interrupt = nullptr);

}  // namespace ospreypost::net
