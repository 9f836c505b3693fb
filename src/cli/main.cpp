// The program: `ospreypost serve|platform|check-config|show|receive|rollback|replay|record|day`.
//
// Exit status: 0 success; 1 failure at run time; 2 fault in the command line or a file; 3 a rule was broken
// in a scenario, or a replay differs from its record.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "cli/commands.h"
#include "config/xml.h"
#include "net/socket.h"

namespace {

constexpr int kMaxAllocatorArenas = 2;

// The allocator gives threads arenas of their own, up to 8 for each core, and freed memory stays with its
// arena. What one thread after the other has used would add up to many times what is in use at any moment.
void limit_allocator_arenas() {
#ifdef __GLIBC__
  ::mallopt(M_ARENA_MAX, kMaxAllocatorArenas);
#endif
}

int run(int argc, char** argv) {
  namespace cli = ospreypost::cli;
  CLI::App app{"gives plain proxies their routing tables, based on their load reports"};
  app.require_subcommand(1);

  std::string config;
  auto* serve = app.add_subcommand("serve", "run a governor until SIGTERM or SIGINT");
  serve->add_option("CONFIG", config, "configuration (XML)")->required();
  auto* platform =
      app.add_subcommand("platform", "run a governor on the operators' platform (ROUTER_CONFIG)");
  auto* check = app.add_subcommand("check-config", "check a configuration and list its faults");
  check->add_option("CONFIG", config, "configuration (XML)")->required();

  cli::ShowOptions show_options;
  auto* show = app.add_subcommand("show", "show the state of a running governor");
  show->add_option("WHAT", show_options.what,
                   "tables, replicas, proxies, versions; generations of a receiver")
      ->required()
      ->check(CLI::IsMember({"tables", "replicas", "proxies", "versions", "generations"}));
  std::string proxy;
  show->add_option("PROXY", proxy,
                   "for generations: the proxy's name; without it, --at is the address of a receiver");
  show->add_option("--at", show_options.at,
                   "address where the governor receives reports, such as 127.0.0.1:4318")
      ->required();
  show->add_flag("--json", show_options.json, "print JSON");

  cli::ReceiveOptions receive_options;
  auto* receive = app.add_subcommand("receive", "receive generations of tables for a proxy on this host");
  receive->add_option("--listen", receive_options.listen, "address and port to listen on")->required();
  receive->add_option("--folder", receive_options.folder, "folder that the proxy reads")->required();
  receive->add_option("--keep", receive_options.keep, "number of generations to keep")
      ->check(CLI::Range(2, 1000));
  receive->add_flag("--no-reader", receive_options.no_reader,
                    "confirm a table when it is stored, without waiting for the reader");

  std::string governor;
  std::uint64_t version = 0;
  auto* rollback = app.add_subcommand(
      "rollback", "make a kept generation current again, unless it lists an excluded replica");
  std::string target;
  rollback->add_option("PROXY", target, "name of the proxy; without --at, the address of its receiver")
      ->required();
  rollback->add_option("--at", governor,
                       "address where the governor receives reports, such as 127.0.0.1:4318");
  rollback->add_option("VERSION", version, "version, as `show generations` lists it")->required();

  cli::ReplayOptions replay_options;
  auto* replay = app.add_subcommand("replay", "replay a record with this build and compare the actions");
  replay->add_option("RECORD", replay_options.records, "folders of records, or files, in any order")
      ->required();
  auto* orders_of = replay->add_option("--orders-of", replay_options.orders_of,
                                       "compare with the actions of another configuration on the same calls");
  auto* all = replay->add_flag("--all", replay_options.all, "print every difference, not only the first");
  cli::WhatIfOptions what_if_options;
  auto* setting = replay
                      ->add_option("--setting", what_if_options.settings,
                                   "simulate the recorded day with another configuration")
                      ->excludes(orders_of)
                      ->excludes(all);
  bool model = false;
  replay->add_flag("--model", model, "print the error of the model on the recorded configuration only");
  replay->add_option("--report", what_if_options.report, "folder for a report page with plots");
  replay->add_option("--draws", what_if_options.draws, "number of days to simulate for each assumption")
      ->check(CLI::Range(1, 1000));
  replay->add_flag("--json", what_if_options.json, "print JSON");

  cli::RecordOptions record_options;
  auto* record = app.add_subcommand("record", "inspect, cut, merge and convert records");
  record->require_subcommand(1);
  struct RecordCommand {
    const char *name, *description;
    int (*run)(const cli::RecordOptions&);
    bool json, window, out;
  };
  const RecordCommand record_commands[] = {
      {"info", "summarize the files", cli::record_info, true, false, false},
      {"dump", "print each call and its actions, one line each", cli::record_dump, true, true, false},
      {"cut", "copy a time window into a new record", cli::record_cut, false, true, true},
      {"merge", "merge the files of several folders into one folder", cli::record_merge, false, false, true},
      {"export-day", "write a scenario of the recorded traffic and faults", cli::record_export_day, false,
       false, true},
      {"anonymise", "copy a record with all names replaced", cli::record_anonymise, false, false, true},
  };
  for (const auto& command : record_commands) {
    auto* sub = record->add_subcommand(command.name, command.description);
    sub->add_option("RECORD", record_options.records, "folders of records, or files, in any order")
        ->required();
    if (command.json) sub->add_flag("--json", record_options.json, "print JSON");
    if (command.window)
      sub->add_option("--from", record_options.from,
                      "start of the window, as time since the beginning of the record, such as '90 s'");
    if (command.window)
      sub->add_option("--to", record_options.to,
                      "end of the window, as time since the beginning of the record");
    if (command.out)
      sub->add_option("--out", record_options.out, "output folder without records")->required();
  }

  cli::DayOptions day_options;
  auto* day = app.add_subcommand("day", "play a scenario against a governor and check the rules");
  day->add_option("FILE", day_options.path, "scenario (XML)")->required();
  day->add_option("--keep", day_options.keep,
                  "keep the roll, the configuration and the governor's log in this folder");
  day->add_option("--seed", day_options.seed, "seed that replaces the scenario's");
  day->add_option("--setting", day_options.setting, "configuration that replaces the scenario's");
  day->add_flag("--equal-weights", day_options.equal_weights,
                "run without a governor, with equal weights, for comparison");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (serve->parsed()) return cli::serve(config);
  if (platform->parsed()) return cli::platform();
  if (check->parsed()) return cli::check_config(config);
  if (replay->parsed() && (*setting || model || !what_if_options.report.empty())) {
    what_if_options.records = replay_options.records;
    return cli::what_if(what_if_options);
  }
  if (replay->parsed()) return cli::replay(replay_options);
  for (const auto& command : record_commands) {
    if (record->parsed() && record->got_subcommand(command.name)) return command.run(record_options);
  }
  if (receive->parsed()) return cli::receive(receive_options);
  if (rollback->parsed()) return cli::rollback(target, version, governor);
  if (show_options.what == "generations") return cli::show_generations(show_options.at, proxy);
  if (day->parsed()) return cli::day(day_options);
  return cli::show(show_options);
}

}  // namespace

int main(int argc, char** argv) {
  limit_allocator_arenas();
  try {
    return run(argc, argv);
  } catch (const ospreypost::config::ConfigError& error) {
    std::cerr << error.what() << '\n';
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "ospreypost: " << error.what() << '\n';
    return 1;
  }
}
