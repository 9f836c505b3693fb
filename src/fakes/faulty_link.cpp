#include "fakes/faulty_link.h"

#include <algorithm>

namespace ospreypost::fakes {
namespace {

using namespace std::chrono_literals;

constexpr auto kPatience = 3s;
constexpr std::size_t kPieces = 50;

http::Limits limits() {
  http::Limits limits;
  limits.max_body_bytes = std::size_t{16} << 20;
  return limits;
}

}  // namespace

FaultyLink::FaultyLink(const net::Address& listen, const net::Address& receiver, std::uint32_t seed)
    : receiver_(receiver),
      chance_(seed),
      server_(
          "courier", listen, limits(), 16, [this](const http::Request& request) { return answer(request); },
          [](const std::string&) {}) {}

void FaultyLink::carry(LinkFault carriage, std::chrono::nanoseconds by) {
  const std::lock_guard held(lock_);
  carriage_ = carriage;
  by_ = by;
}

void FaultyLink::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.stop();
}

void FaultyLink::wait(std::chrono::nanoseconds time) {
  std::unique_lock held(lock_);
  changed_.wait_for(held, time, [this] { return stopping_; });
}

// By hand, as no client that is well would write it.
void FaultyLink::bring_in_pieces(const http::Request& request, std::size_t bytes,
                                 std::chrono::nanoseconds time) {
  const auto text =
      "PUT /generation HTTP/1.1\r\nHost: " + receiver_.text() +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) +
      "\r\n\r\n" + request.body;
  const auto end = std::min(bytes, text.size());
  const auto until = net::Steady::now() + kPatience + std::chrono::duration_cast<net::Steady::duration>(time);
  const auto socket = net::connect(receiver_, until);
  const auto piece = std::max<std::size_t>(1, end / kPieces);
  for (std::size_t at = 0; at < end; at += piece) {
    net::write_fully(socket, std::span(text).subspan(at, std::min(piece, end - at)), until);
    if (time > 0ns) wait(time / kPieces);
  }
}

http::Response FaultyLink::answer(const http::Request& request) {
  auto carriage = LinkFault::prompt;
  std::chrono::nanoseconds by{};
  http::Request before;
  std::size_t torn_at = 0;
  const bool push = request.method == "PUT";
  if (push) {
    const std::lock_guard held(lock_);
    carriage = carriage_;
    by = by_;
    before = last_;
    torn_at = std::uniform_int_distribution<std::size_t>(0, request.body.size() + 100)(chance_);
    if (carriage != LinkFault::older && carriage != LinkFault::torn && carriage != LinkFault::slow)
      last_ = request;
  }
  try {
    const auto bring = [&](const http::Request& what) {
      return http::fetch(receiver_, what, net::Steady::now() + kPatience);
    };
    if (carriage == LinkFault::torn || carriage == LinkFault::slow) {
      bring_in_pieces(request, carriage == LinkFault::torn ? torn_at : std::string::npos,
                      carriage == LinkFault::slow ? by : 0ns);
      return {502, "text/plain", "it did not arrive\n", std::nullopt, true};
    }
    if (carriage == LinkFault::older && before.method == "PUT") return bring(before);
    if (carriage == LinkFault::twice) bring(request);
    auto answered = bring(request);
    if (carriage == LinkFault::late) wait(by);
    return answered;
  } catch (const net::Error& error) {
    return {502, "text/plain", std::string(error.what()) + "\n", std::nullopt, true};
  }
}

}  // namespace ospreypost::fakes
