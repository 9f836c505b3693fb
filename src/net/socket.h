// Blocking sockets with deadlines, for IPv4 and IPv6. Addresses are literal: host names are not resolved.
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

// A network error. Its message is one line that names the failed operation and the cause.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A literal IPv4 or IPv6 address with a port.
struct Address {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string text() const;
  bool is_v6() const { return host.find(':') != std::string::npos; }
  auto operator<=>(const Address&) const = default;
  // Parses an address such as "127.0.0.1:53" or "[::1]:53". Throws Error if `text` has neither form.
  static Address parse(std::string_view text);
};

// Owns a socket descriptor and closes it when destroyed.
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
  // Makes close() reset the connection instead of closing it in an orderly way.
  void reset_on_close() const;

 private:
  int descriptor_ = -1;
};

// Binds a UDP socket. Throws Error if the address is in use or does not belong to this host.
Socket bind_udp(const Address& address);
// Opens a listening TCP socket. Throws Error if the address is in use or does not belong to this host.
Socket listen_tcp(const Address& address, int backlog);
// Returns the address that the socket is bound to.
Address local_address(const Socket& socket);

// Waits for a connection and returns its socket and the client's address. Returns an empty result if no
// connection is accepted by the deadline. Throws Error when the listener is closed.
std::optional<std::pair<Socket, Address>> accept(const Socket& listener, Deadline deadline);
// Opens a TCP connection. Throws Error when the connection is refused, is not established by the deadline, or
// when `cancellation` is set.
Socket connect(const Address& address, Deadline deadline, const CancellationEvent* cancellation = nullptr);

// Receives one datagram into `buffer`. Returns its length and its sender, or an empty result if no datagram
// arrives by the deadline.
std::optional<std::pair<std::size_t, Address>> receive_from(const Socket& socket,
                                                            std::span<std::uint8_t> buffer,
                                                            Deadline deadline);
// Sends one datagram. A datagram that cannot be sent is dropped, as datagrams may be lost anyway.
void send_to(const Socket& socket, std::span<const std::uint8_t> bytes, const Address& recipient);

// Waits for bytes and reads them into `buffer`. Returns their number, which is 0 only at the end of the
// stream. Throws Error at the deadline, when the connection is broken, or when `cancellation` is set.
std::size_t read_some(const Socket& socket, std::span<char> buffer, Deadline deadline,
                      const CancellationEvent* cancellation = nullptr);
// Reads until `buffer` is full. Returns false if the stream ends before the first byte. Throws Error if the
// stream ends after the first byte, at the deadline, or when the connection is broken.
bool read_fully(const Socket& socket, std::span<char> buffer, Deadline deadline);
// Returns whether there is nothing to read at present, neither bytes nor the end of the stream.
bool is_idle(const Socket& socket);
// Returns whether the peer has closed its sending side, even if bytes that it sent before are still unread.
bool is_closed_by_peer(const Socket& socket);
// Shuts the connection down in both directions, so that a thread that waits on it returns at once.
void shut_down(int descriptor);
// Writes all bytes.
// Throws Error at the deadline, when the connection is broken, or when `cancellation` is set.
void write_fully(const Socket& socket, std::span<const char> bytes, Deadline deadline,
                 const CancellationEvent* cancellation = nullptr);

}  // namespace ospreypost::net
