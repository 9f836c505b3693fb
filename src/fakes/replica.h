// Fake replica that serves HTTP/1.1 over TCP. It has a number of cores, a cold start, limits for its
// connections and its queue, and faults on demand. It adds received and executed operations to the trace.
//
//   POST /op/ID?work_us=N&expires_ms=M   200 done, 500 failed, 503 rejected before execution
//   GET /load                            {"util": fraction of the cores that are busy}
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "checker/trace.h"
#include "fakes/fault.h"
#include "http/http.h"

namespace ospreypost::fakes {

struct ReplicaConfig {
  std::string name;
  net::Address address;
  double cores = 2, speed = 1;
  double initial_warm_up_capacity = 1;
  std::chrono::nanoseconds warm_up_duration{};
  std::size_t max_connections = 96;
  std::size_t max_queued = 32;
};

class Replica {
 public:
  Replica(const ReplicaConfig& config, checker::Trace& trace);
  ~Replica() { crash(); }
  // Starts to listen. A `cold` replica begins with `initial_warm_up_capacity`, otherwise it is warm. Throws
  // net::Error if the address is in use.
  void start(bool cold);
  // Stops at once: connections are reset, and operations in progress are neither finished nor answered.
  void crash();
  void set_fault(Fault fault, double factor);
  const ReplicaConfig& config() const { return config_; }

 private:
  struct Process;
  const ReplicaConfig config_;
  checker::Trace& trace_;
  std::shared_ptr<Process> process_;
};

}  // namespace ospreypost::fakes
