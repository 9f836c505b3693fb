// What a record costs to read: how many times faster than it was lived it replays and is played on a model,
// what a sum takes on disk beside plainer forms, and a look into its middle beside reading all of it.
//
//   bench_records RECORD...
#include <algorithm>
#include <cstdio>
#include <string>

#include "config/config.h"
#include "net/socket.h"
#include "record.pb.h"
#include "record/dump.h"
#include "record/summary.h"
#include "replay/history.h"
#include "replay/replay.h"
#include "simulation/simulated_run.h"
#include "terms/deployment.h"

namespace {

using namespace ospreypost;

template <typename Work>
double seconds_of(Work work) {
  const auto begun = net::Steady::now();
  work();
  return std::chrono::duration<double>(net::Steady::now() - begun).count();
}

// The least of three: what else the machine does only adds.
template <typename Work>
double least_seconds_of(Work work) {
  double least = seconds_of(work);
  for (int n = 0; n < 2; ++n) least = std::min(least, seconds_of(work));
  return least;
}

}  // namespace

int main(int argc, char** argv) try {
  if (argc < 2) {
    std::fprintf(stderr, "bench_records RECORD...\n");
    return 2;
  }
  const auto files = record::list_files({argv + 1, argv + argc});
  const auto contents = record::summarize(files);
  std::uint64_t bytes = 0, unpacked = 0, sums = 0, json = 0;
  for (const auto& file : contents.files) bytes += file.bytes, unpacked += file.unpacked_bytes;
  for (const char* call : {"replica_summed", "demand_summed"}) {
    const auto known = contents.events.find(call);
    sums += known == contents.events.end() ? 0 : known->second;
  }
  record::dump(files, {}, true, [&](Nanos, const std::string& line) { json += line.size() + 1; });

  replay::Options options;
  options.load_config = [](const std::string& text) {
    const auto config = config::parse_config(text, "recorded");
    return replay::ControllerConfig{config::module_settings(config), config.seed};
  };
  replay::ReplayResult outcome;
  const double replaying = least_seconds_of([&] { outcome = replay::replay(files, options); });
  const double lived = std::chrono::duration<double>(outcome.to - outcome.from).count();
  std::printf("%.1f s lived, %llu calls, %llu sums; the same orders: %s\n", lived,
              static_cast<unsigned long long>(outcome.events), static_cast<unsigned long long>(sums),
              outcome.is_identical() ? "yes" : "no");
  std::printf("exact replay: %.0f times as fast as lived\n", lived / replaying);

  const auto per_hour = [&](std::uint64_t of) { return static_cast<double>(of) / lived * 3600 / 1048576; };
  std::printf("bytes: %.1f MiB an hour, %.1f a sum; not packed %.1f times as many, JSON lines %.1f times\n",
              per_hour(bytes),
              static_cast<double>(bytes) / static_cast<double>(std::max<std::uint64_t>(1, sums)),
              static_cast<double>(unpacked) / static_cast<double>(bytes),
              static_cast<double>(json) / static_cast<double>(bytes));

  const Nanos middle = (outcome.to - outcome.from) / 2;
  std::size_t found = 0;
  const double seeking = least_seconds_of([&] {
    found = 0;
    record::dump(files, {middle, middle + std::chrono::milliseconds(200)}, false,
                 [&](Nanos, const std::string&) { ++found; });
  });
  const double scanning = least_seconds_of([&] {
    std::size_t same = 0;
    record::dump(files, {}, false, [&](Nanos at, const std::string&) {
      same += at >= middle && at <= middle + std::chrono::milliseconds(200);
    });
    if (same != found) std::printf("the scan found %zu entries, the seek %zu\n", same, found);
  });
  std::printf("200 ms from the middle (%zu entries): %.1f times as fast by heads as by reading all\n", found,
              scanning / seeking);

  const auto history = replay::read_history(files);
  const auto deployment = terms::deployment_of(config::parse_config(history.configuration, "recorded"));
  simulation::Fleet fleet;
  const double fitting =
      seconds_of([&] { fleet = simulation::fit(history, deployment, simulation::Assumption::middle); });
  simulation::SimulatedRun day;
  const double playing = seconds_of([&] { day = simulation::simulate(history, deployment, fleet, 1); });
  std::printf("the model: fitted in %.2f s; a day played %.0f times as fast as lived\n", fitting,
              lived / playing);
  return 0;
} catch (const std::exception& error) {
  std::fprintf(stderr, "bench_records: %s\n", error.what());
  return 1;
}
