// An office terminal: asks DNS once for the proxies of its zone and holds on to the answer, whatever its
// lifetime.
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
  // `hold`: how long it goes on by one answer. `names_from`: number of its first operation.
  CachingClient(const std::string& name, const OperationClass& cls, std::chrono::nanoseconds every,
                std::chrono::nanoseconds hold, std::uint64_t first_id, checker::Trace& trace,
                std::uint32_t seed);
  ~CachingClient() { stop(); }
  void start(const net::Address& dns);
  void stop();

 private:
  void work();
  bool operate(std::uint64_t id);

  const std::string name_;  // that it asks for
  const OperationClass cls_;
  const std::chrono::nanoseconds every_, hold_;
  std::uint64_t next_id_;
  checker::Trace& trace_;
  std::mt19937 chance_;
  net::Address dns_;
  Resolved held_;
  std::mutex lock_;
  std::condition_variable changed_;
  bool stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::fakes
