// Trace of a run: what the replicas and proxies observed on their sockets, and which endpoint list and faults
// the control plane was given at which time. The trace doesn't depend on the code of the control plane.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace ospreypost::checker {

using Time = std::chrono::nanoseconds;  // All times of a trace are read from one monotonic clock.

enum class EndpointPhase { ready, draining, gone };

// A replica has this phase, from `at` on, in the endpoint list that the control plane reads.
struct Listed {
  Time at{};
  std::string replica;
  EndpointPhase phase = EndpointPhase::ready;
};
// The control plane started (`up`) or stopped.
struct GovernorStatus {
  Time at{};
  bool up = true;
};
// A replica process started. `capacity` is its work per second when warm, in seconds of work; the replica
// begins with the fraction `initial_warm_up_capacity` of it and reaches the full capacity after
// `warm_up_duration`.
struct Started {
  Time at{};
  std::string replica;
  double capacity = 1;
  double initial_warm_up_capacity = 1;
  Time warm_up_duration{};
};
// A replica received an operation that takes `work_seconds` of work.
struct Arrived {
  Time at{};
  std::string replica;
  std::uint64_t operation = 0;
  double work_seconds = 0;
};
// A replica began to execute an operation, which counts as its effect.
struct Effect {
  Time at{};
  std::string replica;
  std::uint64_t operation = 0;
};
// A proxy began an attempt of an operation at a replica.
struct Sent {
  Time at{};
  std::string proxy, replica;
  std::uint64_t operation = 0;
};
// A proxy received a routing table for a class and picks targets from it until the next table.
struct Answered {
  Time at{};
  std::string proxy, cls;
  std::uint64_t version = 0;       // 0: the table has no version
  std::vector<std::string> names;  // targets: replicas, or proxies that forward to replicas
  bool replicas = true;
};
// The scenario cut (`cut`) or restored the connection between a proxy and the control plane.
struct Cut {
  Time at{};
  std::string proxy;
  bool cut = true;
};
// A client's request, including all its attempts.
struct Operation {
  Time requested_at{};
  std::uint64_t id = 0;
  std::string cls;
  std::optional<Time> answered_at;  // time of the successful answer; empty if there was none
};

// `add` may be called from several threads; the lists may only be read when these threads have ended.
class Trace {
 public:
  template <typename Record>
  void add(Record record) {
    const std::lock_guard held(lock_);
    list_of(record).push_back(std::move(record));
  }
  std::vector<Listed> listed;
  std::vector<GovernorStatus> governor_status;
  std::vector<Started> started;
  std::vector<Arrived> arrived;
  std::vector<Effect> effects;
  std::vector<Sent> sent;
  std::vector<Answered> answered;
  std::vector<Cut> cuts;
  std::vector<Operation> operations;

 private:
  std::vector<Listed>& list_of(const Listed&) { return listed; }
  std::vector<GovernorStatus>& list_of(const GovernorStatus&) { return governor_status; }
  std::vector<Started>& list_of(const Started&) { return started; }
  std::vector<Arrived>& list_of(const Arrived&) { return arrived; }
  std::vector<Effect>& list_of(const Effect&) { return effects; }
  std::vector<Sent>& list_of(const Sent&) { return sent; }
  std::vector<Answered>& list_of(const Answered&) { return answered; }
  std::vector<Cut>& list_of(const Cut&) { return cuts; }
  std::vector<Operation>& list_of(const Operation&) { return operations; }

  std::mutex lock_;
};

}  // namespace ospreypost::checker
