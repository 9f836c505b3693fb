// From a drain in the roll file to the swap of a generation without that replica, in the folders of half the
// proxies; the other half asks DNS over and over on the same day. Also what was written for it, as whole
// tables and as the lines that differ, and the service's CPU.
//
//   bench_push REPLICAS PROXIES [DRAINS] [slow]
//
// `slow`: one more proxy has a receiver that takes a connection and never answers.
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

double cpu(int who) {
  rusage used{};
  ::getrusage(who, &used);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}
// Of the service's threads: those of this one, which looks on, are left out.
double service_cpu() { return cpu(RUSAGE_SELF) - cpu(RUSAGE_THREAD); }

double milliseconds(Clock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

void print(const char* what, std::vector<double> took) {
  // Proxies that never sent there are done at once and would flatter the figures.
  std::erase_if(took, [](double ms) { return ms < 1; });
  std::sort(took.begin(), took.end());
  if (took.empty()) return;
  std::printf("%s: p50 %.1f ms, p99 %.1f ms, last %.1f ms after the roll's change (%zu)\n", what,
              took[took.size() / 2], took[took.size() * 99 / 100], took.back(), took.size());
}

struct Written {
  std::size_t orders = 0, bytes = 0, lines = 0, lines_changed = 0;
};

// What a generation brought, beside the one before.
void count(Written& written, const files::Generation* before, const files::Generation& now) {
  using Lines = std::set<std::tuple<std::string, std::string, std::uint16_t>>;
  const auto lines_of = [](const files::Generation& generation) {
    Lines lines;
    for (const auto& [file, text] : generation.files) {
      for (const auto& target : fakes::read_envoy(text).targets)
        lines.emplace(file, target.name, target.weight);
    }
    return lines;
  };
  const auto lines = lines_of(now), old = before ? lines_of(*before) : Lines{};
  std::vector<Lines::value_type> changed;
  std::set_symmetric_difference(lines.begin(), lines.end(), old.begin(), old.end(),
                                std::back_inserter(changed));
  std::set<std::pair<std::string, std::string>> names;  // a new weight is one line
  for (const auto& [file, name, weight] : changed) names.emplace(file, name);
  ++written.orders;
  written.lines += lines.size();
  written.lines_changed += names.size();
  for (const auto& [file, text] : now.files) written.bytes += text.size();
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t replicas = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 160;
  const std::size_t proxies = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 220;
  const std::size_t drains = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : 8;
  const bool slow = argc > 4;
  const auto home = std::filesystem::temp_directory_path() / "ospreypost-bench-push";
  std::filesystem::remove_all(home);
  std::filesystem::create_directories(home);
  auto config = bench::fleet_config(proxies + (slow ? 1 : 0));
  config.roll.path = (home / "roll.json").string();
  config.files.reader_confirms = false;
  config.dns.answers_per_second = 1e9;
  config.dns.max_udp_bytes = 4096;
  std::vector<std::size_t> pushed, asking;
  for (std::size_t p = 0; p < proxies; ++p) (p % 2 == 0 ? pushed : asking).push_back(p);
  for (const auto p : pushed) config.proxies.known[p].folder = (home / config.proxies.known[p].name).string();
  const auto silent = net::listen_tcp({"127.0.0.1", 0}, 100);
  if (slow) config.proxies.known.back().receiver = net::local_address(silent);
  auto roll = bench::fleet_roll(replicas, config);
  bench::write_roll(config.roll.path, roll);
  const auto started = Clock::now();
  control_plane::ControlPlaneServer service(config, std::make_shared<spdlog::logger>("none"));

  const auto socket = net::bind_udp({"127.0.0.1", 0});
  const auto answer_names = [&](std::size_t p, const std::string& name) {
    std::array<std::uint8_t, 65535> buffer{};
    const auto asks = "_sign-job._tcp." + config.proxies.known[p].name + ".proxies.farm.example.";
    net::send_to(socket, dns::write_question(1, asks, dns::Type::srv, 4096), service.dns_address());
    const auto got = net::receive_from(socket, buffer, Clock::now() + 1s);
    const std::string_view wire(reinterpret_cast<const char*>(buffer.data()), got ? got->first : 0);
    return wire.find(static_cast<char>(name.size()) + name) != std::string_view::npos;
  };
  std::map<std::size_t, files::Generation> held;
  std::map<std::size_t, std::filesystem::path> links;
  Written written;
  const auto names = [&](std::size_t p, const std::string& replica) {
    const auto& of = held[p].names;
    return std::find(of.begin(), of.end(), replica) != of.end();
  };
  // Follows one folder; true when its generation is another one, without that replica.
  const auto swapped = [&](std::size_t p, const std::string& without) {
    const std::filesystem::path folder = config.proxies.known[p].folder;
    std::error_code error;
    const auto link = std::filesystem::read_symlink(folder / "current", error);
    if (error || link == links[p]) return false;
    const auto found = files::read_current(folder);
    if (!found) return false;
    links[p] = link;
    if (!without.empty()) count(written, &held[p], *found);
    held[p] = *found;
    return without.empty() || !names(p, without);
  };
  // Looks until both halves are done; how long each took, of those that sent there.
  const auto until_all = [&](const std::string& without) {
    std::array<std::vector<double>, 2> took;
    const auto begun = Clock::now();
    const auto work_off = [&](std::set<std::size_t> left, std::vector<double>& times, auto done) {
      while (!left.empty() && Clock::now() - begun < 20s) {
        std::erase_if(left, [&](std::size_t p) {
          if (!done(p)) return false;
          times.push_back(milliseconds(Clock::now() - begun));
          return true;
        });
        std::this_thread::sleep_for(500us);
      }
      if (!left.empty()) std::printf("%zu proxies were not reached within 20 s\n", left.size());
    };
    std::set<std::size_t> named;
    if (!without.empty()) named.insert(asking.begin(), asking.end());
    const net::Thread asker(
        "asker", [&] { work_off(named, took[1], [&](std::size_t p) { return !answer_names(p, without); }); },
        1024 * 1024);
    std::set<std::size_t> left(pushed.begin(), pushed.end());
    std::erase_if(left, [&](std::size_t p) { return !without.empty() && !names(p, without); });
    work_off(left, took[0], [&](std::size_t p) { return swapped(p, without); });
    return took;
  };
  until_all("");
  std::printf(
      "%zu replicas, %zu proxies with folders, %zu on DNS%s: all folders hold a table %.2f s after the "
      "start\n",
      replicas, pushed.size(), asking.size(), slow ? ", one that never answers" : "",
      std::chrono::duration<double>(Clock::now() - started).count());
  for (const auto p : asking) answer_names(p, "x");
  std::vector<double> swaps, answers;
  double used = 0;
  for (std::size_t n = 0; n < std::min(drains, replicas / 3); ++n) {
    std::this_thread::sleep_for(1500ms);
    for (const auto p : asking) answer_names(p, "x");
    for (const auto p : pushed) swapped(p, "");
    const double before = service_cpu();
    roll[n].draining = true;
    bench::write_roll(config.roll.path, roll);
    const auto took = until_all(roll[n].name);
    used += service_cpu() - before;
    swaps.insert(swaps.end(), took[0].begin(), took[0].end());
    answers.insert(answers.end(), took[1].begin(), took[1].end());
  }
  service.stop();
  std::filesystem::remove_all(home);
  print("swapped", swaps);
  print("answered", answers);
  const auto orders = static_cast<double>(std::max<std::size_t>(1, written.orders));
  std::printf(
      "for each swap: %.0f lines and %.0f bytes of whole tables, %.1f lines that differ; %.2f ms of CPU with "
      "the "
      "answers of that time\n",
      static_cast<double>(written.lines) / orders, static_cast<double>(written.bytes) / orders,
      static_cast<double>(written.lines_changed) / orders, used * 1e3 / orders);
}
