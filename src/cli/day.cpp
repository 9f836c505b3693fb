#include <cstdio>
#include <filesystem>
#include <iostream>

#include "cli/commands.h"
#include "scenario/run.h"

namespace ospreypost::cli {
namespace {

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

// Returns a digit for the service of each second, from 0 to 9; 9: all requests served in time.
std::string service_digits(const std::vector<double>& service) {
  std::string digits;
  for (const double share : service) digits += static_cast<char>('0' + static_cast<int>(share * 9 + 0.001));
  return digits;
}

}  // namespace

int day(const DayOptions& options) {
  auto script = scenario::read_scenario(options.path);
  if (options.seed) script.seed = *options.seed;
  if (!options.setting.empty()) script.governor_path = options.setting;
  scenario::RunOptions play_options;
  play_options.program = std::filesystem::read_symlink("/proc/self/exe").string();
  play_options.folder = options.keep;
  play_options.equal_weights = options.equal_weights;
  play_options.on_event = [](Nanos time, const std::string& what) {
    std::printf("%7.2f s  %s\n", seconds(time), what.c_str());
    std::fflush(stdout);
  };
  std::printf("day %s, %.0f s, seed %u\n", script.name.c_str(), seconds(script.length), script.seed);
  const auto outcome = scenario::run_scenario(script, play_options);
  std::printf("service by second  %s\n", service_digits(outcome.service_by_second).c_str());
  for (const auto& rule : outcome.check_result.rules) {
    if (options.equal_weights) break;  // without a control plane instance the rules do not apply
    std::printf("%-7s %-30s %s\n", rule.kept ? "kept" : "BROKEN", rule.name.c_str(), rule.figures.c_str());
  }
  const auto& service = outcome.check_result.service;
  std::printf(
      "service %.3f  (whole run %.3f, worst 10 s %.3f, worst class %.3f; %zu of %zu operations answered)\n",
      service.score(), service.whole, service.worst_window, service.worst_class,
      outcome.check_result.answered, outcome.check_result.operations);
  if (options.equal_weights) return 0;
  std::printf("governor stopped in %.2f s\n", seconds(outcome.stop_duration));
  std::printf("verdict: %s\n", outcome.check_result.kept() ? "all rules kept" : "A RULE IS BROKEN");
  return outcome.check_result.kept() ? 0 : 3;
}

}  // namespace ospreypost::cli
