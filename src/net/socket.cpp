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

RawAddress raw(const Address& address) {
  RawAddress made;
  if (address.is_v6()) {
    auto& v6 = reinterpret_cast<sockaddr_in6&>(made.storage);
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(address.port);
    if (inet_pton(AF_INET6, address.host.c_str(), &v6.sin6_addr) != 1)
      throw Error(address.host + " is not an address");
    made.size = sizeof(sockaddr_in6);
  } else {
    auto& v4 = reinterpret_cast<sockaddr_in&>(made.storage);
    v4.sin_family = AF_INET;
    v4.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &v4.sin_addr) != 1)
      throw Error(address.host + " is not an address");
    made.size = sizeof(sockaddr_in);
  }
  return made;
}

Address cooked(const RawAddress& from) {
  char text[INET6_ADDRSTRLEN] = {};
  if (from.storage.ss_family == AF_INET6) {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(from.storage);
    inet_ntop(AF_INET6, &v6.sin6_addr, text, sizeof(text));
    return {text, ntohs(v6.sin6_port)};
  }
  const auto& v4 = reinterpret_cast<const sockaddr_in&>(from.storage);
  inet_ntop(AF_INET, &v4.sin_addr, text, sizeof(text));
  return {text, ntohs(v4.sin_port)};
}

[[noreturn]] void fail(const std::string& what) { throw Error(what + ": " + std::strerror(errno)); }

// False at the deadline. Throws Error when interrupted.
bool wait_for(int descriptor, short events, Deadline until, const CancellationEvent* interrupt = nullptr) {
  for (;;) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Steady::now()).count();
    std::array<pollfd, 2> asked{pollfd{descriptor, events, 0},
                                pollfd{interrupt ? interrupt->descriptor() : -1, POLLIN, 0}};
    const int ready =
        ::poll(asked.data(), asked.size(), static_cast<int>(std::clamp<long long>(left, 0, 3'600'000)));
    if (ready > 0 && asked[1].revents != 0) throw Error("interrupted");
    if (ready > 0) return true;
    if (ready == 0) return false;
    if (errno != EINTR) fail("poll");
  }
}

Socket open(const Address& address, int type) {
  Socket socket(::socket(address.is_v6() ? AF_INET6 : AF_INET, type | SOCK_CLOEXEC, 0));
  if (!socket) fail("socket");
  return socket;
}

Socket bound(const Address& address, int type) {
  auto socket = open(address, type);
  const int on = 1;
  if (type == SOCK_STREAM) ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto to = raw(address);
  if (::bind(socket.get(), to.get(), to.size) != 0) fail("cannot use " + address.text());
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
  const auto read = has_port ? std::from_chars(text.data() + colon + 1, end, port)
                             : std::from_chars_result{text.data(), std::errc::invalid_argument};
  if (read.ec != std::errc{} || read.ptr != end)
    throw Error("'" + std::string(text) + "' is not an address and a port");
  auto host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  address.host = host;
  address.port = port;
  raw(address);
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

void shut_down(int descriptor) { ::shutdown(descriptor, SHUT_RDWR); }

void Socket::reset_on_close() const {
  const linger none{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
}

Socket bind_udp(const Address& address) {
  auto socket = bound(address, SOCK_DGRAM);
  // A burst of questions waits here while its threads answer.
  const int bytes = 1 << 20;
  ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  return socket;
}

Socket listen_tcp(const Address& address, int backlog) {
  auto socket = bound(address, SOCK_STREAM);
  if (::listen(socket.get(), backlog) != 0) fail("cannot listen on " + address.text());
  return socket;
}

Address local_address(const Socket& socket) {
  RawAddress own;
  if (::getsockname(socket.get(), own.get(), &own.size) != 0) fail("getsockname");
  return cooked(own);
}

std::optional<std::pair<Socket, Address>> accept(const Socket& listener, Deadline until) {
  if (!wait_for(listener.get(), POLLIN, until)) return std::nullopt;
  RawAddress from;
  Socket accepted(::accept4(listener.get(), from.get(), &from.size, SOCK_CLOEXEC));
  if (!accepted) {
    // The peer left in between, or descriptors are short for a moment: neither ends the listener.
    const bool passing = errno == ECONNABORTED || errno == EINTR || errno == EMFILE || errno == ENFILE ||
                         errno == EAGAIN || errno == ENOBUFS || errno == ENOMEM;
    if (passing) return std::nullopt;
    fail("accept");
  }
  const int on = 1;
  ::setsockopt(accepted.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::pair{std::move(accepted), cooked(from)};
}

Socket connect(const Address& address, Deadline until, const CancellationEvent* interrupt) {
  auto socket = open(address, SOCK_STREAM | SOCK_NONBLOCK);
  auto to = raw(address);
  if (::connect(socket.get(), to.get(), to.size) != 0) {
    if (errno != EINPROGRESS) fail("cannot connect to " + address.text());
    if (!wait_for(socket.get(), POLLOUT, until, interrupt))
      throw Error("no connection to " + address.text() + " in time");
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) throw Error("cannot connect to " + address.text() + ": " + std::strerror(error));
  }
  ::fcntl(socket.get(), F_SETFL, ::fcntl(socket.get(), F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

std::optional<std::pair<std::size_t, Address>> receive_from(const Socket& socket,
                                                            std::span<std::uint8_t> into, Deadline until) {
  RawAddress from;
  const auto take = [&] {
    return ::recvfrom(socket.get(), into.data(), into.size(), MSG_DONTWAIT, from.get(), &from.size);
  };
  auto got = take();
  if (got < 0 && wait_for(socket.get(), POLLIN, until)) got = take();
  // An error that an earlier datagram left behind, or another thread was faster: nothing came.
  if (got < 0) return std::nullopt;
  return std::pair{static_cast<std::size_t>(got), cooked(from)};
}

void send_to(const Socket& socket, std::span<const std::uint8_t> bytes, const Address& to) {
  auto address = raw(to);
  [[maybe_unused]] const auto sent =
      ::sendto(socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT, address.get(), address.size);
}

std::size_t read_some(const Socket& socket, std::span<char> into, Deadline until,
                      const CancellationEvent* interrupt) {
  for (;;) {
    if (!wait_for(socket.get(), POLLIN, until, interrupt)) throw Error("nothing came in time");
    const auto got = ::recv(socket.get(), into.data(), into.size(), MSG_DONTWAIT);
    if (got >= 0) return static_cast<std::size_t>(got);
    if (errno != EINTR && errno != EAGAIN) fail("reading");
  }
}

bool read_fully(const Socket& socket, std::span<char> into, Deadline until) {
  std::size_t done = 0;
  while (done < into.size()) {
    const auto got = read_some(socket, into.subspan(done), until);
    if (got == 0 && done == 0) return false;
    if (got == 0) throw Error("the stream ended within a message");
    done += got;
  }
  return true;
}

void write_fully(const Socket& socket, std::span<const char> bytes, Deadline until,
                 const CancellationEvent* interrupt) {
  while (!bytes.empty()) {
    if (!wait_for(socket.get(), POLLOUT, until, interrupt)) throw Error("the peer takes nothing in time");
    const auto put = ::send(socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (put < 0 && errno != EINTR && errno != EAGAIN) fail("writing");
    if (put > 0) bytes = bytes.subspan(static_cast<std::size_t>(put));
  }
}

}  // namespace ospreypost::net
