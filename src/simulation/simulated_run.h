// A day played on a model of its fleet, by another configuration or by the recorded one. Pure: the same
// arguments give the same day.
#pragma once

#include "checker/invariant_checker.h"
#include "simulation/fleet.h"

namespace ospreypost::simulation {

// As proxies' reports count it, over one second.
struct ReportedService {
  double worth = 0;       // of the operations that were asked for
  double unanswered = 0;  // of those that were not answered
};

// What the orders came to at a moment: each replica's share of what all proxies may pick, all classes.
struct TableShares {
  Nanos at{};
  std::vector<double> by_replica;  // by replica
};

struct Withdrawal {
  Nanos at{};
  ReplicaId replica{};
  bool out = true;
};

struct SimulatedRun {
  checker::Verdict verdict;
  std::vector<ReportedService> reported;  // by second of the reports' spans
  std::vector<double> service;            // by second: worth answered in time, of that asked for
  std::vector<TableShares> shares;        // once a second
  std::vector<Withdrawal> withdrawals;
  std::uint64_t messages = 0;   // with news, to all proxies
  double worst_waiting = 0;     // lines
  std::vector<Report> reports;  // as the governors got them
  std::uint64_t left_out = 0;   // operations at proxies that the governor served with proxies
};

// Throws std::invalid_argument if the record names proxies or classes that the deployment has not.
SimulatedRun simulate(const History& history, const Deployment& deployment, const Fleet& fleet,
                      std::uint32_t seed);

// The same counts as the record has them, up to its end.
std::vector<ReportedService> reported_service(const History& history, const Deployment& deployment);

}  // namespace ospreypost::simulation
