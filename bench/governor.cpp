// The live governor at size, without sockets: how long its lock is held for a call, what CPU it takes with a
// sum a second from each proxy about each replica of its tables, how soon a drain shows in answers, and its
// memory.
//
//   bench_governor REPLICAS PROXIES [SECONDS] [record]
//
// The record is left in ospreypost-bench-record of the temporary folder, for bench_records.
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

#include "control_plane/control_plane.h"
#include "fleet.h"
#include "record/writer.h"

namespace {

using namespace ospreypost;
using namespace std::chrono_literals;

Nanos now() { return std::chrono::steady_clock::now().time_since_epoch(); }

double cpu_seconds() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + 1e-6 * static_cast<double>(time.tv_usec);
  };
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}

double resident_mib() {
  std::ifstream file("/proc/self/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * 4096 / 1048576;
}

double at(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(static_cast<double>(values.size()) * share))];
}

struct Quiet : control_plane::ControlPlaneHost {
  void request_health_check(ReplicaId, const net::Address&) override {}
  void refresh_endpoint_list() override {}
  void log(std::string_view, routing_state::SnapshotVersion) override {}
};

// The controller alone, with a handler that ignores its actions: what the same reports cost without routing
// state, lock and snapshots.
struct Deaf : ActionHandler {
  using ActionHandler::handle;
  void handle(const StartTimer& action) override { due.emplace_back(at + action.delay, action.timer); }
  Nanos at{};
  std::vector<std::pair<Nanos, TimerId>> due;
};

double bare_module_cpu(const config::Config& config, std::size_t replicas, std::size_t lines, int seconds) {
  Deaf host;
  Controller governor(config.settings, 1, host.at, host);
  std::vector<EndpointUpdate> entries(replicas);
  for (std::size_t n = 0; n < replicas; ++n) {
    entries[n].replica = ReplicaId{static_cast<std::uint32_t>(n)};
    entries[n].zone = ZoneId{static_cast<std::uint16_t>(n % config.settings.zones)};
  }
  governor.on_endpoint_list(host.at, EndpointListKind::cached, entries);
  const auto proxies = config.proxies.known.size();
  for (std::size_t p = 0; p < proxies; ++p)
    governor.on_proxy_joined(host.at, ProxyId{static_cast<std::uint16_t>(p)}, config.proxies.known[p].zone,
                             10, true);
  const double cpu = cpu_seconds();
  for (int second = 0; second < seconds; ++second) {
    for (std::size_t p = 0; p < proxies; ++p) {
      host.at =
          second * Nanos(1s) + Nanos(1s) * static_cast<Nanos::rep>(p) / static_cast<Nanos::rep>(proxies);
      while (!host.due.empty() && host.due.front().first <= host.at) {
        const auto timer = host.due.front().second;
        host.due.erase(host.due.begin());
        governor.on_timer(host.at, timer);
      }
      for (std::size_t n = 0; n < lines; ++n) {
        const ReplicaId replica{static_cast<std::uint32_t>((p + n) % replicas)};
        governor.on_replica_load_report(host.at,
                                        {config.proxies.known[p].zone, replica, 2, 0, 50ms, 1s, {0.5F}});
      }
      governor.on_demand_report(host.at, ProxyId{static_cast<std::uint16_t>(p)}, {ClassId{0}, 10, 0, 1s});
    }
  }
  return (cpu_seconds() - cpu) / seconds;
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t replicas = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 160;
  const std::size_t proxies = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 220;
  const double seconds = argc > 3 ? std::atof(argv[3]) : 10;
  const auto config = bench::fleet_config(proxies);
  Quiet world;
  // With "record", all that is told and ordered is kept, as `serve` does.
  std::unique_ptr<record::Writer> record;
  const auto folder = std::filesystem::temp_directory_path() / "ospreypost-bench-record";
  std::filesystem::remove_all(folder);
  if (argc > 4) record = std::make_unique<record::Writer>(record::RetentionPolicy{folder.string()});
  control_plane::ControlPlane live(config, world, now, {1, "bench"}, record.get());
  discovery::EndpointList roll;
  auto listed = bench::fleet_roll(replicas, config);
  const auto wall = [] { return discovery::WallTime(now()); };
  live.on_endpoint_list_changed(roll.update(now(), wall(), listed));
  std::vector<double> calls;  // microseconds
  const auto timed = [&](auto call) {
    const auto begun = now();
    call();
    calls.push_back(std::chrono::duration<double, std::micro>(now() - begun).count());
  };
  const auto asked = [&](std::size_t p) {
    return live.on_query(ProxyId{static_cast<std::uint16_t>(p)}, ClassId{0});
  };
  const auto begun_joining = now();
  for (std::size_t p = 0; p < proxies; ++p) asked(p);
  std::printf("%zu replicas, %zu proxies: all joined within %.3f s\n", replicas, proxies,
              std::chrono::duration<double>(now() - begun_joining).count());

  // A sum from each proxy about each line of its table, and its demand, each second, spread over it.
  std::mt19937 chance(1);
  const auto begun = now();
  const double cpu = cpu_seconds();
  std::size_t sums = 0, lines = 0;
  std::vector<double> shown;  // milliseconds
  std::size_t drained = 0;
  for (int second = 0; second < static_cast<int>(seconds); ++second) {
    for (std::size_t p = 0; p < proxies; ++p) {
      const auto due = begun + second * Nanos(1s) +
                       Nanos(1s) * static_cast<Nanos::rep>(p) / static_cast<Nanos::rep>(proxies);
      while (now() < due) {
        const timespec wait{0, std::min<long>(1'000'000, std::max<long>(1, (due - now()).count()))};
        nanosleep(&wait, nullptr);
      }
      const auto told = asked(p);
      const ProxyId id{static_cast<std::uint16_t>(p)};
      live.on_report(id);
      if (told.proxy_snapshot && told.proxy_snapshot->routing_tables[0]) {
        lines = std::max(lines, told.proxy_snapshot->routing_tables[0]->entries.size());
        for (const auto& line : told.proxy_snapshot->routing_tables[0]->entries) {
          ReplicaLoadReport sum{config.proxies.known[p].zone,
                                line.replica,
                                static_cast<std::uint32_t>(1 + chance() % 3),
                                0,
                                50ms,
                                1s,
                                {0.5F}};
          timed([&] { live.on_replica_load_report(sum, {id, {}}); });
          ++sums;
        }
      }
      timed([&] { live.on_demand_report({ClassId{0}, 10, 0, 1s}, {id, {}}); });
    }
    // One replica drains each second: when can no answer name it any more?
    auto draining = listed;
    draining[drained].draining = true;
    const auto told_at = now();
    timed([&] { live.on_endpoint_list_changed(roll.update(told_at, wall(), draining)); });
    listed = draining;
    const ReplicaId gone{*live.find_replica(listed[drained].name)};
    drained = std::min(drained + 1, replicas / 3);
    bool named = true;
    while (named && now() - told_at < 2s) {
      named = false;
      const auto version = live.status().snapshot;
      for (const auto& [proxy, proxy_snapshot] : version->proxy_snapshots) {
        for (const auto& line : proxy_snapshot->routing_tables[0]->entries)
          named = named || line.replica == gone;
      }
    }
    shown.push_back(std::chrono::duration<double, std::milli>(now() - told_at).count());
  }
  const double used = cpu_seconds() - cpu;
  const double wall_took = std::chrono::duration<double>(now() - begun).count();
  std::printf(
      "%zu sums, tables of up to %zu lines; a call, waiting for the lock included: p50 %.1f us, p99 %.1f us, "
      "most %.0f us\n",
      sums, lines, at(calls, 0.5), at(calls, 0.99), at(calls, 1));
  const double bare = bare_module_cpu(config, replicas, lines, static_cast<int>(seconds));
  std::printf("the module alone, at as many sums: CPU %.3f of a core\n", bare);
  std::printf(
      "CPU %.3f of a core (this driver included); from a drain in the list to no table that names it: p50 "
      "%.2f ms, most "
      "%.2f ms; resident %.0f MiB; lines waiting at most %.0f of %.0f\n",
      used / wall_took, at(shown, 0.5), at(shown, 1), resident_mib(),
      live.status().pull_counts.max_queued_entries, config.settings.channel_max_queued_entries);
  if (record) {
    live.stop();
    record->stop();
    const auto counts = record->counts();
    std::printf("recorded %llu calls in %llu bytes, %llu lost\n",
                static_cast<unsigned long long>(counts.entries),
                static_cast<unsigned long long>(counts.bytes), static_cast<unsigned long long>(counts.lost));
  }
}
