// Measures the time from a drain in the endpoint file until proxies have tables without the draining replica.
// Half of the proxies read generations of table files from a folder: the time ends when the folder is
// switched to a generation without the replica. The other proxies send DNS queries without pause: the time
// ends at the first answer without the replica. The benchmark also counts the entries and bytes of the
// written generations, the entries that differ between generations, and the CPU time of the service.
//
//   bench_push REPLICAS PROXIES [DRAINS] [slow]
//
// With `slow`, one more proxy has a receiver that accepts connections and never answers.
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <thread>

#include "control_plane/control_plane_server.h"
#include "dns/message.h"
#include "fakes/tables.h"
#include "files/generation_store.h"
#include "fleet.h"

namespace {

using namespace ospreypost;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

double cpu_seconds(int usage_of) {
  rusage usage{};
  ::getrusage(usage_of, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}
// Returns the CPU time of the process without that of the calling thread, which only measures.
double service_cpu_seconds() { return cpu_seconds(RUSAGE_SELF) - cpu_seconds(RUSAGE_THREAD); }

double milliseconds(Clock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

void print_times(const char* label, std::vector<double> times_ms) {
  // Drops times below 1 ms. Such times come from proxies whose tables did not contain the replica: these
  // proxies are done at once, and their times would lower the reported figures.
  std::erase_if(times_ms, [](double ms) { return ms < 1; });
  std::sort(times_ms.begin(), times_ms.end());
  if (times_ms.empty()) return;
  std::printf("%s: p50 %.1f ms, p99 %.1f ms, last %.1f ms after the change of the endpoint file (%zu)\n",
              label, times_ms[times_ms.size() / 2], times_ms[times_ms.size() * 99 / 100], times_ms.back(),
              times_ms.size());
}

struct WriteTotals {
  std::size_t generations = 0, bytes = 0, entries = 0, entries_changed = 0;
};

// Adds the size of a generation, and its difference from the generation `before`, to the totals.
void add_generation(WriteTotals& written, const files::Generation* before,
                    const files::Generation& generation) {
  using Entries = std::set<std::tuple<std::string, std::string, std::uint16_t>>;
  const auto entries_of = [](const files::Generation& generation) {
    Entries entries;
    for (const auto& [file, text] : generation.files) {
      for (const auto& target : fakes::read_envoy(text).targets)
        entries.emplace(file, target.name, target.weight);
    }
    return entries;
  };
  const auto entries = entries_of(generation), old_entries = before ? entries_of(*before) : Entries{};
  std::vector<Entries::value_type> changed;
  std::set_symmetric_difference(entries.begin(), entries.end(), old_entries.begin(), old_entries.end(),
                                std::back_inserter(changed));
  // An entry whose weight changed is in `changed` with both weights, but counts once.
  std::set<std::pair<std::string, std::string>> changed_names;
  for (const auto& [file, name, weight] : changed) changed_names.emplace(file, name);
  ++written.generations;
  written.entries += entries.size();
  written.entries_changed += changed_names.size();
  for (const auto& [file, text] : generation.files) written.bytes += text.size();
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t replicas = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 160;
  const std::size_t proxies = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 220;
  const std::size_t drains = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : 8;
  const bool slow = argc > 4;
  const auto base_folder = std::filesystem::temp_directory_path() / "ospreypost-bench-push";
  std::filesystem::remove_all(base_folder);
  std::filesystem::create_directories(base_folder);
  auto config = bench::fleet_config(proxies + (slow ? 1 : 0));
  config.roll.path = (base_folder / "roll.json").string();
  config.files.reader_confirms = false;
  config.dns.answers_per_second = 1e9;
  config.dns.max_udp_bytes = 4096;
  std::vector<std::size_t> file_proxies, dns_proxies;
  for (std::size_t proxy = 0; proxy < proxies; ++proxy)
    (proxy % 2 == 0 ? file_proxies : dns_proxies).push_back(proxy);
  for (const auto proxy : file_proxies)
    config.proxies.known[proxy].folder = (base_folder / config.proxies.known[proxy].name).string();
  const auto silent_listener = net::listen_tcp({"127.0.0.1", 0}, 100);
  if (slow) config.proxies.known.back().receiver = net::local_address(silent_listener);
  auto endpoints = bench::fleet_endpoints(replicas, config);
  bench::write_endpoint_file(config.roll.path, endpoints);
  const auto service_start = Clock::now();
  control_plane::ControlPlaneServer service(config, std::make_shared<spdlog::logger>("none"));

  const auto socket = net::bind_udp({"127.0.0.1", 0});
  const auto answer_contains = [&](std::size_t proxy, const std::string& name) {
    std::array<std::uint8_t, 65535> buffer{};
    const auto query_name = "_sign-job._tcp." + config.proxies.known[proxy].name + ".proxies.farm.example.";
    net::send_to(socket, dns::write_question(1, query_name, dns::Type::srv, 4096), service.dns_address());
    const auto received = net::receive_from(socket, buffer, Clock::now() + 1s);
    const std::string_view wire(reinterpret_cast<const char*>(buffer.data()), received ? received->first : 0);
    return wire.find(static_cast<char>(name.size()) + name) != std::string_view::npos;
  };
  std::map<std::size_t, files::Generation> current_generations;
  std::map<std::size_t, std::filesystem::path> current_links;
  WriteTotals written;
  const auto generation_names = [&](std::size_t proxy, const std::string& replica) {
    const auto& replica_names = current_generations[proxy].names;
    return std::find(replica_names.begin(), replica_names.end(), replica) != replica_names.end();
  };
  // Reads the folder of a proxy if its link has changed. Returns true if the folder has a new generation that
  // does not name the replica. With an empty replica name, any new generation is enough.
  const auto has_swapped = [&](std::size_t proxy, const std::string& drained_replica) {
    const std::filesystem::path folder = config.proxies.known[proxy].folder;
    std::error_code error;
    const auto link = std::filesystem::read_symlink(folder / "current", error);
    if (error || link == current_links[proxy]) return false;
    const auto found = files::read_current(folder);
    if (!found) return false;
    current_links[proxy] = link;
    if (!drained_replica.empty()) add_generation(written, &current_generations[proxy], *found);
    current_generations[proxy] = *found;
    return drained_replica.empty() || !generation_names(proxy, drained_replica);
  };
  // Waits at most 20 s until no table of any proxy contains the replica. Returns the times in milliseconds of
  // the proxies with folders and of the proxies on DNS, without the folders that did not name the replica.
  // With an empty replica name, waits until each folder has a new generation.
  const auto wait_for_all = [&](const std::string& drained_replica) {
    std::array<std::vector<double>, 2> times_ms;
    const auto start = Clock::now();
    const auto poll_until_done = [&](std::set<std::size_t> pending, std::vector<double>& proxy_times_ms,
                                     auto is_done) {
      while (!pending.empty() && Clock::now() - start < 20s) {
        std::erase_if(pending, [&](std::size_t proxy) {
          if (!is_done(proxy)) return false;
          proxy_times_ms.push_back(milliseconds(Clock::now() - start));
          return true;
        });
        std::this_thread::sleep_for(500us);
      }
      if (!pending.empty()) std::printf("%zu proxies were not done within 20 s\n", pending.size());
    };
    std::set<std::size_t> naming_proxies;
    if (!drained_replica.empty()) naming_proxies.insert(dns_proxies.begin(), dns_proxies.end());
    const net::Thread dns_thread(
        "dns-client",
        [&] {
          poll_until_done(naming_proxies, times_ms[1],
                          [&](std::size_t proxy) { return !answer_contains(proxy, drained_replica); });
        },
        1024 * 1024);
    std::set<std::size_t> pending(file_proxies.begin(), file_proxies.end());
    std::erase_if(pending, [&](std::size_t proxy) {
      return !drained_replica.empty() && !generation_names(proxy, drained_replica);
    });
    poll_until_done(pending, times_ms[0],
                    [&](std::size_t proxy) { return has_swapped(proxy, drained_replica); });
    return times_ms;
  };
  wait_for_all("");
  std::printf(
      "%zu replicas, %zu proxies with folders, %zu on DNS%s: all folders hold a table %.2f s after the "
      "start\n",
      replicas, file_proxies.size(), dns_proxies.size(), slow ? ", one receiver that never answers" : "",
      std::chrono::duration<double>(Clock::now() - service_start).count());
  for (const auto proxy : dns_proxies) answer_contains(proxy, "x");
  std::vector<double> swap_times_ms, answer_times_ms;
  double cpu_used = 0;
  for (std::size_t n = 0; n < std::min(drains, replicas / 3); ++n) {
    std::this_thread::sleep_for(1500ms);
    for (const auto proxy : dns_proxies) answer_contains(proxy, "x");
    for (const auto proxy : file_proxies) has_swapped(proxy, "");
    const double before = service_cpu_seconds();
    endpoints[n].draining = true;
    bench::write_endpoint_file(config.roll.path, endpoints);
    const auto times_ms = wait_for_all(endpoints[n].name);
    cpu_used += service_cpu_seconds() - before;
    swap_times_ms.insert(swap_times_ms.end(), times_ms[0].begin(), times_ms[0].end());
    answer_times_ms.insert(answer_times_ms.end(), times_ms[1].begin(), times_ms[1].end());
  }
  service.stop();
  std::filesystem::remove_all(base_folder);
  print_times("swapped", swap_times_ms);
  print_times("answered", answer_times_ms);
  const auto generations = static_cast<double>(std::max<std::size_t>(1, written.generations));
  std::printf(
      "for each swap: %.0f entries and %.0f bytes of whole tables, %.1f entries changed; %.2f ms of CPU with "
      "the "
      "DNS answers of that time\n",
      static_cast<double>(written.entries) / generations, static_cast<double>(written.bytes) / generations,
      static_cast<double>(written.entries_changed) / generations, cpu_used * 1e3 / generations);
}
