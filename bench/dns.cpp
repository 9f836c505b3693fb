// DNS answers a second for tables of 8, 40 and 200 lines, as a ratio to a bare UDP echo of the same sizes in
// the same run, both by one serving thread; and the latency of answers at half that load.
//
//   bench_dns [SECONDS]
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>

#include "dns/server.h"
#include "fleet.h"

namespace {

using namespace ospreypost;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

struct Fixed : delivery::PullService {
  explicit Fixed(std::uint32_t lines) {
    delivery::EndpointDirectory places;
    auto view = std::make_shared<routing_state::RoutingTable>();
    view->traffic_policies.resize(2);
    for (std::uint32_t id = 0; id < lines; ++id) {
      places.endpoints.push_back({"unit-" + std::to_string(id), "east", {"127.0.0.1", 9000}, false});
      view->entries.push_back({ReplicaId{id}, 1.0 + id});
    }
    auto proxy_snapshot = std::make_shared<routing_state::ProxySnapshot>();
    proxy_snapshot->routing_tables = {view, view};
    told.ttl_decision = {dns::ClientService::replicas, dns::Ttl{2}};
    told.proxy_snapshot = proxy_snapshot;
    told.directory = std::make_shared<delivery::EndpointDirectory>(std::move(places));
  }
  delivery::PullAnswer on_query(ProxyId, ClassId) override { return told; }
  delivery::PullAnswer on_zone_query(ZoneId) override { return told; }
  std::shared_ptr<const delivery::EndpointDirectory> directory() const override { return told.directory; }
  routing_state::SnapshotVersion version() const override { return {}; }
  delivery::PullAnswer told;
};

struct Load {
  double per_second = 0, p50_us = 0, p99_us = 0;
};

// Two askers with a window of questions each, or at a stated pace with one each.
Load ask(const net::Address& server, const dns::Bytes& question, double seconds, double pace) {
  constexpr int askers = 2;
  std::atomic<std::uint64_t> answered = 0;
  std::array<std::vector<double>, askers> took;
  const auto end =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
  {
    std::vector<net::Thread> threads;
    for (int a = 0; a < askers; ++a) {
      threads.emplace_back(
          "asker",
          [&, a] {
            const auto socket = net::bind_udp({"127.0.0.1", 0});
            std::array<std::uint8_t, 65535> buffer{};
            auto next = Clock::now();
            int outstanding = 0;
            const int window = pace > 0 ? 1 : 16;
            while (Clock::now() < end) {
              if (pace > 0) {
                next +=
                    std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(askers / pace));
                while (Clock::now() < next) {
                }
              }
              const auto begun = Clock::now();
              while (outstanding < window) net::send_to(socket, question, server), ++outstanding;
              if (net::receive_from(socket, buffer, net::Steady::now() + 100ms)) ++answered;
              outstanding = std::max(0, outstanding - 1);
              if (pace > 0)
                took[static_cast<std::size_t>(a)].push_back(
                    std::chrono::duration<double, std::micro>(Clock::now() - begun).count());
            }
          },
          1024 * 1024);
    }
  }
  Load load;
  load.per_second = static_cast<double>(answered) / seconds;
  auto all = took[0];
  all.insert(all.end(), took[1].begin(), took[1].end());
  if (all.empty()) return load;
  std::sort(all.begin(), all.end());
  load.p50_us = all[all.size() / 2];
  load.p99_us = all[all.size() * 99 / 100];
  return load;
}

}  // namespace

int main(int argc, char** argv) {
  const double seconds = argc > 1 ? std::atof(argv[1]) : 3;
  auto config = test::small_config();
  config.dns.threads = 1;
  config.dns.answers_per_second = 1e9;
  config.dns.max_udp_bytes = 4096;
  const auto question =
      dns::write_question(7, "_sign-job._tcp.forwarder-1.proxies.farm.example.", dns::Type::srv, 4096);
  for (const std::uint32_t lines : {8U, 40U, 200U}) {
    Fixed core(lines);
    dns::Responder responder(config, core);
    const auto answer = responder.answer(question, false).value();
    dns::Server server(config.dns, responder, 1, [](const std::string&) {});
    std::atomic<bool> stop = false;
    const auto echo = net::bind_udp({"127.0.0.1", 0});
    net::Thread echoing("echo", [&] {
      std::array<std::uint8_t, 4096> buffer{};
      while (!stop) {
        const auto got = net::receive_from(echo, buffer, net::Steady::now() + 100ms);
        if (got) net::send_to(echo, answer, got->second);
      }
    });
    double best = 0, sum = 0;
    constexpr int rounds = 3;
    Load bare, served;
    for (int n = 0; n < rounds; ++n) {
      bare = ask(net::local_address(echo), question, seconds, 0);
      served = ask(server.address(), question, seconds, 0);
      best = std::max(best, served.per_second / bare.per_second);
      sum += served.per_second / bare.per_second;
    }
    const auto half = ask(server.address(), question, seconds, served.per_second / 2);
    const auto half_bare = ask(net::local_address(echo), question, seconds, bare.per_second / 2);
    std::printf(
        "%3u lines, %4zu bytes%s: %7.0f answers/s, echo %7.0f/s, ratio mean %.2f best %.2f; at half load p50 "
        "%.0f us p99 %.0f us (echo p99 %.0f us)\n",
        lines, answer.size(), (answer[2] & 2) ? " (truncated)" : "", served.per_second, bare.per_second,
        sum / rounds, best, half.p50_us, half.p99_us, half_bare.p99_us);
    stop = true;
  }
}
