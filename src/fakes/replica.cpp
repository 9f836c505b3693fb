#include "fakes/replica.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>

namespace ospreypost::fakes {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr std::size_t kStack = 128 * 1024;

nanoseconds now() { return std::chrono::steady_clock::now().time_since_epoch(); }

struct Operation {
  std::uint64_t id = 0;
  double work_seconds = 0;
  nanoseconds expires{};
};

std::optional<std::uint64_t> number_after(std::string_view text, std::string_view key) {
  const auto at = text.find(key);
  if (at == std::string_view::npos) return std::nullopt;
  std::uint64_t value = 0;
  const auto* begin = text.data() + at + key.size();
  if (std::from_chars(begin, text.data() + text.size(), value).ec != std::errc{}) return std::nullopt;
  return value;
}

std::optional<Operation> operation_of(const std::string& target) {
  const auto id = number_after(target, "/op/"), work = number_after(target, "work_us="),
             expires = number_after(target, "expires_ms=");
  if (!id || !work || !expires) return std::nullopt;
  return Operation{*id, static_cast<double>(*work) / 1e6, now() + *expires * 1ms};
}

}  // namespace

// From one start to the next crash. Its threads are joined by whoever crashes it.
struct Replica::Life {
  Life(const ReplicaShape& shape, checker::Trace& trace, bool cold)
      : shape(shape),
        trace(trace),
        begun(now()),
        initial_warm_up_capacity(cold ? shape.initial_warm_up_capacity : 1),
        listener(net::listen_tcp(shape.address, 64)),
        crew("replica", shape.most_connections, 4, kStack) {
    trace.add(checker::Started{begun, shape.name, shape.cores * shape.speed, initial_warm_up_capacity,
                               shape.warm_up_duration});
    listening = net::Thread(
        "replica", [this] { listen(); }, kStack);
  }
  ~Life() {
    {
      const std::lock_guard held(lock);
      dead = true;
      for (const int descriptor : open) net::shut_down(descriptor);
    }
    changed.notify_all();
    crew.stop();
    listening.join();
  }

  void listen() {
    while (!dead) {
      try {
        auto accepted = net::accept(listener, net::Steady::now() + 50ms);
        if (!accepted) continue;
        if (fault == Fault::refuse) {
          accepted->first.reset_on_close();
          continue;
        }
        const auto socket = std::make_shared<net::Socket>(std::move(accepted->first));
        crew.take([this, socket] { serve(std::move(*socket)); });
      } catch (const net::Error&) {
        // The next connection may do better.
      }
    }
  }

  void serve(net::Socket socket) {
    const int descriptor = socket.get();
    {
      const std::lock_guard held(lock);
      if (dead) return;
      open.insert(descriptor);
    }
    http::Connection connection(std::move(socket));
    http::Limits limits;
    limits.idle = 30s;
    try {
      while (!dead) {
        const auto request = connection.read_request(limits);
        if (!request) break;
        const auto response = answer(*request);
        // A crash breaks the connection rather than ending it.
        if (dead) connection.socket().reset_on_close();
        if (!response) break;
        connection.write(*response, net::Steady::now() + 1s);
        if (!response->keep_alive) break;
      }
    } catch (const net::Error&) {
    }
    const std::lock_guard held(lock);
    open.erase(descriptor);
  }

  // Empty where the connection breaks without an answer.
  std::optional<http::Response> answer(const http::Request& request) {
    if (request.target == "/load") return load();
    const auto operation = operation_of(request.target);
    if (!operation) return http::Response{400, "text/plain", "no operation\n", std::nullopt, true};
    trace.add(checker::Arrived{now(), shape.name, operation->id, operation->work_seconds});
    if (fault == Fault::hang) {
      std::unique_lock held(lock);
      changed.wait(held, [this] { return dead || fault != Fault::hang; });
      return std::nullopt;
    }
    if (fault == Fault::fast_errors && fails(*operation))
      return http::Response{500, "text/plain", "failed\n", std::nullopt, true};
    if (!begin(*operation)) return refused();
    trace.add(checker::Effect{now(), shape.name, operation->id});
    const bool done = work(operation->work_seconds);
    end();
    if (!done) return std::nullopt;
    if (fault == Fault::silent) {
      std::unique_lock held(lock);
      changed.wait(held, [this] { return dead || fault != Fault::silent; });
      return std::nullopt;
    }
    auto response = load();
    response.status = 200;
    return response;
  }

  // A share of them, the same ones each day.
  bool fails(const Operation& operation) const {
    return static_cast<double>(operation.id * 2654435761U % 1000) < factor * 1000;
  }

  static http::Response refused() { return {503, "text/plain", "full\n", std::nullopt, true}; }

  http::Response load() {
    const std::lock_guard held(lock);
    return {200, "application/json", "{\"util\":" + std::to_string(busy / shape.cores) + "}", std::nullopt,
            true};
  }

  // Waits for a core. False if the queue is full, or the operation expired first: it is not begun then.
  bool begin(const Operation& operation) {
    std::unique_lock held(lock);
    if (queued >= shape.most_queued) return false;
    ++queued;
    const auto wait = std::max<nanoseconds>(operation.expires - now(), 0ns);
    const bool mine = changed.wait_for(held, wait, [this] { return dead || busy < shape.cores; }) && !dead;
    --queued;
    if (mine) busy += 1;
    return mine;
  }

  void end() {
    const std::lock_guard held(lock);
    busy -= 1;
    changed.notify_all();
  }

  // False if the replica died meanwhile.
  bool work(double work_seconds) {
    const double age = shape.warm_up_duration > 0ns
                           ? std::chrono::duration<double>(now() - begun) / shape.warm_up_duration
                           : 1;
    const double warmth =
        initial_warm_up_capacity + (1 - initial_warm_up_capacity) * std::clamp(age, 0.0, 1.0);
    const double slower = fault == Fault::slow ? factor.load() : 1;
    const nanoseconds takes(std::llround(work_seconds / shape.speed / warmth * slower * 1e9));
    std::unique_lock held(lock);
    changed.wait_for(held, takes, [this] { return dead.load(); });
    changed.wait(held, [this] { return dead || fault != Fault::pause; });
    return !dead;
  }

  const ReplicaShape& shape;
  checker::Trace& trace;
  const nanoseconds begun;
  const double initial_warm_up_capacity;
  std::atomic<bool> dead = false;
  std::atomic<Fault> fault = Fault::none;
  std::atomic<double> factor = 1;
  std::mutex lock;
  std::condition_variable changed;
  double busy = 0;
  std::size_t queued = 0;
  std::set<int> open;
  net::Socket listener;
  net::ThreadPool crew;
  net::Thread listening;
};

Replica::Replica(const ReplicaShape& shape, checker::Trace& trace) : shape_(shape), trace_(trace) {}

void Replica::start(bool cold) {
  crash();
  life_ = std::make_shared<Life>(shape_, trace_, cold);
}

void Replica::crash() { life_.reset(); }

void Replica::suffer(Fault fault, double factor) {
  if (!life_) return;
  {
    const std::lock_guard held(life_->lock);
    life_->fault = fault;
    life_->factor = factor;
  }
  life_->changed.notify_all();
}

}  // namespace ospreypost::fakes
