#include "fakes/caching_client.h"

namespace ospreypost::fakes {
namespace {

using std::chrono::nanoseconds;

nanoseconds now() { return std::chrono::steady_clock::now().time_since_epoch(); }

}  // namespace

CachingClient::CachingClient(const std::string& name, const OperationClass& cls, nanoseconds interval,
                             nanoseconds cache_time, std::uint64_t first_id, checker::Trace& trace,
                             std::uint32_t seed)
    : name_(name),
      cls_(cls),
      interval_(interval),
      cache_time_(cache_time),
      next_id_(first_id),
      trace_(trace),
      generator_(seed) {}

void CachingClient::start(const net::Address& dns) {
  dns_ = dns;
  thread_ = net::Thread(
      "caching-client", [this] { send_periodically(); }, 2 * net::kSmallStack);
}

void CachingClient::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void CachingClient::send_periodically() {
  nanoseconds resolved_at{};
  std::unique_lock held(lock_);
  while (!changed_.wait_for(held, interval_, [this] { return stopping_; })) {
    held.unlock();
    if (cached_.targets.empty() || now() >= resolved_at + cache_time_) {
      auto resolved = resolve(dns_, name_);
      if (!resolved.targets.empty()) cached_ = std::move(resolved), resolved_at = now();
    }
    checker::Operation operation{now(), next_id_++, cls_.name, std::nullopt};
    if (send_operation(operation.id)) operation.answered_at = now();
    // Operations only count once the client has resolved a proxy.
    if (!cached_.targets.empty()) trace_.add(std::move(operation));
    held.lock();
  }
}

bool CachingClient::send_operation(std::uint64_t id) {
  // A client sends the operation to a second proxy if the first one can't be reached or answers 503, which
  // means that nothing was executed.
  std::vector<const Target*> order;
  for (const auto& target : cached_.targets) order.push_back(&target);
  std::shuffle(order.begin(), order.end(), generator_);
  std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) { return a->priority < b->priority; });
  if (order.size() > 2) order.resize(2);
  const auto deadline = net::Steady::now() + cls_.request_deadline;
  for (const auto* target : order) {
    try {
      http::Connection connection(net::connect(target->address, deadline));
      http::Request request;
      request.method = "POST";
      request.target = "/op/" + std::to_string(id) + "?class=" + cls_.name + "&from=terminal";
      request.keep_alive = false;
      try {
        connection.write(request, target->address.text(), deadline);
        const auto response = connection.read_response(100'000, deadline);
        if (response.status != 503) return response.status == 200;
      } catch (const net::Error&) {
        return false;
      }
    } catch (const net::Error&) {
      // The connection failed, so the operation wasn't executed and the next proxy may be tried.
    }
  }
  return false;
}

}  // namespace ospreypost::fakes
