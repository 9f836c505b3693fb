// Fake client that caches DNS answers: it resolves the proxies of its zone and uses the answer for a fixed
// time, without regard to the TTL of the answer.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <random>

#include "checker/trace.h"
#include "fakes/proxy.h"
#include "fakes/stub_resolver.h"

namespace ospreypost::fakes {

class CachingClient {
 public:
  // Sends one operation of class `cls` per `interval` to the proxies that `name` resolves to, and resolves
  // `name` again after `cache_time`. `first_id`: id of the first operation; later ids count up.
  CachingClient(const std::string& name, const OperationClass& cls, std::chrono::nanoseconds interval,
                std::chrono::nanoseconds cache_time, std::uint64_t first_id, checker::Trace& trace,
                std::uint32_t seed);
  ~CachingClient() { stop(); }
  void start(const net::Address& dns);
  void stop();

 private:
  void send_periodically();
  bool send_operation(std::uint64_t id);

  const std::string name_;  // DNS name of the proxies
  const OperationClass cls_;
  const std::chrono::nanoseconds interval_, cache_time_;
  std::uint64_t next_id_;
  checker::Trace& trace_;
  std::mt19937 generator_;
  net::Address dns_;
  Resolved cached_;
  std::mutex lock_;
  std::condition_variable changed_;
  bool stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::fakes
