#include "fakes/resolver.h"

#include <array>

#include "dns/message.h"

namespace ospreypost::fakes {
namespace {

using namespace std::chrono_literals;

}  // namespace

Resolver::Resolver(const net::Address& listen, double ttl_multiple)
    : ttl_multiple_(ttl_multiple), socket_(net::bind_udp(listen)) {
  thread_ = net::Thread("resolver", [this] { serve(); });
}

void Resolver::stop() {
  stopping_ = true;
  thread_.join();
}

void Resolver::serve() {
  std::array<std::uint8_t, 4096> buffer{};
  while (!stopping_) {
    const auto received = net::receive_from(socket_, buffer, net::Steady::now() + 100ms);
    if (!received || received->first < 12) continue;
    const std::span<const std::uint8_t> query(buffer.data(), received->first);
    const std::string key(query.begin() + 2, query.end());
    auto& cached = cache_[key];
    if (cached.answer.empty() || net::Steady::now() >= cached.expires_at) {
      cached.answer = query_upstream(query);
      if (cached.answer.size() < 12) {
        cache_.erase(key);
        continue;
      }
      cached.expires_at = net::Steady::now() + cache_time(cached.answer);
    }
    auto answer = cached.answer;
    answer[0] = query[0];
    answer[1] = query[1];
    net::send_to(socket_, answer, received->second);
  }
}

std::vector<std::uint8_t> Resolver::query_upstream(std::span<const std::uint8_t> query) {
  const auto upstream = upstream_.load();
  if (!upstream) return {};
  std::array<std::uint8_t, 4096> buffer{};
  const auto socket = net::bind_udp({"127.0.0.1", 0});
  net::send_to(socket, query, *upstream);
  const auto received = net::receive_from(socket, buffer, net::Steady::now() + 500ms);
  return received ? std::vector<std::uint8_t>(buffer.begin(),
                                              buffer.begin() + static_cast<std::ptrdiff_t>(received->first))
                  : std::vector<std::uint8_t>{};
}

net::Steady::duration Resolver::cache_time(const std::vector<std::uint8_t>& answer) const {
  std::uint32_t seconds = 1;
  try {
    const auto message = dns::read_answer(answer);
    if (!message.answers.empty()) seconds = message.answers.front().ttl;
    if (message.code == dns::Code::server_failure) seconds = 0;
  } catch (const net::Error&) {
    seconds = 0;
  }
  return std::chrono::duration_cast<net::Steady::duration>(
      std::chrono::duration<double>(seconds * ttl_multiple_));
}

}  // namespace ospreypost::fakes
