// The DNS server serves UDP with a fixed number of threads, and TCP with a bounded number of connections.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

#include "dns/rate_limit.h"
#include "dns/responder.h"
#include "net/connection_limiter.h"
#include "net/threads.h"

namespace ospreypost::dns {

class Server {
 public:
  using ErrorHandler = std::function<void(const std::string&)>;
  // Throws net::Error if the address cannot be bound. With port 0, UDP and TCP use the same port, which the
  // system chooses. `on_error` may be called from any thread.
  Server(const config::DnsFront& settings, Responder& responder, std::uint64_t seed, ErrorHandler on_error);
  ~Server() { stop(); }
  net::Address address() const;
  void stop();

 private:
  void serve_udp();
  void answer_udp(std::span<const std::uint8_t> wire, const net::Address& from);
  void serve_tcp();
  void serve_connection(const net::Socket& socket);

  Responder& responder_;
  const ErrorHandler on_error_;
  std::atomic<bool> stopping_ = false;
  std::mutex rate_mutex_;
  std::mt19937 rng_;
  RateLimit rate_limit_;
  net::Socket udp_, tcp_;
  net::ConnectionLimiter connection_limiter_;
  net::ThreadPool connection_threads_;
  std::vector<net::Thread> threads_;
};

}  // namespace ospreypost::dns
