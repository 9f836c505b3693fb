#include "net/cancellation_event.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstring>

namespace ospreypost::net {

CancellationEvent::CancellationEvent() : event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!event_) throw Error(std::string("eventfd: ") + std::strerror(errno));
}

void CancellationEvent::set() {
  const std::uint64_t once = 1;
  [[maybe_unused]] const auto put = ::write(event_.get(), &once, sizeof(once));
}

void CancellationEvent::clear() {
  std::uint64_t times = 0;
  [[maybe_unused]] const auto got = ::read(event_.get(), &times, sizeof(times));
}

}  // namespace ospreypost::net
