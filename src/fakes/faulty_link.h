// Forwards pushes from the control plane to the receiver of a proxy, with faults on demand: pushes are
// delayed, repeated, cut off, slowed down or replaced by an older push.
#pragma once

#include <condition_variable>
#include <mutex>
#include <random>

#include "http/http.h"

namespace ospreypost::fakes {

enum class LinkFault {
  prompt,  // no fault: each push and its answer are forwarded at once
  late,    // the answer of the receiver is forwarded after the delay
  twice,   // each push is forwarded twice
  older,   // the receiver gets the previous push, and its answer to that push is returned
  torn,    // each push is cut off at a random byte
  slow,    // each push is sent in pieces over the delay, and the sender gets an error
};

class FaultyLink {
 public:
  // Throws net::Error if `listen` can't be bound.
  FaultyLink(const net::Address& listen, const net::Address& receiver, std::uint32_t seed);
  ~FaultyLink() { stop(); }
  net::Address address() const { return server_.address(); }
  void set_fault(LinkFault fault, std::chrono::nanoseconds delay);
  void stop();

 private:
  http::Response answer(const http::Request& request);
  // Returns after `duration`, or earlier when the link is stopped.
  void wait(std::chrono::nanoseconds duration);
  void send_in_pieces(const http::Request& request, std::size_t bytes, std::chrono::nanoseconds duration);

  const net::Address receiver_;
  std::mutex lock_;
  std::condition_variable changed_;
  bool stopping_ = false;
  LinkFault fault_ = LinkFault::prompt;
  std::chrono::nanoseconds delay_{};
  http::Request last_push_;  // last push that was forwarded in full
  std::mt19937 generator_;
  http::Server server_;
};

}  // namespace ospreypost::fakes
