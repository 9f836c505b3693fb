// A replica on TCP (HTTP/1.1): cores, work by class, a cold start, bounded connections and queue, and faults
// on command. It records what it takes in and what takes effect.
//
//   POST /op/ID?work_us=N&expires_ms=M   200 done, 500 failed, 503 refused before it began
//   GET /load                            {"util": share of the cores at work}
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

struct ReplicaShape {
  std::string name;
  net::Address address;
  double cores = 2, speed = 1;
  double initial_warm_up_capacity = 1;
  std::chrono::nanoseconds warm_up_duration{};
  std::size_t most_connections = 96;
  std::size_t most_queued = 32;
};

class Replica {
 public:
  Replica(const ReplicaShape& shape, checker::Trace& trace);
  ~Replica() { crash(); }
  // Listens, cold if `cold`. Throws net::Error if its address is taken.
  void start(bool cold);
  // Dies at once: connections break, nothing in hand is finished or answered.
  void crash();
  void suffer(Fault fault, double factor);
  const ReplicaShape& shape() const { return shape_; }

 private:
  struct Life;
  const ReplicaShape shape_;
  checker::Trace& trace_;
  std::shared_ptr<Life> life_;
};

}  // namespace ospreypost::fakes
