// A model of the recorded fleet: the capacity of its replicas, their faults, and how its clients retry.
// Fitting has no side effects.
#pragma once

#include <string>
#include <vector>

#include "checker/invariant_checker.h"
#include "dns/client_ttl_policy.h"
#include "policy/controller.h"
#include "simulation/history.h"

namespace ospreypost::simulation {

// The parts of a configuration that a simulated run needs.
struct Deployment {
  Settings settings;
  std::uint64_t seed = 1;
  std::vector<std::string> proxies, classes, zones;  // by id
  std::vector<bool> pushed;                          // by proxy: the control plane pushes tables to the proxy
  dns::ClientTtlLimits lifetimes;
  checker::Limits limits;
};

// What is assumed about events that the record leaves open: they went well, badly, or half way between.
enum class Assumption { optimistic, middle, pessimistic };

// A period in which a replica fails attempts or is slow.
struct Spell {
  Nanos from{}, to{};
  double failure_ratio = 0;  // failed attempts per attempt
  double slowdown = 1;       // factor on the service time
  double not_run_ratio = 0;  // share of the failed attempts that did no work and may be retried
  double hang_ratio = 0;     // share of the other failed attempts that end by timeout, without an answer
};

struct ReplicaModel {
  ZoneId zone{};
  HardwareKindId kind{};
  double slowness = 1;  // service time relative to the average replica
  double cores = 1;     // number of attempts served at the same time
  bool seen = false;    // whether the replica's own figures were measured; else those of its kind are used
  std::vector<Spell> spells;
};

struct Fleet {
  std::vector<ReplicaModel> replicas;  // by the record's ids
  std::vector<double> work;            // by class: service time in seconds on the average replica
  double variation =
      0;  // relative standard deviation of the service time; assumed, as reports hold only sums
  double initial_warm_up_capacity = 1;
  Nanos warm_up_duration{};
  std::vector<double> repeats;  // by class: probability that a client repeats a failed request, 0 to 0.95
  Nanos push_time{};            // delay until a proxy applies a table that is pushed to it
  bool cores_seen = false, cold_seen = false;  // whether reports showed the cores, and the warm-up
  // Share of all replicas' recorded time that has no attempts and follows or precedes a failure.
  double unseen = 0;
};

// Throws std::invalid_argument if history and deployment do not fit together (simulation/history_check.h).
// `training_reports` selects the reports (by index; empty: all) from which the steady figures are fitted:
// work, speed, cores and warm-up. Faults and repeats are always fitted from all reports.
Fleet fit(const History& history, const Deployment& deployment, Assumption assumption,
          const std::vector<bool>& training_reports = {});

}  // namespace ospreypost::simulation
