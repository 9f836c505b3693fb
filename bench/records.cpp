// Measures the cost of reading a record. The speed of the exact replay and of the simulation is printed as a
// multiple of real time. The size on disk per report is compared with uncompressed blocks and with JSON
// lines. The time to find 200 ms in the middle by block headers is compared with the time to read the whole
// record.
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
  const auto start = net::Steady::now();
  work();
  return std::chrono::duration<double>(net::Steady::now() - start).count();
}

// Returns the shortest of three runs: other load on the machine only makes a run longer.
template <typename Work>
double min_seconds_of(Work work) {
  double shortest = seconds_of(work);
  for (int n = 0; n < 2; ++n) shortest = std::min(shortest, seconds_of(work));
  return shortest;
}

}  // namespace

int main(int argc, char** argv) try {
  if (argc < 2) {
    std::fprintf(stderr, "bench_records RECORD...\n");
    return 2;
  }
  const auto files = record::list_files({argv + 1, argv + argc});
  const auto contents = record::summarize(files);
  std::uint64_t bytes = 0, unpacked_bytes = 0, reports = 0, json_bytes = 0;
  for (const auto& file : contents.files) bytes += file.bytes, unpacked_bytes += file.unpacked_bytes;
  for (const char* event : {"replica_summed", "demand_summed"}) {
    const auto event_found = contents.events.find(event);
    reports += event_found == contents.events.end() ? 0 : event_found->second;
  }
  record::dump(files, {}, true, [&](Nanos, const std::string& line) { json_bytes += line.size() + 1; });

  replay::Options options;
  options.load_config = [](const std::string& text) {
    const auto config = config::parse_config(text, "recorded");
    return replay::ControllerConfig{config::module_settings(config), config.seed};
  };
  replay::ReplayResult result;
  const double replay_seconds = min_seconds_of([&] { result = replay::replay(files, options); });
  const double recorded_seconds = std::chrono::duration<double>(result.to - result.from).count();
  std::printf("%.1f s recorded, %llu calls, %llu reports; the same actions: %s\n", recorded_seconds,
              static_cast<unsigned long long>(result.events), static_cast<unsigned long long>(reports),
              result.is_identical() ? "yes" : "no");
  std::printf("exact replay: %.0f times as fast as recorded\n", recorded_seconds / replay_seconds);

  const auto per_hour = [&](std::uint64_t byte_count) {
    return static_cast<double>(byte_count) / recorded_seconds * 3600 / 1048576;
  };
  std::printf(
      "bytes: %.1f MiB per hour, %.1f per report; uncompressed %.1f times as many, JSON lines %.1f times\n",
      per_hour(bytes), static_cast<double>(bytes) / static_cast<double>(std::max<std::uint64_t>(1, reports)),
      static_cast<double>(unpacked_bytes) / static_cast<double>(bytes),
      static_cast<double>(json_bytes) / static_cast<double>(bytes));

  const Nanos middle = (result.to - result.from) / 2;
  std::size_t entries_found = 0;
  const double seek_seconds = min_seconds_of([&] {
    entries_found = 0;
    record::dump(files, {middle, middle + std::chrono::milliseconds(200)}, false,
                 [&](Nanos, const std::string&) { ++entries_found; });
  });
  const double scan_seconds = min_seconds_of([&] {
    std::size_t entries_scanned = 0;
    record::dump(files, {}, false, [&](Nanos entry_time, const std::string&) {
      entries_scanned += entry_time >= middle && entry_time <= middle + std::chrono::milliseconds(200);
    });
    if (entries_scanned != entries_found)
      std::printf("the read of the whole record found %zu entries, the read by block headers %zu\n",
                  entries_scanned, entries_found);
  });
  std::printf(
      "200 ms from the middle (%zu entries): %.1f times as fast by block headers as by reading the whole "
      "record\n",
      entries_found, scan_seconds / seek_seconds);

  const auto history = replay::read_history(files);
  const auto deployment = terms::deployment_of(config::parse_config(history.configuration, "recorded"));
  simulation::Fleet fleet;
  const double fit_seconds =
      seconds_of([&] { fleet = simulation::fit(history, deployment, simulation::Assumption::middle); });
  simulation::SimulatedRun day;
  const double simulation_seconds =
      seconds_of([&] { day = simulation::simulate(history, deployment, fleet, 1); });
  std::printf("the model: fitted in %.2f s; a day simulated %.0f times as fast as recorded\n", fit_seconds,
              recorded_seconds / simulation_seconds);
  return 0;
} catch (const std::exception& error) {
  std::fprintf(stderr, "bench_records: %s\n", error.what());
  return 1;
}
