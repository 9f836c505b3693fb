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

constexpr std::uint64_t kWake = ~std::uint64_t{0};

[[noreturn]] void fail(const std::string& what) { throw Error(what + ": " + std::strerror(errno)); }

epoll_event event_of(std::uint64_t key, bool room) {
  epoll_event event{};
  event.events = EPOLLIN | (room ? EPOLLOUT : 0u);
  event.data.u64 = key;
  return event;
}

}  // namespace

Poller::Poller() : poll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!poll_ || !wake_) fail("epoll");
  add(wake_.get(), kWake);
}

void Poller::add(int descriptor, std::uint64_t key) {
  auto event = event_of(key, false);
  if (::epoll_ctl(poll_.get(), EPOLL_CTL_ADD, descriptor, &event) != 0) fail("epoll_ctl");
}

void Poller::set_write_interest(int descriptor, std::uint64_t key, bool wanted) {
  auto event = event_of(key, wanted);
  if (::epoll_ctl(poll_.get(), EPOLL_CTL_MOD, descriptor, &event) != 0) fail("epoll_ctl");
}

void Poller::set_read_interest(int descriptor, std::uint64_t key, bool wanted) {
  auto event = event_of(key, false);
  if (!wanted) event.events = 0;
  if (::epoll_ctl(poll_.get(), EPOLL_CTL_MOD, descriptor, &event) != 0) fail("epoll_ctl");
}

void Poller::remove(int descriptor) { ::epoll_ctl(poll_.get(), EPOLL_CTL_DEL, descriptor, nullptr); }

const std::vector<Poller::Ready>& Poller::wait(Deadline until) {
  ready_.clear();
  std::array<epoll_event, 256> events;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Steady::now()).count();
  const int count = ::epoll_wait(poll_.get(), events.data(), static_cast<int>(events.size()),
                                 static_cast<int>(std::clamp<long long>(left, 0, 3'600'000)));
  if (count < 0 && errno != EINTR) fail("epoll_wait");
  for (int n = 0; n < count; ++n) {
    const auto& event = events[static_cast<std::size_t>(n)];
    if (event.data.u64 == kWake) {
      std::uint64_t times = 0;
      [[maybe_unused]] const auto got = ::read(wake_.get(), &times, sizeof(times));
      continue;
    }
    const bool broken = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    ready_.push_back(
        {event.data.u64, broken || (event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0});
  }
  return ready_;
}

void Poller::wake() {
  const std::uint64_t once = 1;
  [[maybe_unused]] const auto put = ::write(wake_.get(), &once, sizeof(once));
}

std::optional<std::size_t> read_now(const Socket& socket, std::span<char> into) {
  const auto got = ::recv(socket.get(), into.data(), into.size(), MSG_DONTWAIT);
  if (got >= 0) return static_cast<std::size_t>(got);
  if (errno == EAGAIN || errno == EINTR) return std::nullopt;
  fail("reading");
}

std::size_t write_now(const Socket& socket, std::string_view bytes) {
  const auto put = ::send(socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (put >= 0) return static_cast<std::size_t>(put);
  if (errno == EAGAIN || errno == EINTR) return 0;
  fail("writing");
}

}  // namespace ospreypost::net
