// Limits the UDP answers to each client address, so that an attacker with forged sender addresses cannot use
// this server to flood another host. Free of I/O.
#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>

#include "policy/controller.h"

namespace ospreypost::dns {

// Stores a token bucket for each address in a table of fixed size. Each bucket holds the tokens of at most
// one second. Addresses with the same hash share a bucket.
class RateLimit {
 public:
  RateLimit(double answers_per_second, std::mt19937& rng);
  // Whether an answer may be sent to `host`. If false, only a truncated answer may be sent, which makes a
  // client with a genuine address repeat its question over TCP.
  bool allows(Nanos now, const std::string& host);

 private:
  struct Bucket {
    double tokens = 0;
    Nanos refilled_at{};
    bool used = false;
  };
  static constexpr std::size_t kBucketCount = 4096;
  const double answers_per_second_;
  const std::uint64_t salt_;
  std::array<Bucket, kBucketCount> buckets_;
};

}  // namespace ospreypost::dns
