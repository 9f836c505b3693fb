// The DNS front's sockets: UDP by a few threads, TCP by a bounded number of connections.
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
  using Complain = std::function<void(const std::string&)>;
  // Throws net::Error if the address cannot be had. With port 0 both protocols share a port of the system's
  // choice. `complain` is called from any thread.
  Server(const config::DnsFront& settings, Responder& responder, std::uint64_t seed, Complain complain);
  ~Server() { stop(); }
  net::Address address() const;
  void stop();

 private:
  void serve_udp();
  void answer_udp(std::span<const std::uint8_t> wire, const net::Address& from);
  void serve_tcp();
  void serve_connection(const net::Socket& socket);

  Responder& responder_;
  const Complain complain_;
  std::atomic<bool> stopping_ = false;
  std::mutex rate_lock_;
  std::mt19937 chance_;
  RateLimit rate_;
  net::Socket udp_, tcp_;
  net::ConnectionLimiter guests_;
  net::ThreadPool connections_;
  std::vector<net::Thread> threads_;
};

}  // namespace ospreypost::dns
