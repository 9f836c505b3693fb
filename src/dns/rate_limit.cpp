#include "dns/rate_limit.h"

#include <algorithm>

namespace ospreypost::dns {

RateLimit::RateLimit(double answers_per_second, std::mt19937& rng)
    : answers_per_second_(answers_per_second), salt_(std::uint64_t{rng()} << 32 | rng()) {}

bool RateLimit::allows(Nanos now, const std::string& host) {
  // The hash is FNV-1a with a random salt, so that an attacker cannot choose an address which shares a
  // victim's bucket.
  std::uint64_t hash = 0xcbf29ce484222325U ^ salt_;
  for (const unsigned char byte : host) hash = (hash ^ byte) * 0x100000001b3U;
  auto& bucket = buckets_[(hash ^ hash >> 32) % kBucketCount];
  const double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens = bucket.used ? std::min(answers_per_second_, bucket.tokens + elapsed * answers_per_second_)
                              : answers_per_second_;
  bucket.refilled_at = now;
  bucket.used = true;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace ospreypost::dns
