// Fake caching DNS resolver: it caches each answer for a multiple of its TTL and returns cached answers with
// the original TTL.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/socket.h"
#include "net/threads.h"

namespace ospreypost::fakes {

class Resolver {
 public:
  Resolver(const net::Address& listen, double ttl_multiple);
  ~Resolver() { stop(); }
  // Sets the server to which queries that aren't cached are forwarded.
  void set_upstream(const net::Address& address) { upstream_ = std::make_shared<net::Address>(address); }
  net::Address address() const { return net::local_address(socket_); }
  void stop();

 private:
  struct CachedAnswer {
    std::vector<std::uint8_t> answer;
    net::Deadline expires_at;
  };
  void serve();
  std::vector<std::uint8_t> query_upstream(std::span<const std::uint8_t> query);
  net::Steady::duration cache_time(const std::vector<std::uint8_t>& answer) const;

  const double ttl_multiple_;
  net::Socket socket_;
  std::atomic<std::shared_ptr<net::Address>> upstream_;
  std::map<std::string, CachedAnswer> cache_;  // cached answers, by the query without its id
  std::atomic<bool> stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::fakes
