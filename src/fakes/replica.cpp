#include "fakes/replica.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>

namespace ospreypost::fakes {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr std::size_t kStackBytes = 128 * 1024;

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

// The replica process from a start to the next crash. Its destructor joins its threads.
struct Replica::Process {
  Process(const ReplicaConfig& config, checker::Trace& trace, bool cold)
      : config(config),
        trace(trace),
        started_at(now()),
        initial_warm_up_capacity(cold ? config.initial_warm_up_capacity : 1),
        listener(net::listen_tcp(config.address, 64)),
        workers("replica", config.max_connections, 4, kStackBytes) {
    trace.add(checker::Started{started_at, config.name, config.cores * config.speed, initial_warm_up_capacity,
                               config.warm_up_duration});
    listener_thread = net::Thread(
        "replica", [this] { listen(); }, kStackBytes);
  }
  ~Process() {
    {
      const std::lock_guard held(lock);
      stopped = true;
      for (const int descriptor : open_connections) net::shut_down(descriptor);
    }
    changed.notify_all();
    workers.stop();
    listener_thread.join();
  }

  void listen() {
    while (!stopped) {
      try {
        auto accepted = net::accept(listener, net::Steady::now() + 50ms);
        if (!accepted) continue;
        if (fault == Fault::refuse) {
          accepted->first.reset_on_close();
          continue;
        }
        const auto socket = std::make_shared<net::Socket>(std::move(accepted->first));
        workers.take([this, socket] { serve(std::move(*socket)); });
      } catch (const net::Error&) {
        // A failed accept must not end the listener: the next connection may succeed.
      }
    }
  }

  void serve(net::Socket socket) {
    const int descriptor = socket.get();
    {
      const std::lock_guard held(lock);
      if (stopped) return;
      open_connections.insert(descriptor);
    }
    http::Connection connection(std::move(socket));
    http::Limits limits;
    limits.idle = 30s;
    try {
      while (!stopped) {
        const auto request = connection.read_request(limits);
        if (!request) break;
        const auto response = answer(*request);
        // After a crash, the client sees a connection reset instead of an orderly close.
        if (stopped) connection.socket().reset_on_close();
        if (!response) break;
        connection.write(*response, net::Steady::now() + 1s);
        if (!response->keep_alive) break;
      }
    } catch (const net::Error&) {
    }
    const std::lock_guard held(lock);
    open_connections.erase(descriptor);
  }

  // Returns an empty result if the connection must be closed without an answer.
  std::optional<http::Response> answer(const http::Request& request) {
    if (request.target == "/load") return load();
    const auto operation = operation_of(request.target);
    if (!operation) return http::Response{400, "text/plain", "no operation\n", std::nullopt, true};
    trace.add(checker::Arrived{now(), config.name, operation->id, operation->work_seconds});
    if (fault == Fault::hang) {
      std::unique_lock held(lock);
      changed.wait(held, [this] { return stopped || fault != Fault::hang; });
      return std::nullopt;
    }
    if (fault == Fault::fast_errors && fails_fast(*operation))
      return http::Response{500, "text/plain", "failed\n", std::nullopt, true};
    if (!acquire_core(*operation)) return refused();
    trace.add(checker::Effect{now(), config.name, operation->id});
    const bool done = execute(operation->work_seconds);
    release_core();
    if (!done) return std::nullopt;
    if (fault == Fault::silent) {
      std::unique_lock held(lock);
      changed.wait(held, [this] { return stopped || fault != Fault::silent; });
      return std::nullopt;
    }
    auto response = load();
    response.status = 200;
    return response;
  }

  // Selects the fraction `factor` of the operations by a hash of their ids, so that each run selects the same
  // operations.
  bool fails_fast(const Operation& operation) const {
    return static_cast<double>(operation.id * 2654435761U % 1000) < factor * 1000;
  }

  static http::Response refused() { return {503, "text/plain", "full\n", std::nullopt, true}; }

  http::Response load() {
    const std::lock_guard held(lock);
    return {200, "application/json", "{\"util\":" + std::to_string(busy / config.cores) + "}", std::nullopt,
            true};
  }

  // Waits for a free core. Returns false, and the operation is not executed, if the queue is full, the
  // operation expires before a core is free, or the replica is stopped.
  bool acquire_core(const Operation& operation) {
    std::unique_lock held(lock);
    if (queued >= config.max_queued) return false;
    ++queued;
    const auto timeout = std::max<nanoseconds>(operation.expires - now(), 0ns);
    const bool acquired =
        changed.wait_for(held, timeout, [this] { return stopped || busy < config.cores; }) && !stopped;
    --queued;
    if (acquired) busy += 1;
    return acquired;
  }

  void release_core() {
    const std::lock_guard held(lock);
    busy -= 1;
    changed.notify_all();
  }

  // Returns false if the replica is stopped before the operation is finished.
  bool execute(double work_seconds) {
    const double progress = config.warm_up_duration > 0ns
                                ? std::chrono::duration<double>(now() - started_at) / config.warm_up_duration
                                : 1;
    const double capacity =
        initial_warm_up_capacity + (1 - initial_warm_up_capacity) * std::clamp(progress, 0.0, 1.0);
    const double slowdown = fault == Fault::slow ? factor.load() : 1;
    const nanoseconds duration(std::llround(work_seconds / config.speed / capacity * slowdown * 1e9));
    std::unique_lock held(lock);
    changed.wait_for(held, duration, [this] { return stopped.load(); });
    changed.wait(held, [this] { return stopped || fault != Fault::pause; });
    return !stopped;
  }

  const ReplicaConfig& config;
  checker::Trace& trace;
  const nanoseconds started_at;
  const double initial_warm_up_capacity;
  std::atomic<bool> stopped = false;
  std::atomic<Fault> fault = Fault::none;
  std::atomic<double> factor = 1;
  std::mutex lock;
  std::condition_variable changed;
  double busy = 0;
  std::size_t queued = 0;
  std::set<int> open_connections;
  net::Socket listener;
  net::ThreadPool workers;
  net::Thread listener_thread;
};

Replica::Replica(const ReplicaConfig& config, checker::Trace& trace) : config_(config), trace_(trace) {}

void Replica::start(bool cold) {
  crash();
  process_ = std::make_shared<Process>(config_, trace_, cold);
}

void Replica::crash() { process_.reset(); }

void Replica::set_fault(Fault fault, double factor) {
  if (!process_) return;
  {
    const std::lock_guard held(process_->lock);
    process_->fault = fault;
    process_->factor = factor;
  }
  process_->changed.notify_all();
}

}  // namespace ospreypost::fakes
