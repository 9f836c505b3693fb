#include "dns/server.h"

#include <algorithm>
#include <array>
#include <memory>

namespace ospreypost::dns {
namespace {

using namespace std::chrono_literals;

constexpr auto kStopCheckInterval = 200ms;  // interval between two checks whether the server is stopping
constexpr auto kIdleTimeout = 3s;           // maximum wait for the next question on a connection
constexpr auto kTransferTimeout = 2s;       // maximum time for receiving a question or sending an answer
constexpr int kMaxQuestionsPerConnection = 10000;
// Connections that were shut down stay in the queue until a thread has noticed.
constexpr std::size_t kQueuedJobsPerThread = 4;

Nanos now() { return std::chrono::steady_clock::now().time_since_epoch(); }

std::pair<net::Socket, net::Socket> bind_udp_and_tcp(net::Address address) {
  // A port that is free for UDP may be in use for TCP, so the search for a free port is repeated.
  for (int attempts = address.port == 0 ? 20 : 1;; --attempts) {
    auto udp = net::bind_udp(address);
    auto tcp_address = address;
    tcp_address.port = net::local_address(udp).port;
    try {
      return {std::move(udp), net::listen_tcp(tcp_address, 128)};
    } catch (const net::Error&) {
      if (attempts <= 1) throw;
    }
  }
}

}  // namespace

Server::Server(const config::DnsFront& settings, Responder& responder, std::uint64_t seed,
               ErrorHandler on_error)
    : responder_(responder),
      on_error_(std::move(on_error)),
      rng_(static_cast<std::mt19937::result_type>(seed ^ seed >> 32)),
      rate_limit_(settings.answers_per_second, rng_),
      connection_limiter_({settings.max_connections, std::max<std::size_t>(1, settings.max_connections / 2)}),
      connection_threads_("dns-connection", settings.max_connections,
                          settings.max_connections * kQueuedJobsPerThread) {
  std::tie(udp_, tcp_) = bind_udp_and_tcp(settings.listen);
  for (std::size_t n = 0; n < settings.threads; ++n)
    threads_.emplace_back("dns-udp", [this] { serve_udp(); });
  threads_.emplace_back("dns-tcp", [this] { serve_tcp(); });
}

net::Address Server::address() const { return net::local_address(udp_); }

void Server::stop() {
  if (stopping_.exchange(true)) return;
  connection_limiter_.close();
  connection_threads_.stop();
  for (auto& thread : threads_) thread.join();
}

void Server::serve_udp() {
  std::array<std::uint8_t, 4096> buffer{};
  while (!stopping_) {
    const auto received = net::receive_from(udp_, buffer, net::Steady::now() + kStopCheckInterval);
    if (!received) continue;
    try {
      answer_udp(std::span(buffer).first(received->first), received->second);
    } catch (const std::exception& error) {
      on_error_(error.what());
    }
  }
}

void Server::answer_udp(std::span<const std::uint8_t> wire, const net::Address& from) {
  bool allowed = true;
  {
    const std::lock_guard lock(rate_mutex_);
    allowed = rate_limit_.allows(now(), from.host);
  }
  if (allowed) {
    if (const auto answer = responder_.answer(wire, false)) net::send_to(udp_, *answer, from);
    return;
  }
  const auto question = read_question(wire);
  if (question && question->error == Code::ok) net::send_to(udp_, write_truncated(*question), from);
}

void Server::serve_tcp() {
  while (!stopping_) {
    try {
      auto accepted = net::accept(tcp_, net::Steady::now() + kStopCheckInterval);
      if (!accepted) continue;
      const auto socket = std::make_shared<net::Socket>(std::move(accepted->first));
      if (!connection_limiter_.admit(socket->get(), accepted->second.host)) continue;
      const bool is_queued = connection_threads_.take([this, socket] { serve_connection(*socket); });
      if (!is_queued) connection_limiter_.release(socket->get());
    } catch (const std::exception& error) {
      on_error_(error.what());
    }
  }
}

// Serves one TCP connection according to RFC 7766: the client may send several questions, each preceded by
// its length; the questions are answered in order.
void Server::serve_connection(const net::Socket& socket) {
  try {
    std::vector<char> wire;
    for (int n = 0; n < kMaxQuestionsPerConnection && !stopping_; ++n) {
      std::array<char, 2> length{};
      if (!net::read_fully(socket, length, net::Steady::now() + kIdleTimeout)) break;
      wire.resize(static_cast<std::size_t>(static_cast<std::uint8_t>(length[0]) << 8 |
                                           static_cast<std::uint8_t>(length[1])));
      const auto deadline = net::Steady::now() + kTransferTimeout;
      if (!net::read_fully(socket, wire, deadline)) break;
      const auto* bytes = reinterpret_cast<const std::uint8_t*>(wire.data());
      const auto answer = responder_.answer({bytes, wire.size()}, true);
      if (!answer) break;
      std::vector<char> framed{static_cast<char>(answer->size() >> 8),
                               static_cast<char>(answer->size() & 255)};
      framed.insert(framed.end(), answer->begin(), answer->end());
      net::write_fully(socket, framed, net::Steady::now() + kTransferTimeout);
    }
  } catch (const std::exception&) {
    // A slow or broken client loses only its own connection.
  }
  connection_limiter_.release(socket.get());
}

}  // namespace ospreypost::dns
