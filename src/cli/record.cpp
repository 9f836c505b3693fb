#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "cli/commands.h"
#include "config/config.h"
#include "net/socket.h"
#include "record/dump.h"
#include "record/edit.h"
#include "record/summary.h"
#include "replay/anonymise.h"
#include "replay/export_scenario.h"
#include "replay/history.h"
#include "scenario/scenario.h"
#include "terms/deployment.h"

namespace ospreypost::cli {
namespace {

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

std::string date_of(Nanos wall) {
  if (wall == Nanos{}) return "unknown";
  const std::time_t whole = std::chrono::floor<std::chrono::seconds>(wall).count();
  std::tm utc{};
  char text[40];
  ::gmtime_r(&whole, &utc);
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

Nanos time_of(const std::string& text, const char* option) {
  const auto time = config::parse_duration(text);
  if (!time)
    throw config::ConfigError(std::string(option) +
                              " expects a time since the beginning of the record, such as '90 s'");
  return *time;
}

record::TimeWindow window_of(const RecordOptions& options) {
  record::TimeWindow window;
  if (!options.from.empty()) window.from = time_of(options.from, "--from");
  if (!options.to.empty()) window.to = time_of(options.to, "--to");
  if (window.to < window.from) throw config::ConfigError("--to is before --from");
  return window;
}

nlohmann::json json_of(const record::RecordSummary& contents) {
  nlohmann::json json = {
      {"lives", contents.incarnations}, {"calls", contents.events}, {"orders", contents.actions}};
  for (const auto& file : contents.files) {
    json["files"].push_back({{"path", file.path},
                             {"schema", file.header.schema},
                             {"begun", date_of(file.header.wall_time)},
                             {"seconds", seconds(file.duration)},
                             {"bytes", file.bytes},
                             {"unpacked", file.unpacked_bytes},
                             {"blocks", file.blocks},
                             {"entries", file.entries},
                             {"lost", file.corruption.lost_entries},
                             {"damaged", file.corruption.corrupt_regions}});
  }
  return json;
}

void print(const record::RecordSummary& contents) {
  for (const auto& file : contents.files) {
    std::printf("%s\n  schema %u, begun %s, %.1f s; %llu entries in %llu blocks, %llu bytes, %llu unpacked",
                file.path.c_str(), file.header.schema, date_of(file.header.wall_time).c_str(),
                seconds(file.duration), static_cast<unsigned long long>(file.entries),
                static_cast<unsigned long long>(file.blocks), static_cast<unsigned long long>(file.bytes),
                static_cast<unsigned long long>(file.unpacked_bytes));
    if (file.corruption.lost_entries + file.corruption.corrupt_regions > 0) {
      std::printf("; partial: %llu entries were not kept, %llu stretches are damaged",
                  static_cast<unsigned long long>(file.corruption.lost_entries),
                  static_cast<unsigned long long>(file.corruption.corrupt_regions));
    }
    std::printf("\n");
  }
  std::printf("%llu starts of a governor\n", static_cast<unsigned long long>(contents.incarnations));
  for (const auto& [title, counts] :
       {std::pair("calls", &contents.events), std::pair("orders", &contents.actions)}) {
    std::printf("%s:", title);
    for (const auto& [word, count] : *counts)
      std::printf(" %s %llu", word.c_str(), static_cast<unsigned long long>(count));
    std::printf("\n");
  }
}

}  // namespace

int record_info(const RecordOptions& options) {
  const auto contents = record::summarize(record::list_files(options.records));
  options.json ? void(std::printf("%s\n", json_of(contents).dump().c_str())) : print(contents);
  return 0;
}

int record_dump(const RecordOptions& options) {
  record::dump(record::list_files(options.records), window_of(options), options.json,
               [&](Nanos at, const std::string& line) {
                 options.json ? std::printf("%s\n", line.c_str())
                              : std::printf("%.6f %s\n", seconds(at), line.c_str());
               });
  return 0;
}

int record_cut(const RecordOptions& options) {
  const auto left_out = record::cut(record::list_files(options.records), window_of(options), options.out);
  std::printf("%llu entries were left out\n", static_cast<unsigned long long>(left_out));
  return 0;
}

int record_merge(const RecordOptions& options) {
  record::merge(record::list_files(options.records), options.out);
  return 0;
}

int record_anonymise(const RecordOptions& options) {
  replay::anonymise(record::list_files(options.records), options.out);
  return 0;
}

int record_export_day(const RecordOptions& options) {
  namespace fs = std::filesystem;
  const auto history = replay::read_history(record::list_files(options.records));
  const auto config = config::parse_config(history.configuration, "the recorded configuration");
  const auto deployment = terms::deployment_of(config);
  try {
    const auto fleet = simulation::fit(history, deployment, simulation::Assumption::middle);
    const auto made =
        replay::export_scenario(history, deployment, fleet, config.kinds, "recorded", "governor.xml");
    const auto day = (fs::path(options.out) / "day.xml").string();
    // Parses the scenario before writing it, so that only a scenario that can be played is written.
    scenario::parse_scenario(made.scenario, day, options.out);
    std::error_code failed;
    fs::create_directories(options.out, failed);
    for (const auto& [name, text] :
         {std::pair(day, &made.scenario),
          std::pair((fs::path(options.out) / "governor.xml").string(), &made.configuration)}) {
      if (fs::exists(name)) throw net::Error(name + " already exists");
      std::ofstream file(name, std::ios::binary);
      file << *text;
      if (!file.flush()) throw net::Error("cannot write " + name);
    }
    std::printf("%s\n", day.c_str());
  } catch (const std::invalid_argument& error) {
    throw config::ConfigError(error.what());
  }
  return 0;
}

}  // namespace ospreypost::cli
