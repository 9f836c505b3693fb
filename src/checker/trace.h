// What was seen on the sockets of replicas and proxies, and what the governor had been told and when. Knows
// nothing of the governor's code.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace ospreypost::checker {

using Time = std::chrono::nanoseconds;  // of one monotonic clock for the whole run

enum class EndpointPhase { ready, draining, gone };

// The list that the governor reads says so from then on.
struct Listed {
  Time at{};
  std::string replica;
  EndpointPhase phase = EndpointPhase::ready;
};
// A governor runs, or does no longer.
struct GovernorStatus {
  Time at{};
  bool up = true;
};
// A replica began a life: what it can do, in seconds of work a second, and how it warms.
struct Started {
  Time at{};
  std::string replica;
  double capacity = 1;
  double initial_warm_up_capacity = 1;
  Time warm_up_duration{};
};
// A replica took in an operation that costs it so much.
struct Arrived {
  Time at{};
  std::string replica;
  std::uint64_t operation = 0;
  double work_seconds = 0;
};
// An operation took effect.
struct Effect {
  Time at{};
  std::string replica;
  std::uint64_t operation = 0;
};
// A proxy began to send an operation to a replica.
struct Sent {
  Time at{};
  std::string proxy, replica;
  std::uint64_t operation = 0;
};
// What a proxy read from an answer, and so may pick from until the next.
struct Answered {
  Time at{};
  std::string proxy, cls;
  std::uint64_t version = 0;       // 0: the answer named none
  std::vector<std::string> names;  // replicas, or proxies that stand before them
  bool replicas = true;
};
// The way between a proxy and the governor is cut, by the script, or whole again.
struct Cut {
  Time at{};
  std::string proxy;
  bool cut = true;
};
// A client's operation, with all that was tried for it.
struct Operation {
  Time asked{};
  std::uint64_t id = 0;
  std::string cls;
  std::optional<Time> answered;  // with a good answer
};

// Filled from several threads, read when all have ended.
class Trace {
 public:
  template <typename Record>
  void add(Record record) {
    const std::lock_guard held(lock_);
    list_of(record).push_back(std::move(record));
  }
  std::vector<Listed> listed;
  std::vector<GovernorStatus> governing;
  std::vector<Started> started;
  std::vector<Arrived> arrived;
  std::vector<Effect> effects;
  std::vector<Sent> sent;
  std::vector<Answered> answered;
  std::vector<Cut> cuts;
  std::vector<Operation> operations;

 private:
  std::vector<Listed>& list_of(const Listed&) { return listed; }
  std::vector<GovernorStatus>& list_of(const GovernorStatus&) { return governing; }
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
