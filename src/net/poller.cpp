#include "net/poller.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace ospreypost::net {
namespace {

constexpr std::uint64_t kWakeKey = ~std::uint64_t{0};

[[noreturn]] void throw_system_error(const std::string& context) {
  throw Error(context + ": " + std::strerror(errno));
}

epoll_event make_event(std::uint64_t key, bool write_interest) {
  epoll_event event{};
  event.events = EPOLLIN | (write_interest ? EPOLLOUT : 0u);
  event.data.u64 = key;
  return event;
}

}  // namespace

Poller::Poller() : poll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!poll_ || !wake_) throw_system_error("cannot create an epoll instance");
  add(wake_.get(), kWakeKey);
}

void Poller::add(int descriptor, std::uint64_t key) {
  auto event = make_event(key, false);
  if (::epoll_ctl(poll_.get(), EPOLL_CTL_ADD, descriptor, &event) != 0) throw_system_error("epoll_ctl");
}

void Poller::set_write_interest(int descriptor, std::uint64_t key, bool enabled) {
  auto event = make_event(key, enabled);
  if (::epoll_ctl(poll_.get(), EPOLL_CTL_MOD, descriptor, &event) != 0) throw_system_error("epoll_ctl");
}

void Poller::set_read_interest(int descriptor, std::uint64_t key, bool enabled) {
  auto event = make_event(key, false);
  if (!enabled) event.events = 0;
  if (::epoll_ctl(poll_.get(), EPOLL_CTL_MOD, descriptor, &event) != 0) throw_system_error("epoll_ctl");
}

void Poller::remove(int descriptor) { ::epoll_ctl(poll_.get(), EPOLL_CTL_DEL, descriptor, nullptr); }

const std::vector<Poller::Ready>& Poller::wait(Deadline deadline) {
  ready_.clear();
  std::array<epoll_event, 256> events;
  const auto remaining_ms = std::chrono::ceil<std::chrono::milliseconds>(deadline - Steady::now()).count();
  const int count = ::epoll_wait(poll_.get(), events.data(), static_cast<int>(events.size()),
                                 static_cast<int>(std::clamp<long long>(remaining_ms, 0, 3'600'000)));
  if (count < 0 && errno != EINTR) throw_system_error("epoll_wait");
  for (int index = 0; index < count; ++index) {
    const auto& event = events[static_cast<std::size_t>(index)];
    if (event.data.u64 == kWakeKey) {
      std::uint64_t counter = 0;
      [[maybe_unused]] const auto read_bytes = ::read(wake_.get(), &counter, sizeof(counter));
      continue;
    }
    const bool broken = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    ready_.push_back(
        {event.data.u64, broken || (event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0});
  }
  return ready_;
}

void Poller::wake() {
  const std::uint64_t increment = 1;
  [[maybe_unused]] const auto written = ::write(wake_.get(), &increment, sizeof(increment));
}

std::optional<std::size_t> read_now(const Socket& socket, std::span<char> buffer) {
  const auto received = ::recv(socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (received >= 0) return static_cast<std::size_t>(received);
  if (errno == EAGAIN || errno == EINTR) return std::nullopt;
  throw_system_error("cannot read from the socket");
}

std::size_t write_now(const Socket& socket, std::string_view bytes) {
  const auto sent = ::send(socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent >= 0) return static_cast<std::size_t>(sent);
  if (errno == EAGAIN || errno == EINTR) return 0;
  throw_system_error("cannot write to the socket");
}

}  // namespace ospreypost::net
