#include "net/cancellation_event.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstring>

namespace ospreypost::net {

CancellationEvent::CancellationEvent() : event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!event_) throw Error(std::string("cannot create an eventfd: ") + std::strerror(errno));
}

void CancellationEvent::set() {
  const std::uint64_t increment = 1;
  [[maybe_unused]] const auto written = ::write(event_.get(), &increment, sizeof(increment));
}

void CancellationEvent::clear() {
  std::uint64_t counter = 0;
  [[maybe_unused]] const auto read_bytes = ::read(event_.get(), &counter, sizeof(counter));
}

}  // namespace ospreypost::net
