#include "control_plane/log_lines.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "policy/types.h"

namespace ospreypost::control_plane {

std::string with_replica_name(std::string_view line,
                              const std::function<std::string_view(ReplicaId)>& name_of) {
  constexpr std::string_view kPrefix = "replica ";
  std::string named(line);
  const auto prefix = named.find(kPrefix);
  if (prefix == std::string::npos) return named;
  const auto digits = prefix + kPrefix.size();
  const auto end = named.find_first_not_of("0123456789", digits);
  const auto number = std::strtoul(named.c_str() + digits, nullptr, 10);
  const auto name = name_of(ReplicaId{static_cast<std::uint32_t>(number)});
  if (!name.empty()) named.replace(digits, end - digits, name);
  return named;
}

void RateLimitedLogger::add(const std::string& what) {
  const Nanos now = std::chrono::steady_clock::now().time_since_epoch();
  const std::lock_guard lock(mutex_);
  count_since_last_line_ += 1;
  if (last_logged_at_ && now - *last_logged_at_ < interval_) return;
  log_->warn("{} such since the last line; the newest: {}", count_since_last_line_, what);
  last_logged_at_ = now;
  count_since_last_line_ = 0;
}

}  // namespace ospreypost::control_plane
