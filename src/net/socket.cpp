#include "net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>

#include "net/cancellation_event.h"

namespace ospreypost::net {
namespace {

struct RawAddress {
  sockaddr_storage storage{};
  socklen_t size = sizeof(sockaddr_storage);
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

RawAddress to_raw_address(const Address& address) {
  RawAddress result;
  if (address.is_v6()) {
    auto& address_v6 = reinterpret_cast<sockaddr_in6&>(result.storage);
    address_v6.sin6_family = AF_INET6;
    address_v6.sin6_port = htons(address.port);
    if (inet_pton(AF_INET6, address.host.c_str(), &address_v6.sin6_addr) != 1)
      throw Error(address.host + " is not an IP address");
    result.size = sizeof(sockaddr_in6);
  } else {
    auto& address_v4 = reinterpret_cast<sockaddr_in&>(result.storage);
    address_v4.sin_family = AF_INET;
    address_v4.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &address_v4.sin_addr) != 1)
      throw Error(address.host + " is not an IP address");
    result.size = sizeof(sockaddr_in);
  }
  return result;
}

Address to_address(const RawAddress& raw_address) {
  char text[INET6_ADDRSTRLEN] = {};
  if (raw_address.storage.ss_family == AF_INET6) {
    const auto& address_v6 = reinterpret_cast<const sockaddr_in6&>(raw_address.storage);
    inet_ntop(AF_INET6, &address_v6.sin6_addr, text, sizeof(text));
    return {text, ntohs(address_v6.sin6_port)};
  }
  const auto& address_v4 = reinterpret_cast<const sockaddr_in&>(raw_address.storage);
  inet_ntop(AF_INET, &address_v4.sin_addr, text, sizeof(text));
  return {text, ntohs(address_v4.sin_port)};
}

[[noreturn]] void throw_system_error(const std::string& context) {
  throw Error(context + ": " + std::strerror(errno));
}

// Waits until one of `events` occurs on the descriptor. Returns false if none has by the deadline. Throws
// Error when `cancellation` is set.
bool wait_for(int descriptor, short events, Deadline deadline,
              const CancellationEvent* cancellation = nullptr) {
  for (;;) {
    const auto remaining_ms = std::chrono::ceil<std::chrono::milliseconds>(deadline - Steady::now()).count();
    std::array<pollfd, 2> polled{pollfd{descriptor, events, 0},
                                 pollfd{cancellation ? cancellation->descriptor() : -1, POLLIN, 0}};
    const int ready = ::poll(polled.data(), polled.size(),
                             static_cast<int>(std::clamp<long long>(remaining_ms, 0, 3'600'000)));
    if (ready > 0 && polled[1].revents != 0) throw Error("the wait was cancelled");
    if (ready > 0) return true;
    if (ready == 0) return false;
    if (errno != EINTR) throw_system_error("poll");
  }
}

Socket open(const Address& address, int type) {
  Socket socket(::socket(address.is_v6() ? AF_INET6 : AF_INET, type | SOCK_CLOEXEC, 0));
  if (!socket) throw_system_error("socket");
  return socket;
}

Socket open_bound(const Address& address, int type) {
  auto socket = open(address, type);
  const int enabled = 1;
  if (type == SOCK_STREAM) ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  auto target = to_raw_address(address);
  if (::bind(socket.get(), target.get(), target.size) != 0)
    throw_system_error("cannot bind to " + address.text());
  return socket;
}

}  // namespace

std::string Address::text() const { return (is_v6() ? "[" + host + "]" : host) + ":" + std::to_string(port); }

Address Address::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  Address address;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const bool has_port = colon != std::string_view::npos;
  const auto parsed = has_port ? std::from_chars(text.data() + colon + 1, end, port)
                               : std::from_chars_result{text.data(), std::errc::invalid_argument};
  if (parsed.ec != std::errc{} || parsed.ptr != end)
    throw Error("'" + std::string(text) + "' is not an address and a port");
  auto host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  address.host = host;
  address.port = port;
  to_raw_address(address);
  return address;
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

void Socket::close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

bool is_idle(const Socket& socket) { return !wait_for(socket.get(), POLLIN, Steady::now()); }

bool is_closed_by_peer(const Socket& socket) {
  pollfd polled{socket.get(), POLLRDHUP, 0};
  return ::poll(&polled, 1, 0) > 0;
}

void shut_down(int descriptor) { ::shutdown(descriptor, SHUT_RDWR); }

void Socket::reset_on_close() const {
  const linger immediate_reset{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediate_reset, sizeof(immediate_reset));
}

Socket bind_udp(const Address& address) {
  auto socket = open_bound(address, SOCK_DGRAM);
  // 1 MiB, so that a burst of queries is queued in the receive buffer until the server's threads read it.
  const int bytes = 1 << 20;
  ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  return socket;
}

Socket listen_tcp(const Address& address, int backlog) {
  auto socket = open_bound(address, SOCK_STREAM);
  if (::listen(socket.get(), backlog) != 0) throw_system_error("cannot listen on " + address.text());
  return socket;
}

Address local_address(const Socket& socket) {
  RawAddress local;
  if (::getsockname(socket.get(), local.get(), &local.size) != 0) throw_system_error("getsockname");
  return to_address(local);
}

std::optional<std::pair<Socket, Address>> accept(const Socket& listener, Deadline deadline) {
  if (!wait_for(listener.get(), POLLIN, deadline)) return std::nullopt;
  RawAddress client;
  Socket accepted(::accept4(listener.get(), client.get(), &client.size, SOCK_CLOEXEC));
  if (!accepted) {
    // The client closed the connection before it was accepted, or descriptors or memory are temporarily
    // exhausted. The listener stays open in both cases.
    const bool transient = errno == ECONNABORTED || errno == EINTR || errno == EMFILE || errno == ENFILE ||
                           errno == EAGAIN || errno == ENOBUFS || errno == ENOMEM;
    if (transient) return std::nullopt;
    throw_system_error("accept");
  }
  const int enabled = 1;
  ::setsockopt(accepted.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  return std::pair{std::move(accepted), to_address(client)};
}

Socket connect(const Address& address, Deadline deadline, const CancellationEvent* cancellation) {
  auto socket = open(address, SOCK_STREAM | SOCK_NONBLOCK);
  auto target = to_raw_address(address);
  if (::connect(socket.get(), target.get(), target.size) != 0) {
    if (errno != EINPROGRESS) throw_system_error("cannot connect to " + address.text());
    if (!wait_for(socket.get(), POLLOUT, deadline, cancellation))
      throw Error("connecting to " + address.text() + " timed out");
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) throw Error("cannot connect to " + address.text() + ": " + std::strerror(error));
  }
  ::fcntl(socket.get(), F_SETFL, ::fcntl(socket.get(), F_GETFL) & ~O_NONBLOCK);
  const int enabled = 1;
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  return socket;
}

std::optional<std::pair<std::size_t, Address>> receive_from(const Socket& socket,
                                                            std::span<std::uint8_t> buffer,
                                                            Deadline deadline) {
  RawAddress sender;
  const auto receive = [&] {
    return ::recvfrom(socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT, sender.get(), &sender.size);
  };
  auto received = receive();
  if (received < 0 && wait_for(socket.get(), POLLIN, deadline)) received = receive();
  // recvfrom() also fails with the pending error of an earlier datagram, and when another thread has received
  // the datagram first. Both count as no datagram.
  if (received < 0) return std::nullopt;
  return std::pair{static_cast<std::size_t>(received), to_address(sender)};
}

void send_to(const Socket& socket, std::span<const std::uint8_t> bytes, const Address& recipient) {
  auto target = to_raw_address(recipient);
  [[maybe_unused]] const auto sent =
      ::sendto(socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT, target.get(), target.size);
}

std::size_t read_some(const Socket& socket, std::span<char> buffer, Deadline deadline,
                      const CancellationEvent* cancellation) {
  for (;;) {
    if (!wait_for(socket.get(), POLLIN, deadline, cancellation)) throw Error("nothing came in time");
    const auto received = ::recv(socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received >= 0) return static_cast<std::size_t>(received);
    if (errno != EINTR && errno != EAGAIN) throw_system_error("cannot read from the socket");
  }
}

bool read_fully(const Socket& socket, std::span<char> buffer, Deadline deadline) {
  std::size_t total = 0;
  while (total < buffer.size()) {
    const auto received = read_some(socket, buffer.subspan(total), deadline);
    if (received == 0 && total == 0) return false;
    if (received == 0) throw Error("the stream ended in the middle of a message");
    total += received;
  }
  return true;
}

void write_fully(const Socket& socket, std::span<const char> bytes, Deadline deadline,
                 const CancellationEvent* cancellation) {
  while (!bytes.empty()) {
    if (!wait_for(socket.get(), POLLOUT, deadline, cancellation))
      throw Error("the peer did not accept the bytes in time");
    const auto sent = ::send(socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && errno != EINTR && errno != EAGAIN) throw_system_error("cannot write to the socket");
    if (sent > 0) bytes = bytes.subspan(static_cast<std::size_t>(sent));
  }
}

}  // namespace ospreypost::net
