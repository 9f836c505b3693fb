// The part of a recorded run that describes the fleet: the events that the control plane received, with times
// on one clock that starts with the record. The actions of the controller are not included.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::simulation {

// Results of one proxy's attempts at one replica over the span of a report.
struct ReplicaLine {
  ReplicaId replica{};
  std::uint32_t attempts = 0, failed = 0;
  Nanos mean_latency{};     // of the successful attempts
  std::vector<float> load;  // reported load of the replica, in the order of the configured load columns
};

// Requests of one class that a proxy received over the span of a report.
struct DemandLine {
  ClassId cls{};
  std::uint32_t operations = 0, unanswered = 0;
};

// One report of one proxy, over the span from `from` to `to`. Times of the proxy's clock are converted to the
// record's clock by the shortest transit time that was observed.
struct Report {
  ProxyId proxy{};
  Nanos from{}, to{}, arrived{};
  std::vector<ReplicaLine> replica_lines;
  std::vector<DemandLine> demand_lines;
  double seconds() const { return std::chrono::duration<double>(to - from).count(); }
};

// One update of the endpoint list; `entries` is empty if the list could not be read.
struct ListEvent {
  Nanos at{};
  EndpointListKind kind = EndpointListKind::changes;
  bool failed = false;
  std::vector<EndpointUpdate> entries;
};

// A proxy joined or left.
struct Membership {
  Nanos at{};
  ProxyId proxy{};
  bool joined = true;
  ZoneId zone{};
  double usual_rate = 0;
  bool fresh = true;
};

// A proxy acknowledged a routing table with the latency `took`.
struct Acknowledgement {
  ProxyId proxy{};
  Nanos took{};
};

// A message from another control plane instance.
struct PeerMessage {
  Nanos at{};
  PeerId peer{};
  std::string message;
};

// One run of a control plane instance, from its start to the last event that it received.
struct Incarnation {
  Nanos from{}, to{};
};

struct History {
  std::string configuration;  // of the first incarnation
  Nanos length{};
  std::vector<Incarnation> lives;
  std::vector<Report> reports;  // by time of arrival
  std::vector<ListEvent> lists;
  std::vector<Membership> memberships;
  std::vector<Acknowledgement> applied;
  std::vector<PeerMessage> peers;
  // Replica names by id. A name keeps one id over all incarnations, although each incarnation numbered the
  // replicas anew.
  std::vector<std::string> replicas;
  // Number of report lines for which the record has neither proxy nor delay (schema 1); their order decides
  // which report they belong to.
  std::uint64_t guessed = 0;
  // Number of events that the record did not keep, and number of corrupt regions of its files.
  std::uint64_t lost = 0, damaged = 0;
};

}  // namespace ospreypost::simulation
