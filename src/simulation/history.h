// A recorded day, as far as it tells of the fleet: what came to the governor, in times of one clock that
// starts with the record. What the governor ordered is not here.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::simulation {

// What a proxy met at one replica over a report's span.
struct ReplicaLine {
  ReplicaId replica{};
  std::uint32_t attempts = 0, failed = 0;
  Nanos mean_latency{};  // of the handled ones
  std::vector<float> load;
};

struct DemandLine {
  ClassId cls{};
  std::uint32_t operations = 0, unanswered = 0;
};

// One report of one proxy, over the span from `from` to `to`; times of the sender's clock are brought to ours
// by the shortest way that was seen.
struct Report {
  ProxyId proxy{};
  Nanos from{}, to{}, arrived{};
  std::vector<ReplicaLine> replica_lines;
  std::vector<DemandLine> demand_lines;
  double seconds() const { return std::chrono::duration<double>(to - from).count(); }
};

// News of the list; `entries` is empty where it could not be read.
struct ListEvent {
  Nanos at{};
  EndpointListKind kind = EndpointListKind::changes;
  bool failed = false;
  std::vector<EndpointUpdate> entries;
};

struct Membership {
  Nanos at{};
  ProxyId proxy{};
  bool joined = true;
  ZoneId zone{};
  double usual_rate = 0;
  bool fresh = true;
};

struct Acknowledgement {
  ProxyId proxy{};
  Nanos took{};
};

struct PeerMessage {
  Nanos at{};
  PeerId peer{};
  std::string message;
};

// From a governor's start to the last thing it was told.
struct Incarnation {
  Nanos from{}, to{};
};

struct History {
  std::string configuration;  // of the first life
  Nanos length{};
  std::vector<Incarnation> lives;
  std::vector<Report> reports;  // by arrival
  std::vector<ListEvent> lists;
  std::vector<Membership> memberships;
  std::vector<Acknowledgement> applied;
  std::vector<PeerMessage> peers;
  // One id for each name through all lives, whatever number each life gave it.
  std::vector<std::string> replicas;
  // Reports whose proxy and delay the record does not tell (schema 1): attributed by their order.
  std::uint64_t guessed = 0;
  // Calls that were not kept, and stretches that are damaged.
  std::uint64_t lost = 0, damaged = 0;
};

}  // namespace ospreypost::simulation
