// A caching resolver that holds answers for a stated multiple of their lifetime, and hands them out as if
// fresh.
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
  Resolver(const net::Address& listen, double factor);
  ~Resolver() { stop(); }
  // Where it asks from now on.
  void upstream(const net::Address& address) { upstream_ = std::make_shared<net::Address>(address); }
  net::Address address() const { return net::local_address(socket_); }
  void stop();

 private:
  struct Kept {
    std::vector<std::uint8_t> answer;
    net::Deadline until;
  };
  void serve();
  std::vector<std::uint8_t> ask(std::span<const std::uint8_t> question);
  net::Steady::duration lifetime_of(const std::vector<std::uint8_t>& answer) const;

  const double factor_;
  net::Socket socket_;
  std::atomic<std::shared_ptr<net::Address>> upstream_;
  std::map<std::string, Kept> kept_;  // by question, but for its id
  std::atomic<bool> stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::fakes
