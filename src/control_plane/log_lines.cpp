#include "control_plane/log_lines.h"

#include <spdlog/spdlog.h>

#include <cstdlib>

namespace ospreypost::control_plane {

std::string with_replica_name(std::string_view line,
                              const std::function<std::string_view(ReplicaId)>& name_of) {
  constexpr std::string_view word = "replica ";
  std::string named(line);
  if (const auto at = named.find(word); at != std::string::npos) {
    const auto digits = at + word.size();
    const auto end = named.find_first_not_of("0123456789", digits);
    const auto id = std::strtoul(named.c_str() + digits, nullptr, 10);
    const auto name = name_of(ReplicaId{static_cast<std::uint32_t>(id)});
    if (!name.empty()) named.replace(digits, end - digits, name);
  }
  return named;
}

void RateLimitedLogger::add(const std::string& what) {
  const Nanos now = std::chrono::steady_clock::now().time_since_epoch();
  const std::lock_guard held(lock_);
  ++since_;
  if (last_ != Nanos{} && now - last_ < every_) return;
  log_->warn("{} such since the last line; the newest: {}", since_, what);
  last_ = now;
  since_ = 0;
}

}  // namespace ospreypost::control_plane
