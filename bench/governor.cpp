// Measures a control plane instance with a large fleet and without sockets. Each proxy sends one load report
// per second about each replica in the routing table of that proxy. The benchmark measures the duration of
// the calls (waiting for the lock included), the CPU time, the time from a drain in the endpoint list until
// no routing table names the draining replica, and the resident memory.
//
//   bench_governor REPLICAS PROXIES [SECONDS] [record]
//
// With `record`, the calls and actions are recorded. The record stays in the folder ospreypost-bench-record
// of the system's temporary folder, as input for bench_records.
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
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + 1e-6 * static_cast<double>(time.tv_usec);
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double resident_mib() {
  std::ifstream file("/proc/self/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * 4096 / 1048576;
}

double quantile(std::vector<double>& values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(static_cast<double>(values.size()) * fraction))];
}

struct IgnoringHost : control_plane::ControlPlaneHost {
  void request_health_check(ReplicaId, const net::Address&) override {}
  void refresh_endpoint_list() override {}
  void log(std::string_view, routing_state::SnapshotVersion) override {}
};

// Action handler that collects the timers that the controller starts and ignores all other actions.
struct TimerCollector : ActionHandler {
  using ActionHandler::handle;
  void handle(const StartTimer& action) override {
    started_timers.emplace_back(current_time + action.delay, action.timer);
  }
  Nanos current_time{};
  std::vector<std::pair<Nanos, TimerId>> started_timers;
};

// Returns the CPU seconds per second that the controller takes for the same load reports when it runs without
// routing state, lock and snapshots.
double controller_cpu(const config::Config& config, std::size_t replicas, std::size_t table_entries,
                      int seconds) {
  TimerCollector handler;
  Controller controller(config.settings, 1, handler.current_time, handler);
  std::vector<EndpointUpdate> updates(replicas);
  for (std::size_t n = 0; n < replicas; ++n) {
    updates[n].replica = ReplicaId{static_cast<std::uint32_t>(n)};
    updates[n].zone = ZoneId{static_cast<std::uint16_t>(n % config.settings.zones)};
  }
  controller.on_endpoint_list(handler.current_time, EndpointListKind::cached, updates);
  const auto proxies = config.proxies.known.size();
  for (std::size_t proxy = 0; proxy < proxies; ++proxy)
    controller.on_proxy_joined(handler.current_time, ProxyId{static_cast<std::uint16_t>(proxy)},
                               config.proxies.known[proxy].zone, 10, true);
  const double cpu_start = cpu_seconds();
  for (int second = 0; second < seconds; ++second) {
    for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
      handler.current_time =
          second * Nanos(1s) + Nanos(1s) * static_cast<Nanos::rep>(proxy) / static_cast<Nanos::rep>(proxies);
      while (!handler.started_timers.empty() &&
             handler.started_timers.front().first <= handler.current_time) {
        const auto timer = handler.started_timers.front().second;
        handler.started_timers.erase(handler.started_timers.begin());
        controller.on_timer(handler.current_time, timer);
      }
      for (std::size_t n = 0; n < table_entries; ++n) {
        const ReplicaId replica{static_cast<std::uint32_t>((proxy + n) % replicas)};
        controller.on_replica_load_report(
            handler.current_time, {config.proxies.known[proxy].zone, replica, 2, 0, 50ms, 1s, {0.5F}});
      }
      controller.on_demand_report(handler.current_time, ProxyId{static_cast<std::uint16_t>(proxy)},
                                  {ClassId{0}, 10, 0, 1s});
    }
  }
  return (cpu_seconds() - cpu_start) / seconds;
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t replicas = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 160;
  const std::size_t proxies = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 220;
  const double seconds = argc > 3 ? std::atof(argv[3]) : 10;
  const auto config = bench::fleet_config(proxies);
  IgnoringHost host;
  std::unique_ptr<record::Writer> record;
  const auto folder = std::filesystem::temp_directory_path() / "ospreypost-bench-record";
  std::filesystem::remove_all(folder);
  if (argc > 4) record = std::make_unique<record::Writer>(record::RetentionPolicy{folder.string()});
  control_plane::ControlPlane instance(config, host, now, {1, "bench"}, record.get());
  discovery::EndpointList endpoint_list;
  auto endpoints = bench::fleet_endpoints(replicas, config);
  const auto wall_time = [] { return discovery::WallTime(now()); };
  instance.on_endpoint_list_changed(endpoint_list.update(now(), wall_time(), endpoints));
  std::vector<double> call_times_us;
  const auto measure_call = [&](auto call) {
    const auto start = now();
    call();
    call_times_us.push_back(std::chrono::duration<double, std::micro>(now() - start).count());
  };
  const auto query = [&](std::size_t proxy) {
    return instance.on_query(ProxyId{static_cast<std::uint16_t>(proxy)}, ClassId{0});
  };
  const auto join_start = now();
  for (std::size_t proxy = 0; proxy < proxies; ++proxy) query(proxy);
  std::printf("%zu replicas, %zu proxies: all joined within %.3f s\n", replicas, proxies,
              std::chrono::duration<double>(now() - join_start).count());

  // Each second, each proxy sends a load report about each entry of its routing table, and a demand report.
  // The reports of different proxies are spread evenly over the second.
  std::mt19937 random_engine(1);
  const auto start = now();
  const double cpu_start = cpu_seconds();
  std::size_t report_count = 0, table_entries = 0;
  std::vector<double> drain_times_ms;
  std::size_t drained_count = 0;
  for (int second = 0; second < static_cast<int>(seconds); ++second) {
    for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
      const auto due_time = start + second * Nanos(1s) +
                            Nanos(1s) * static_cast<Nanos::rep>(proxy) / static_cast<Nanos::rep>(proxies);
      while (now() < due_time) {
        const timespec wait{0, std::min<long>(1'000'000, std::max<long>(1, (due_time - now()).count()))};
        nanosleep(&wait, nullptr);
      }
      const auto pull_answer = query(proxy);
      const ProxyId id{static_cast<std::uint16_t>(proxy)};
      instance.on_report(id);
      if (pull_answer.proxy_snapshot && pull_answer.proxy_snapshot->routing_tables[0]) {
        table_entries =
            std::max(table_entries, pull_answer.proxy_snapshot->routing_tables[0]->entries.size());
        for (const auto& entry : pull_answer.proxy_snapshot->routing_tables[0]->entries) {
          ReplicaLoadReport report{config.proxies.known[proxy].zone,
                                   entry.replica,
                                   static_cast<std::uint32_t>(1 + random_engine() % 3),
                                   0,
                                   50ms,
                                   1s,
                                   {0.5F}};
          measure_call([&] { instance.on_replica_load_report(report, {id, {}}); });
          ++report_count;
        }
      }
      measure_call([&] { instance.on_demand_report({ClassId{0}, 10, 0, 1s}, {id, {}}); });
    }
    // Each second, one replica starts to drain; measures the time until no routing table names that replica.
    auto changed_endpoints = endpoints;
    changed_endpoints[drained_count].draining = true;
    const auto drain_time = now();
    measure_call([&] {
      instance.on_endpoint_list_changed(endpoint_list.update(drain_time, wall_time(), changed_endpoints));
    });
    endpoints = changed_endpoints;
    const ReplicaId drained_replica{*instance.find_replica(endpoints[drained_count].name)};
    drained_count = std::min(drained_count + 1, replicas / 3);
    bool is_named = true;
    while (is_named && now() - drain_time < 2s) {
      is_named = false;
      const auto version = instance.status().snapshot;
      for (const auto& [proxy, proxy_snapshot] : version->proxy_snapshots) {
        for (const auto& entry : proxy_snapshot->routing_tables[0]->entries)
          is_named = is_named || entry.replica == drained_replica;
      }
    }
    drain_times_ms.push_back(std::chrono::duration<double, std::milli>(now() - drain_time).count());
  }
  const double cpu_used = cpu_seconds() - cpu_start;
  const double elapsed_seconds = std::chrono::duration<double>(now() - start).count();
  std::printf(
      "%zu reports, tables of up to %zu entries; a call, waiting for the lock included: p50 %.1f us, p99 "
      "%.1f us, "
      "max %.0f us\n",
      report_count, table_entries, quantile(call_times_us, 0.5), quantile(call_times_us, 0.99),
      quantile(call_times_us, 1));
  const double controller_only = controller_cpu(config, replicas, table_entries, static_cast<int>(seconds));
  std::printf("the controller alone, at the same number of load reports per second: CPU %.3f of a core\n",
              controller_only);
  std::printf(
      "CPU %.3f of a core (this driver included); from a drain in the list to no table that names it: p50 "
      "%.2f ms, max "
      "%.2f ms; resident %.0f MiB; queued entries at most %.0f of %.0f\n",
      cpu_used / elapsed_seconds, quantile(drain_times_ms, 0.5), quantile(drain_times_ms, 1), resident_mib(),
      instance.status().pull_counts.max_queued_entries, config.settings.channel_max_queued_entries);
  if (record) {
    instance.stop();
    record->stop();
    const auto counts = record->counts();
    std::printf("recorded %llu calls in %llu bytes, %llu lost\n",
                static_cast<unsigned long long>(counts.entries),
                static_cast<unsigned long long>(counts.bytes), static_cast<unsigned long long>(counts.lost));
  }
}
