// How many answers an address may draw by UDP: a forged sender must not turn us on somebody else. Pure.
#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>

#include "policy/controller.h"

namespace ospreypost::dns {

// Buckets of tokens, one second's worth deep, in a table of fixed size; addresses whose hashes meet share
// one.
class RateLimit {
 public:
  RateLimit(double answers_per_second, std::mt19937& chance);
  // False: only the shortest answer may go, which sends an honest asker to TCP.
  bool allows(Nanos now, const std::string& host);

 private:
  struct Bucket {
    double tokens = 0;
    Nanos counted{};
    bool used = false;
  };
  static constexpr std::size_t kBuckets = 4096;
  const double per_second_;
  const std::uint64_t salt_;
  std::array<Bucket, kBuckets> buckets_;
};

}  // namespace ospreypost::dns
