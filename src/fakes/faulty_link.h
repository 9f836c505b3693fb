// Stands between a governor and a proxy's receiver, and brings what is pushed late, twice, torn, slowly, or
// not the newest at all.
#pragma once

#include <condition_variable>
#include <mutex>
#include <random>

#include "http/http.h"

namespace ospreypost::fakes {

enum class LinkFault {
  prompt,
  late,   // the answer comes after a while
  twice,  // each push arrives twice
  older,  // what arrives, and is answered about, is the push before
  torn,   // each push ends at some byte
  slow,   // each push takes a while to arrive
};

class FaultyLink {
 public:
  // Throws net::Error if the address cannot be had.
  FaultyLink(const net::Address& listen, const net::Address& receiver, std::uint32_t seed);
  ~FaultyLink() { stop(); }
  net::Address address() const { return server_.address(); }
  void carry(LinkFault carriage, std::chrono::nanoseconds by);
  void stop();

 private:
  http::Response answer(const http::Request& request);
  // Returns early when the courier stops.
  void wait(std::chrono::nanoseconds time);
  void bring_in_pieces(const http::Request& request, std::size_t bytes, std::chrono::nanoseconds time);

  const net::Address receiver_;
  std::mutex lock_;
  std::condition_variable changed_;
  bool stopping_ = false;
  LinkFault carriage_ = LinkFault::prompt;
  std::chrono::nanoseconds by_{};
  http::Request last_;  // push that arrived
  std::mt19937 chance_;
  http::Server server_;
};

}  // namespace ospreypost::fakes
