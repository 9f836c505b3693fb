// Measures the time from a drain in the endpoint file to the last DNS answer that names the draining replica.
// The service runs on real sockets. Two threads repeat the queries of all proxies without pause and ignore
// the TTL of the answers.
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
  auto endpoints = bench::fleet_endpoints(replicas, config);
  bench::write_endpoint_file(config.roll.path, endpoints);
  control_plane::ControlPlaneServer service(config, std::make_shared<spdlog::logger>("none"));

  // Index of the replica that is draining; `replicas` before the first drain.
  std::atomic<std::size_t> draining = replicas;
  // Time of the last answer that named the draining replica.
  std::atomic<Clock::rep> last_named = 0;
  std::atomic<std::uint64_t> answers = 0;
  std::atomic<bool> stop = false;
  std::vector<net::Thread> clients;
  constexpr std::size_t kThreads = 2;
  for (std::size_t thread = 0; thread < kThreads; ++thread) {
    clients.emplace_back(
        "dns-client",
        [&, thread] {
          const auto socket = net::bind_udp({"127.0.0.1", 0});
          std::array<std::uint8_t, 65535> buffer{};
          std::vector<dns::Bytes> questions;
          for (std::size_t proxy = thread; proxy < proxies; proxy += kThreads)
            questions.push_back(dns::write_question(
                1, "_sign-job._tcp.proxy-" + std::to_string(proxy) + ".proxies.farm.example.", dns::Type::srv,
                4096));
          for (std::size_t n = 0; !stop; n = (n + 1) % questions.size()) {
            net::send_to(socket, questions[n], service.dns_address());
            const auto received = net::receive_from(socket, buffer, Clock::now() + 100ms);
            const auto received_at = Clock::now();
            ++answers;
            const auto draining_index = draining.load();
            if (!received || draining_index >= replicas) continue;
            const std::string name = "unit-" + std::to_string(draining_index);
            const std::string label = static_cast<char>(name.size()) + name + "\x08replicas";
            const std::string_view wire(reinterpret_cast<const char*>(buffer.data()), received->first);
            if (wire.find(label) != std::string_view::npos)
              last_named = received_at.time_since_epoch().count();
          }
        },
        1024 * 1024);
  }
  std::this_thread::sleep_for(2s);
  std::vector<double> drain_times_ms;
  for (std::size_t n = 0; n < std::min(drains, replicas / 3); ++n) {
    endpoints[n].draining = true;
    draining = n;
    const auto start = Clock::now();
    bench::write_endpoint_file(config.roll.path, endpoints);
    std::this_thread::sleep_for(400ms);
    const auto last_answer = Clock::time_point(Clock::duration(last_named.load()));
    drain_times_ms.push_back(
        std::max(0.0, std::chrono::duration<double, std::milli>(last_answer - start).count()));
  }
  stop = true;
  clients.clear();
  service.stop();
  std::filesystem::remove_all(folder);
  std::sort(drain_times_ms.begin(), drain_times_ms.end());
  std::printf(
      "%zu replicas, %zu proxies, %zu drains, %llu answers: last answer that names the drained replica p50 "
      "%.1f ms, "
      "max %.1f ms after the change of the endpoint file\n",
      replicas, proxies, drain_times_ms.size(), static_cast<unsigned long long>(answers.load()),
      drain_times_ms[drain_times_ms.size() / 2], drain_times_ms.back());
}
