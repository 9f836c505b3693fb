// The sub-commands of the program; each returns the exit status.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ospreypost::cli {

int serve(const std::string& config_path);
// Runs on the operators' platform; the environment variable ROUTER_CONFIG names the configuration.
int platform();
int check_config(const std::string& config_path);

struct ShowOptions {
  std::string what, at;
  bool json = false;
};
int show(const ShowOptions& options);

struct ReceiveOptions {
  std::string listen, folder;
  std::size_t keep = 5;
  bool no_reader = false;
};
int receive(const ReceiveOptions& options);
// Shows the generations of the receiver at address `at`; if `proxy` is given, `at` is the address of the
// control plane instance and the generations are those of that proxy.
int show_generations(const std::string& at, const std::string& proxy);
// `target`: the address of a receiver; if `governor` is given, a proxy's name, and `governor` is the address
// of its control plane instance.
int rollback(const std::string& target, std::uint64_t version, const std::string& governor);

struct ReplayOptions {
  std::vector<std::string> records;  // folders of records, or files, in any order
  std::string orders_of;  // path of another configuration to replay with; empty: the recorded configuration
  bool all = false;       // print every difference; false: the first only
};
// Returns 3 if an action differs from the record.
int replay(const ReplayOptions& options);

struct WhatIfOptions {
  std::vector<std::string> records;
  std::vector<std::string> settings;  // paths of other configurations
  std::string report;                 // folder for the report page; empty: no page
  std::size_t draws = 5;              // number of days simulated for each assumption
  bool json = false;
};
// Simulates the recorded day with the recorded and other configurations, on a model of the recorded fleet.
int what_if(const WhatIfOptions& options);

struct RecordOptions {
  std::vector<std::string> records;
  std::string from, to;  // time since the beginning of the record, such as "90 s"; empty: no bound
  std::string out;       // output folder
  bool json = false;
};
int record_info(const RecordOptions& options);
int record_dump(const RecordOptions& options);
int record_cut(const RecordOptions& options);
int record_merge(const RecordOptions& options);
int record_anonymise(const RecordOptions& options);
int record_export_day(const RecordOptions& options);

struct DayOptions {
  std::string path;
  std::string keep;  // folder for the files of the test environment; empty: the files are removed
  bool equal_weights = false;
  std::optional<std::uint32_t> seed;  // replaces the scenario's seed
  std::string setting;  // path of a configuration that replaces the scenario's; empty: the scenario's
};
// Plays a scenario. Returns 3 if a rule was broken.
int day(const DayOptions& options);

}  // namespace ospreypost::cli
