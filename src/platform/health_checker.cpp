#include "platform/health_checker.h"

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control_plane/health_check.h"
#include "net/socket.h"
#include "platform/messages.h"
#include "policy/controller.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;

// At most one check of each replica is queued, so the length of the endpoint list bounds the queue.
constexpr std::size_t kMaxWaitingChecks = 65536;
constexpr std::size_t kThreadStackBytes = std::size_t{64} * 1024;
constexpr auto kCheckTimeout = 500ms;
constexpr const char* kHealthPath = "/stats";

}  // namespace

HealthChecker::HealthChecker(std::vector<std::string> load_columns, ResultCallback on_result,
                             ErrorCallback on_error)
    : load_columns_(std::move(load_columns)),
      on_result_(std::move(on_result)),
      on_error_(std::move(on_error)),
      threads_("health-check", kMaxConcurrentHealthChecks, kMaxWaitingChecks, kThreadStackBytes) {}

void HealthChecker::request(ReplicaId replica, const net::Address& address) {
  {
    const std::lock_guard lock(mutex_);
    const bool added = waiting_.insert(replica).second;
    if (!added) return;
  }
  const bool queued = threads_.take([this, replica, address] { check(replica, address); });
  if (queued) return;
  const std::lock_guard lock(mutex_);
  waiting_.erase(replica);
}

void HealthChecker::cancel() {
  cancelled_ = true;
  cancellation_.set();
}

void HealthChecker::check(ReplicaId replica, const net::Address& address) {
  {
    const std::lock_guard lock(mutex_);
    waiting_.erase(replica);
  }
  const auto result = control_plane::run_health_check(
      {replica, address, kHealthPath, kCheckTimeout},
      [this](std::string_view body) { return parse_load(body); }, &cancellation_);
  if (!cancelled_) on_result_(result);
}

std::optional<std::vector<float>> HealthChecker::parse_load(std::string_view body) const {
  try {
    return parse_load_report(body, load_columns_);
  } catch (const MessageError& error) {
    on_error_("dropped a malformed load report: " + std::string(error.what()));
    return std::nullopt;
  }
}

}  // namespace ospreypost::platform
