#include "dns/server.h"

#include <algorithm>
#include <array>
#include <memory>

namespace ospreypost::dns {
namespace {

using namespace std::chrono_literals;

constexpr auto kLook = 200ms;  // for the end of service, between waits
constexpr auto kIdle = 3s;     // for the next question on a connection
constexpr auto kWhole = 2s;    // for a question to arrive, or an answer to be taken
constexpr int kMostOnConnection = 10000;

Nanos now() { return std::chrono::steady_clock::now().time_since_epoch(); }

std::pair<net::Socket, net::Socket> bind_both(net::Address address) {
  // A free port of one protocol may be taken for the other.
  for (int attempts = address.port == 0 ? 20 : 1;; --attempts) {
    auto udp = net::bind_udp(address);
    auto both = address;
    both.port = net::local_address(udp).port;
    try {
      return {std::move(udp), net::listen_tcp(both, 128)};
    } catch (const net::Error&) {
      if (attempts <= 1) throw;
    }
  }
}

}  // namespace

Server::Server(const config::DnsFront& settings, Responder& responder, std::uint64_t seed, Complain complain)
    : responder_(responder),
      complain_(std::move(complain)),
      chance_(static_cast<std::mt19937::result_type>(seed ^ seed >> 32)),
      rate_(settings.answers_per_second, chance_),
      guests_(std::max<std::size_t>(1, settings.most_connections / 2)),
      connections_("dns-connection", settings.most_connections, settings.most_connections) {
  std::tie(udp_, tcp_) = bind_both(settings.listen);
  for (std::size_t n = 0; n < settings.threads; ++n)
    threads_.emplace_back("dns-udp", [this] { serve_udp(); });
  threads_.emplace_back("dns-tcp", [this] { serve_tcp(); });
}

net::Address Server::address() const { return net::local_address(udp_); }

void Server::stop() {
  if (stopping_.exchange(true)) return;
  guests_.close();
  connections_.stop();
  for (auto& thread : threads_) thread.join();
}

void Server::serve_udp() {
  std::array<std::uint8_t, 4096> buffer{};
  while (!stopping_) {
    const auto got = net::receive_from(udp_, buffer, net::Steady::now() + kLook);
    if (!got) continue;
    try {
      answer_udp(std::span(buffer).first(got->first), got->second);
    } catch (const std::exception& error) {
      complain_(error.what());
    }
  }
}

void Server::answer_udp(std::span<const std::uint8_t> wire, const net::Address& from) {
  bool allowed = true;
  {
    const std::lock_guard held(rate_lock_);
    allowed = rate_.allows(now(), from.host);
  }
  if (allowed) {
    if (const auto answer = responder_.answer(wire, false)) net::send_to(udp_, *answer, from);
    return;
  }
  const auto question = read_question(wire);
  if (question && question->fault == Code::ok) net::send_to(udp_, write_truncated(*question), from);
}

void Server::serve_tcp() {
  while (!stopping_) {
    try {
      auto accepted = net::accept(tcp_, net::Steady::now() + kLook);
      if (!accepted || !guests_.admit(accepted->second.host)) continue;
      const auto host = accepted->second.host;
      const auto socket = std::make_shared<net::Socket>(std::move(accepted->first));
      const bool taken = connections_.take([this, socket, host] {
        serve_connection(*socket);
        guests_.release(host);
      });
      if (!taken) guests_.release(host);
    } catch (const std::exception& error) {
      complain_(error.what());
    }
  }
}

// RFC 7766: several questions on one connection, each behind its length, answered in turn.
void Server::serve_connection(const net::Socket& socket) {
  if (!guests_.enter(socket.get())) return;
  try {
    std::vector<char> wire;
    for (int n = 0; n < kMostOnConnection && !stopping_; ++n) {
      std::array<char, 2> length{};
      if (!net::read_fully(socket, length, net::Steady::now() + kIdle)) break;
      wire.resize(static_cast<std::size_t>(static_cast<std::uint8_t>(length[0]) << 8 |
                                           static_cast<std::uint8_t>(length[1])));
      const auto until = net::Steady::now() + kWhole;
      if (!net::read_fully(socket, wire, until)) break;
      const auto* bytes = reinterpret_cast<const std::uint8_t*>(wire.data());
      const auto answer = responder_.answer({bytes, wire.size()}, true);
      if (!answer) break;
      std::vector<char> framed{static_cast<char>(answer->size() >> 8),
                               static_cast<char>(answer->size() & 255)};
      framed.insert(framed.end(), answer->begin(), answer->end());
      net::write_fully(socket, framed, net::Steady::now() + kWhole);
    }
  } catch (const std::exception&) {
    // A slow or broken peer costs its own connection only.
  }
  guests_.leave(socket.get());
}

}  // namespace ospreypost::dns
