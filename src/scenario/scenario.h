// A scenario as its file ("day") states it: the fleet, its traffic and the faults with their times.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/config.h"

namespace ospreypost::scenario {

struct ReplicaGroup {
  std::string zone, kind;
  std::size_t count = 1;
  double cores = 2, speed = 1;
};
struct CachingResolver {
  std::vector<std::string> proxies;
  double ttl_multiple = 1;
};
struct ClientGroup {
  std::string zone, cls;
  std::size_t count = 1;
  Nanos interval{}, cache_time{};
};
struct ClassTraffic {
  std::string name;
  double rate = 0;  // arrival rate in operations per second
  Nanos work{};
};

enum class FaultKind {
  crash,
  hang,
  refuse,
  fast_errors,
  pause,
  slow,
  silent,
  drain,
  cut,
  receiver_killed,
  push_fault,
  deaf,
  way_back,
  disk_full,
  second_governor,
  governor_killed,
  governor_still,
  proxy_still,
  report_late,
  vanish,
  zone_cut,
  burst,
  roll
};

struct Fault {
  FaultKind kind{};
  std::string text;  // name of the XML element that defines the fault
  Nanos at{}, duration{};
  // crash, vanish: time until the endpoint list shows the fault; drain: time until the replica leaves; burst:
  // rise time; push_fault, report_late: delay of pushes or reports.
  Nanos delay{};
  // slow: multiple of the work time; fast_errors: fraction of failed operations; burst: multiple of the
  // traffic.
  double factor = 1;
  std::vector<std::string> targets;  // names of replicas or proxies; zone_cut: name of the zone
  std::string becomes;               // roll: damage to the endpoint list file; push_fault: kind of link fault
};

// A series of crashes: in each `interval`, one replica begins to drain, and the control plane or the receiver
// of a proxy is killed while the change is being pushed.
struct CrashSchedule {
  Nanos begin{}, end{}, interval{}, downtime{}, max_delay{};
  // Fraction of the crashes that hit the control plane; the others hit the receiver of a proxy.
  double governor_fraction = 0;
  std::vector<std::string> replicas, proxies;
};

struct Scenario {
  std::string name;
  Nanos length{};
  std::uint32_t seed = 1;
  std::string governor_path;
  std::vector<ReplicaGroup> replicas;
  std::vector<CachingResolver> resolvers;
  std::vector<ClientGroup> client_groups;
  std::vector<ClassTraffic> traffic;
  std::vector<Fault> faults;
  std::vector<CrashSchedule> crash_schedules;
};

// Reading a scenario throws config::ConfigError if its text is invalid. Names in the scenario are checked
// separately, by `check_names`.
Scenario parse_scenario(std::string_view text, const std::string& label, const std::string& folder);
Scenario read_scenario(const std::string& path);
// Draws the faults of the crash schedules with the seed of the scenario.
std::vector<Fault> draw_crash_faults(const Scenario& scenario);
// Throws config::ConfigError if the scenario names a zone, kind, class, replica or proxy that doesn't exist.
void check_names(const Scenario& scenario, const config::Config& config);

}  // namespace ospreypost::scenario
