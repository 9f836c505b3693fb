#include "fakes/caching_client.h"

namespace ospreypost::fakes {
namespace {

using std::chrono::nanoseconds;

nanoseconds now() { return std::chrono::steady_clock::now().time_since_epoch(); }

}  // namespace

CachingClient::CachingClient(const std::string& name, const OperationClass& cls, nanoseconds every,
                             nanoseconds hold, std::uint64_t first_id, checker::Trace& trace,
                             std::uint32_t seed)
    : name_(name), cls_(cls), every_(every), hold_(hold), next_id_(first_id), trace_(trace), chance_(seed) {}

void CachingClient::start(const net::Address& dns) {
  dns_ = dns;
  thread_ = net::Thread(
      "terminal", [this] { work(); }, 2 * net::kSmallStack);
}

void CachingClient::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void CachingClient::work() {
  nanoseconds asked_at{};
  std::unique_lock held(lock_);
  while (!changed_.wait_for(held, every_, [this] { return stopping_; })) {
    held.unlock();
    if (held_.targets.empty() || now() >= asked_at + hold_) {
      auto resolved = resolve(dns_, name_);
      if (!resolved.targets.empty()) held_ = std::move(resolved), asked_at = now();
    }
    checker::Operation operation{now(), next_id_++, cls_.name, std::nullopt};
    if (operate(operation.id)) operation.answered = now();
    // Before it knows anybody at all, it has nothing to ask for.
    if (!held_.targets.empty()) trace_.add(std::move(operation));
    held.lock();
  }
}

bool CachingClient::operate(std::uint64_t id) {
  // Like a person: one more go, at another proxy, if the first says that nothing was done.
  std::vector<const Target*> order;
  for (const auto& target : held_.targets) order.push_back(&target);
  std::shuffle(order.begin(), order.end(), chance_);
  std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) { return a->priority < b->priority; });
  if (order.size() > 2) order.resize(2);
  const auto until = net::Steady::now() + cls_.request_deadline;
  for (const auto* target : order) {
    try {
      http::Connection connection(net::connect(target->address, until));
      http::Request request;
      request.method = "POST";
      request.target = "/op/" + std::to_string(id) + "?class=" + cls_.name + "&from=terminal";
      request.keep_alive = false;
      try {
        connection.write(request, target->address.text(), until);
        const auto response = connection.read_response(100'000, until);
        if (response.status != 503) return response.status == 200;
      } catch (const net::Error&) {
        return false;
      }
    } catch (const net::Error&) {
      // Not even connected: it cannot have run.
    }
  }
  return false;
}

}  // namespace ospreypost::fakes
