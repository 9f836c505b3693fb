// A scripted day as its file gives it.
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
struct ResolverBetween {
  std::vector<std::string> proxies;
  double factor = 1;
};
struct Terminals {
  std::string zone, cls;
  std::size_t count = 1;
  Nanos every{}, hold{};
};
struct ClassTraffic {
  std::string name;
  double rate = 0;  // operations a second
  Nanos work{};
};

enum class TroubleKind {
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
  TroubleKind kind{};
  std::string text;  // as the file calls it
  Nanos at{}, lasts{};
  Nanos second{};                 // crash: until the roll notices; drain: until it leaves
  double factor = 1;              // slower; or the share of operations that fail; or how many times as many
  std::vector<std::string> whom;  // replicas or proxies; of a cut between zones, the zone
  std::string becomes;            // of the roll, or of what is pushed
};

// Again and again a replica drains, and while that is pushed the governor or a proxy's receiver dies.
struct CrashSchedule {
  Nanos from{}, to{}, every{}, off{}, within{};
  double governor = 0;  // share of the deaths that are the governor's
  std::vector<std::string> replicas, proxies;
};

struct Scenario {
  std::string name;
  Nanos length{};
  std::uint32_t seed = 1;
  std::string governor_path;
  std::vector<ReplicaGroup> replicas;
  std::vector<ResolverBetween> resolvers;
  std::vector<Terminals> terminals;
  std::vector<ClassTraffic> traffic;
  std::vector<Fault> troubles;
  std::vector<CrashSchedule> deaths;
};

// Throws config::Faulty. Names are checked against the governor's configuration.
Scenario parse_scenario(std::string_view text, const std::string& label, const std::string& folder);
Scenario read_scenario(const std::string& path);
// What the deaths come to, by the script's seed.
std::vector<Fault> drawn(const Scenario& script);
void check_names(const Scenario& script, const config::Config& config);

}  // namespace ospreypost::scenario
