// On sockets: from a drain in the roll file to the last DNS answer that names the replica, with every proxy
// asking over and over, whatever the lifetime.
//
//   bench_drain REPLICAS PROXIES [DRAINS]
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "control_plane/control_plane_server.h"
#include "dns/message.h"
#include "fleet.h"

namespace {

using namespace ospreypost;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

}  // namespace

int main(int argc, char** argv) {
  const std::size_t replicas = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 160;
  const std::size_t proxies = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 220;
  const std::size_t drains = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : 20;
  const auto folder = std::filesystem::temp_directory_path() / "ospreypost-bench-drain";
  std::filesystem::create_directories(folder);
  auto config = bench::fleet_config(proxies);
  config.roll.path = (folder / "roll.json").string();
  config.dns.answers_per_second = 1e9;
  config.dns.max_udp_bytes = 4096;
  auto roll = bench::fleet_roll(replicas, config);
  bench::write_roll(config.roll.path, roll);
  control_plane::ControlPlaneServer service(config, std::make_shared<spdlog::logger>("none"));

  // The newest moment at which an answer named the replica that drains now.
  std::atomic<std::size_t> draining = replicas;
  std::atomic<Clock::rep> last_named = 0;
  std::atomic<std::uint64_t> answers = 0;
  std::atomic<bool> stop = false;
  std::vector<net::Thread> askers;
  constexpr std::size_t threads = 2;
  for (std::size_t t = 0; t < threads; ++t) {
    askers.emplace_back(
        "asker",
        [&, t] {
          const auto socket = net::bind_udp({"127.0.0.1", 0});
          std::array<std::uint8_t, 65535> buffer{};
          std::vector<dns::Bytes> questions;
          for (std::size_t p = t; p < proxies; p += threads)
            questions.push_back(
                dns::write_question(1, "_sign-job._tcp.proxy-" + std::to_string(p) + ".proxies.farm.example.",
                                    dns::Type::srv, 4096));
          for (std::size_t n = 0; !stop; n = (n + 1) % questions.size()) {
            net::send_to(socket, questions[n], service.dns_address());
            const auto got = net::receive_from(socket, buffer, Clock::now() + 100ms);
            const auto at = Clock::now();
            ++answers;
            const auto target = draining.load();
            if (!got || target >= replicas) continue;
            const std::string name = "unit-" + std::to_string(target);
            const std::string label = static_cast<char>(name.size()) + name + "\x08replicas";
            const std::string_view wire(reinterpret_cast<const char*>(buffer.data()), got->first);
            if (wire.find(label) != std::string_view::npos) last_named = at.time_since_epoch().count();
          }
        },
        1024 * 1024);
  }
  std::this_thread::sleep_for(2s);
  std::vector<double> took;  // milliseconds
  for (std::size_t n = 0; n < std::min(drains, replicas / 3); ++n) {
    roll[n].draining = true;
    draining = n;
    const auto begun = Clock::now();
    bench::write_roll(config.roll.path, roll);
    std::this_thread::sleep_for(400ms);
    const auto last = Clock::time_point(Clock::duration(last_named.load()));
    took.push_back(std::max(0.0, std::chrono::duration<double, std::milli>(last - begun).count()));
  }
  stop = true;
  askers.clear();
  service.stop();
  std::filesystem::remove_all(folder);
  std::sort(took.begin(), took.end());
  std::printf(
      "%zu replicas, %zu proxies, %zu drains, %llu answers: last answer that names the drained replica p50 "
      "%.1f ms, "
      "most %.1f ms after the roll's change\n",
      replicas, proxies, took.size(), static_cast<unsigned long long>(answers.load()), took[took.size() / 2],
      took.back());
}
