// Simulates the recorded traffic on a model of the fleet, with the recorded configuration or with another
// one. A simulation has no side effects, and the same arguments give the same result.
#pragma once

#include "checker/invariant_checker.h"
#include "simulation/fleet.h"

namespace ospreypost::simulation {

// Priority weight of the requests that the proxies' reports counted in one second.
struct ReportedService {
  double worth = 0;       // of all requests
  double unanswered = 0;  // of the requests without an answer
};

// Each replica's share of the weight in the routing tables of all proxies and classes at one time.
struct TableShares {
  Nanos at{};
  std::vector<double> by_replica;
};

// A replica was ejected (`out`) or returned.
struct Withdrawal {
  Nanos at{};
  ReplicaId replica{};
  bool out = true;
};

struct SimulatedRun {
  checker::CheckResult verdict;
  std::vector<ReportedService> reported;  // indexed by the second in which a report's span ends
  std::vector<double> service;  // by second: share of the requests' priority weight that was answered in time
  std::vector<TableShares> shares;  // one entry per second
  std::vector<Withdrawal> withdrawals;
  std::uint64_t messages = 0;   // number of table updates sent to all proxies
  double worst_waiting = 0;     // maximum number of queued table entries
  std::vector<Report> reports;  // in the order in which the control plane received them
  std::uint64_t left_out = 0;   // requests at proxies whose requests other proxies forward to replicas
};

// Throws std::invalid_argument if check_history() does (simulation/history_check.h).
SimulatedRun simulate(const History& history, const Deployment& deployment, const Fleet& fleet,
                      std::uint32_t seed);

// The counts of SimulatedRun::reported, from the recorded reports.
std::vector<ReportedService> reported_service(const History& history, const Deployment& deployment);

}  // namespace ospreypost::simulation
