// What each sub-command does; each returns the exit status.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ospreypost::cli {

int serve(const std::string& config_path);
// As the operators' platform starts it: told by ROUTER_CONFIG.
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
// Of a receiver; or of a proxy's, through its governor.
int show_generations(const std::string& at, const std::string& proxy);
// `whom`: a receiver's address; or a proxy, through its governor.
int rollback(const std::string& whom, std::uint64_t version, const std::string& governor);

struct ReplayOptions {
  std::vector<std::string> records;  // folders or files, in any order
  std::string orders_of;             // another configuration, told the same; empty: the recorded one
  bool all = false;                  // every difference, not the first alone
};
// 3 if an order differs.
int replay(const ReplayOptions& options);

struct WhatIfOptions {
  std::vector<std::string> records;
  std::vector<std::string> settings;  // other configurations
  std::string report;                 // a folder for a page; empty: none
  std::size_t draws = 5;              // days played for each assumption
  bool json = false;
};
// What the recorded setting and others would have made of the day, on a model of its fleet.
int what_if(const WhatIfOptions& options);

struct RecordOptions {
  std::vector<std::string> records;
  std::string from, to;  // since the beginning, such as "90 s"; empty: no bound
  std::string out;       // a folder
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
  std::string keep;  // a folder for what the day leaves behind; empty: nothing is kept
  bool equal_weights = false;
  std::optional<std::uint32_t> seed;  // instead of the day's own
  std::string setting;                // another configuration than the day's own; empty: its own
};
// 3 if a rule was broken.
int day(const DayOptions& options);

}  // namespace ospreypost::cli
