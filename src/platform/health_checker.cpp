#include "platform/health_checker.h"

#include <chrono>
#include <cstddef>
#include <exception>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/http.h"
#include "net/socket.h"
#include "platform/messages.h"
#include "policy/controller.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;

// Each replica waits at most once, so it is the list that bounds the queue.
constexpr std::size_t kMaxWaitingChecks = 65536;
constexpr std::size_t kThreadStackBytes = std::size_t{64} * 1024;
constexpr auto kCheckTimeout = 500ms;
constexpr std::string_view kHealthPath = "/stats";
constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

}  // namespace

HealthChecker::HealthChecker(std::vector<std::string> load_columns, ResultCallback on_result,
                             ErrorCallback on_error)
    : load_columns_(std::move(load_columns)),
      on_result_(std::move(on_result)),
      on_error_(std::move(on_error)),
      threads_("prober", kMaxConcurrentHealthChecks, kMaxWaitingChecks, kThreadStackBytes) {}

void HealthChecker::request(ReplicaId replica, const net::Address& address) {
  {
    const std::lock_guard lock(mutex_);
    const bool added = waiting_.insert(replica).second;
    if (!added) return;
  }
  const bool taken = threads_.take([this, replica, address] { check(replica, address); });
  if (taken) return;
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
  const auto result = fetch_result(replica, address);
  if (!cancelled_) on_result_(result);
}

HealthCheckResult HealthChecker::fetch_result(ReplicaId replica, const net::Address& address) {
  HealthCheckResult result;
  result.replica = replica;
  const auto started = net::Steady::now();
  try {
    http::Request request;
    request.target = kHealthPath;
    const auto response = http::fetch(address, request, started + kCheckTimeout, &cancellation_);
    result.refused = response.status == kStatusUnavailable;
    result.answered = response.status == kStatusOk;
    if (result.answered) result.load = parse_load_report(response.body, load_columns_);
  } catch (const MessageError& error) {
    on_error_("a load report was dropped: " + std::string(error.what()));
    result.answered = false;
  } catch (const std::exception&) {
    // Whatever kept the answer from coming, the outcome is that there is none: it is reported like any other.
  }
  result.took = net::Steady::now() - started;
  return result;
}

}  // namespace ospreypost::platform
