// A model of the fleet that a record tells of: what its replicas can do and what befell them, and how its
// clients behave. Pure.
#pragma once

#include <string>
#include <vector>

#include "checker/invariant_checker.h"
#include "dns/client_ttl_policy.h"
#include "policy/controller.h"
#include "simulation/history.h"

namespace ospreypost::simulation {

// What another configuration says, as far as a played day needs it.
struct Deployment {
  Settings settings;
  std::uint64_t seed = 1;
  std::vector<std::string> proxies, classes, zones;  // by id
  std::vector<bool> pushed;                          // by proxy: gets its tables without asking
  dns::ClientTtlLimits lifetimes;
  checker::Limits limits;
};

// What the record cannot tell is assumed to have gone well, ill, or half of each.
enum class Assumption { optimistic, middle, pessimistic };

// A replica fails, or is slow, for some time.
struct Spell {
  Nanos from{}, to{};
  double failure_ratio = 0;  // share of its tries
  double slowdown = 1;       // times as long
  double not_run_ratio = 0;  // share of the failed tries that did no work and may be tried again
  double hang_ratio = 0;     // share of the other failed tries that are given up on, not answered
};

struct ReplicaModel {
  ZoneId zone{};
  HardwareKindId kind{};
  double slowness = 1;  // of what an operation takes on the average replica
  double cores = 1;     // operations in work at a time
  bool seen = false;    // its own figures; else those of its kind
  std::vector<Spell> spells;
};

struct Fleet {
  std::vector<ReplicaModel> replicas;  // by the record's ids
  std::vector<double> work;            // seconds, by class, on the average replica
  double variation = 0;                // of that, as a share: standard deviation; sums do not tell it
  double initial_warm_up_capacity = 1;
  Nanos warm_up_duration{};
  std::vector<double> repeats;  // by class: how often a client comes again after a failure, 0 to 0.95
  Nanos push_time{};            // until a proxy that is pushed to goes by it
  bool cores_seen = false, cold_seen = false;
  double unseen = 0;  // share of all replicas' listed time in which nobody tried them and it matters
};

// Throws std::invalid_argument if the two do not go together (whatif/check.h). `take` says which reports may
// teach it the standing figures (work, speed, cores, repeats); what befell the replicas is read from all.
Fleet fit(const History& history, const Deployment& deployment, Assumption assumption,
          const std::vector<bool>& take = {});

}  // namespace ospreypost::simulation
