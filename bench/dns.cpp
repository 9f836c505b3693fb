// Measures the DNS answers per second for routing tables of 8, 40 and 200 entries. The rate is compared with
// a UDP echo of messages of the same sizes in the same run; DNS server and echo have one thread each. The
// benchmark also measures the latency of both at half of the rate that each has reached.
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

struct FixedPullService : delivery::PullService {
  explicit FixedPullService(std::uint32_t entry_count) {
    delivery::EndpointDirectory endpoint_directory;
    auto routing_table = std::make_shared<routing_state::RoutingTable>();
    routing_table->traffic_policies.resize(2);
    for (std::uint32_t id = 0; id < entry_count; ++id) {
      endpoint_directory.endpoints.push_back(
          {"unit-" + std::to_string(id), "east", {"127.0.0.1", 9000}, false});
      routing_table->entries.push_back({ReplicaId{id}, 1.0 + id});
    }
    auto proxy_snapshot = std::make_shared<routing_state::ProxySnapshot>();
    proxy_snapshot->routing_tables = {routing_table, routing_table};
    pull_answer.ttl_decision = {dns::ClientService::replicas, dns::Ttl{2}};
    pull_answer.proxy_snapshot = proxy_snapshot;
    pull_answer.directory = std::make_shared<delivery::EndpointDirectory>(std::move(endpoint_directory));
  }
  delivery::PullAnswer on_query(ProxyId, ClassId) override { return pull_answer; }
  delivery::PullAnswer on_zone_query(ZoneId) override { return pull_answer; }
  std::shared_ptr<const delivery::EndpointDirectory> directory() const override {
    return pull_answer.directory;
  }
  routing_state::SnapshotVersion version() const override { return {}; }
  delivery::PullAnswer pull_answer;
};

struct LoadResult {
  double per_second = 0, p50_us = 0, p99_us = 0;
};

// Sends `question` to `server` for `seconds` from two client threads and measures the rate of the answers.
// With `queries_per_second` 0, each client keeps 16 queries in flight. Otherwise the clients together send
// at that rate, with one query in flight per client, and the latency of the answers is measured too.
LoadResult measure_load(const net::Address& server, const dns::Bytes& question, double seconds,
                        double queries_per_second) {
  constexpr int kClients = 2;
  std::atomic<std::uint64_t> answered = 0;
  std::array<std::vector<double>, kClients> latencies_us;
  const auto end =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
  {
    std::vector<net::Thread> threads;
    for (int client = 0; client < kClients; ++client) {
      threads.emplace_back(
          "dns-client",
          [&, client] {
            const auto socket = net::bind_udp({"127.0.0.1", 0});
            std::array<std::uint8_t, 65535> buffer{};
            auto next_send = Clock::now();
            int outstanding = 0;
            const int window = queries_per_second > 0 ? 1 : 16;
            while (Clock::now() < end) {
              if (queries_per_second > 0) {
                next_send += std::chrono::duration_cast<Clock::duration>(
                    std::chrono::duration<double>(kClients / queries_per_second));
                while (Clock::now() < next_send) {
                }
              }
              const auto start = Clock::now();
              while (outstanding < window) net::send_to(socket, question, server), ++outstanding;
              if (net::receive_from(socket, buffer, net::Steady::now() + 100ms)) ++answered;
              outstanding = std::max(0, outstanding - 1);
              if (queries_per_second > 0)
                latencies_us[static_cast<std::size_t>(client)].push_back(
                    std::chrono::duration<double, std::micro>(Clock::now() - start).count());
            }
          },
          1024 * 1024);
    }
  }
  LoadResult result;
  result.per_second = static_cast<double>(answered) / seconds;
  auto sorted_us = latencies_us[0];
  sorted_us.insert(sorted_us.end(), latencies_us[1].begin(), latencies_us[1].end());
  if (sorted_us.empty()) return result;
  std::sort(sorted_us.begin(), sorted_us.end());
  result.p50_us = sorted_us[sorted_us.size() / 2];
  result.p99_us = sorted_us[sorted_us.size() * 99 / 100];
  return result;
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
  for (const std::uint32_t entry_count : {8U, 40U, 200U}) {
    FixedPullService pull_service(entry_count);
    dns::Responder responder(config, pull_service);
    const auto answer = responder.answer(question, false).value();
    dns::Server server(config.dns, responder, 1, [](const std::string&) {});
    std::atomic<bool> stop = false;
    const auto echo_socket = net::bind_udp({"127.0.0.1", 0});
    net::Thread echo_thread("echo", [&] {
      std::array<std::uint8_t, 4096> buffer{};
      while (!stop) {
        const auto received = net::receive_from(echo_socket, buffer, net::Steady::now() + 100ms);
        if (received) net::send_to(echo_socket, answer, received->second);
      }
    });
    double best_ratio = 0, ratio_sum = 0;
    constexpr int kRounds = 3;
    LoadResult echo_load, dns_load;
    for (int round = 0; round < kRounds; ++round) {
      echo_load = measure_load(net::local_address(echo_socket), question, seconds, 0);
      dns_load = measure_load(server.address(), question, seconds, 0);
      best_ratio = std::max(best_ratio, dns_load.per_second / echo_load.per_second);
      ratio_sum += dns_load.per_second / echo_load.per_second;
    }
    const auto half_dns_load = measure_load(server.address(), question, seconds, dns_load.per_second / 2);
    const auto half_echo_load =
        measure_load(net::local_address(echo_socket), question, seconds, echo_load.per_second / 2);
    std::printf(
        "%3u lines, %4zu bytes%s: %7.0f answers/s, echo %7.0f/s, ratio mean %.2f best %.2f; at half load p50 "
        "%.0f us p99 %.0f us (echo p99 %.0f us)\n",
        entry_count, answer.size(), (answer[2] & 2) ? " (truncated)" : "", dns_load.per_second,
        echo_load.per_second, ratio_sum / kRounds, best_ratio, half_dns_load.p50_us, half_dns_load.p99_us,
        half_echo_load.p99_us);
    stop = true;
  }
}
