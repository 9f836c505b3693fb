// The program: `ospreypost serve|platform|check-config|show|receive|rollback|replay|record|day`. Exit status:
// 0 done, 1 it failed at run time, 2 the command line or a file is at fault, 3 a day broke a rule, or a
// replay differs.
#include <CLI/CLI.hpp>
#include <iostream>

#include "cli/commands.h"
#include "config/xml.h"
#include "net/socket.h"

namespace {

int run(int argc, char** argv) {
  namespace cli = ospreypost::cli;
  CLI::App app{"hands plain proxies their weights, and decides from what they report"};
  app.require_subcommand(1);

  std::string config;
  auto* serve = app.add_subcommand("serve", "run a governor until SIGTERM or SIGINT");
  serve->add_option("CONFIG", config, "its configuration (XML)")->required();
  auto* platform =
      app.add_subcommand("platform", "run a governor on the operators' platform (ROUTER_CONFIG)");
  auto* check = app.add_subcommand("check-config", "say what is wrong with a configuration, if anything");
  check->add_option("CONFIG", config, "the configuration (XML)")->required();

  cli::ShowOptions showing;
  auto* show = app.add_subcommand("show", "look into a running governor");
  show->add_option("WHAT", showing.what, "tables, replicas, proxies, versions; generations of a receiver")
      ->required()
      ->check(CLI::IsMember({"tables", "replicas", "proxies", "versions", "generations"}));
  std::string proxy;
  show->add_option("PROXY", proxy,
                   "for generations, through its governor; without, --at is its receiver's address");
  show->add_option("--at", showing.at, "where it takes reports, such as 127.0.0.1:4318")->required();
  show->add_flag("--json", showing.json, "for machines");

  cli::ReceiveOptions receiving;
  auto* receive = app.add_subcommand("receive", "take generations of tables for a proxy on this host");
  receive->add_option("--listen", receiving.listen, "address and port")->required();
  receive->add_option("--folder", receiving.folder, "where the proxy reads")->required();
  receive->add_option("--keep", receiving.keep, "generations to keep")->check(CLI::Range(2, 1000));
  receive->add_flag("--no-reader", receiving.no_reader, "a table counts as taken when it is stored");

  std::string at;
  std::uint64_t version = 0;
  auto* rollback =
      app.add_subcommand("rollback", "make a kept generation current again, unless it names who is out");
  std::string whom;
  rollback->add_option("PROXY", whom, "its name; without --at, the address of its receiver")->required();
  rollback->add_option("--at", at, "where its governor takes reports, such as 127.0.0.1:4318");
  rollback->add_option("VERSION", version, "as `show generations` lists it")->required();

  cli::ReplayOptions replaying;
  auto* replay = app.add_subcommand("replay", "play a record to this build and compare what it orders");
  replay->add_option("RECORD", replaying.records, "folders of records, or files, in any order")->required();
  auto* orders_of = replay->add_option("--orders-of", replaying.orders_of,
                                       "what another configuration orders when told the same");
  auto* all = replay->add_flag("--all", replaying.all, "every difference, not the first alone");
  cli::WhatIfOptions asking;
  auto* setting =
      replay
          ->add_option("--setting", asking.settings, "what another configuration would have made of the day")
          ->excludes(orders_of)
          ->excludes(all);
  bool model = false;
  replay->add_flag("--model", model, "how far the model is off on the recorded setting, without others");
  replay->add_option("--report", asking.report, "a folder for a page with plots");
  replay->add_option("--draws", asking.draws, "days to play for each assumption")->check(CLI::Range(1, 1000));
  replay->add_flag("--json", asking.json, "for machines");

  cli::RecordOptions looking;
  auto* record = app.add_subcommand("record", "look into records, and make records of records");
  record->require_subcommand(1);
  struct Tool {
    const char *name, *what;
    int (*run)(const cli::RecordOptions&);
    bool json, window, out;
  };
  const Tool tools[] = {
      {"info", "what files hold", cli::record_info, true, false, false},
      {"dump", "every call and its orders, a line each", cli::record_dump, true, true, false},
      {"cut", "a stretch, as a record of its own", cli::record_cut, false, true, true},
      {"merge", "files of several folders into one", cli::record_merge, false, false, true},
      {"export-day", "a scripted day of what befell the fleet", cli::record_export_day, false, false, true},
      {"anonymise", "the same without its names", cli::record_anonymise, false, false, true},
  };
  for (const auto& tool : tools) {
    auto* sub = record->add_subcommand(tool.name, tool.what);
    sub->add_option("RECORD", looking.records, "folders of records, or files, in any order")->required();
    if (tool.json) sub->add_flag("--json", looking.json, "for machines");
    if (tool.window) sub->add_option("--from", looking.from, "since the record's beginning, such as '90 s'");
    if (tool.window) sub->add_option("--to", looking.to, "likewise");
    if (tool.out) sub->add_option("--out", looking.out, "a folder without records")->required();
  }

  cli::DayOptions playing;
  auto* day = app.add_subcommand("day", "play a scripted day against a governor and judge it");
  day->add_option("FILE", playing.path, "the day (XML)")->required();
  day->add_option("--keep", playing.keep,
                  "keep the roll, the configuration and the governor's log in this folder");
  day->add_option("--seed", playing.seed, "instead of the day's own");
  day->add_option("--setting", playing.setting, "another configuration than the day's own");
  day->add_flag("--equal-weights", playing.equal_weights,
                "without a governor, for comparison: equal weights all day");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (serve->parsed()) return cli::serve(config);
  if (platform->parsed()) return cli::platform();
  if (check->parsed()) return cli::check_config(config);
  if (replay->parsed() && (*setting || model || !asking.report.empty())) {
    asking.records = replaying.records;
    return cli::what_if(asking);
  }
  if (replay->parsed()) return cli::replay(replaying);
  for (const auto& tool : tools) {
    if (record->parsed() && record->got_subcommand(tool.name)) return tool.run(looking);
  }
  if (receive->parsed()) return cli::receive(receiving);
  if (rollback->parsed()) return cli::rollback(whom, version, at);
  if (showing.what == "generations") return cli::show_generations(showing.at, proxy);
  if (day->parsed()) return cli::day(playing);
  return cli::show(showing);
}

}  // namespace

int main(int argc, char** argv) {
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
