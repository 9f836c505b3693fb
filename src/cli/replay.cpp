#include "replay/replay.h"

#include <cstdio>

#include "cli/commands.h"
#include "config/config.h"
#include "record/reader.h"

namespace ospreypost::cli {
namespace {

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

int replay(const ReplayOptions& options) {
  replay::Options replay_options;
  Nanos first_time{};
  bool has_first_time = false;
  replay_options.load_config = [&](const std::string& recorded) {
    const auto config = options.orders_of.empty()
                            ? config::parse_config(recorded, "the recorded configuration")
                            : config::read_config(options.orders_of);
    return replay::ControllerConfig{config::module_settings(config), config.seed};
  };
  const auto print = [&](const replay::Difference& difference) {
    if (!has_first_time) first_time = difference.event_time, has_first_time = true;
    std::printf("call %llu, %.6f s after the first difference: %s\n  recorded: %s\n  replayed: %s\n",
                static_cast<unsigned long long>(difference.event_number),
                seconds(difference.event_time - first_time), difference.event.c_str(),
                difference.recorded.empty() ? "nothing" : difference.recorded.c_str(),
                difference.replayed.empty() ? "nothing" : difference.replayed.c_str());
  };
  if (options.all) replay_options.on_difference = print;
  const auto outcome = replay::replay(record::list_files(options.records), replay_options);
  if (outcome.first_difference && !options.all) print(*outcome.first_difference);
  const auto count = [](std::uint64_t number) { return static_cast<unsigned long long>(number); };
  std::printf("%llu calls on %llu governors over %.1f s, %llu orders, digest %016llx\n",
              count(outcome.events), count(outcome.incarnations), seconds(outcome.to - outcome.from),
              count(outcome.actions), count(outcome.digest));
  if (outcome.lost_entries + outcome.corrupt_regions + outcome.skipped_events > 0) {
    std::printf(
        "partial: %llu calls were not kept, %llu stretches are damaged, %llu calls after them not replayed\n",
        count(outcome.lost_entries), count(outcome.corrupt_regions), count(outcome.skipped_events));
  }
  if (outcome.is_identical()) {
    std::printf("the orders are the same, byte for byte\n");
    return 0;
  }
  std::printf("%llu orders differ\n", count(outcome.differing_actions));
  return 3;
}

}  // namespace ospreypost::cli
