#include "fakes/faulty_link.h"

#include <algorithm>

namespace ospreypost::fakes {
namespace {

using namespace std::chrono_literals;

constexpr auto kForwardTimeout = 3s;
constexpr std::size_t kPieces = 50;

http::Limits limits() {
  http::Limits limits;
  limits.max_body_bytes = std::size_t{16} << 20;
  return limits;
}

}  // namespace

FaultyLink::FaultyLink(const net::Address& listen, const net::Address& receiver, std::uint32_t seed)
    : receiver_(receiver),
      generator_(seed),
      server_(
          "faulty-link", listen, limits(), 16,
          [this](const http::Request& request) { return answer(request); }, [](const std::string&) {}) {}

void FaultyLink::set_fault(LinkFault fault, std::chrono::nanoseconds delay) {
  const std::lock_guard held(lock_);
  fault_ = fault;
  delay_ = delay;
}

void FaultyLink::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.stop();
}

void FaultyLink::wait(std::chrono::nanoseconds duration) {
  std::unique_lock held(lock_);
  changed_.wait_for(held, duration, [this] { return stopping_; });
}

// Writes the request to the socket directly, since the HTTP client can't send a request in part.
void FaultyLink::send_in_pieces(const http::Request& request, std::size_t bytes,
                                std::chrono::nanoseconds duration) {
  const auto text =
      "PUT /generation HTTP/1.1\r\nHost: " + receiver_.text() +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) +
      "\r\n\r\n" + request.body;
  const auto end = std::min(bytes, text.size());
  const auto deadline =
      net::Steady::now() + kForwardTimeout + std::chrono::duration_cast<net::Steady::duration>(duration);
  const auto socket = net::connect(receiver_, deadline);
  const auto piece = std::max<std::size_t>(1, end / kPieces);
  for (std::size_t at = 0; at < end; at += piece) {
    net::write_fully(socket, std::span(text).subspan(at, std::min(piece, end - at)), deadline);
    if (duration > 0ns) wait(duration / kPieces);
  }
}

http::Response FaultyLink::answer(const http::Request& request) {
  auto fault = LinkFault::prompt;
  std::chrono::nanoseconds delay{};
  http::Request previous_push;
  std::size_t torn_bytes = 0;
  const bool push = request.method == "PUT";
  if (push) {
    const std::lock_guard held(lock_);
    fault = fault_;
    delay = delay_;
    previous_push = last_push_;
    torn_bytes = std::uniform_int_distribution<std::size_t>(0, request.body.size() + 100)(generator_);
    if (fault != LinkFault::older && fault != LinkFault::torn && fault != LinkFault::slow)
      last_push_ = request;
  }
  try {
    const auto forward = [&](const http::Request& push_request) {
      return http::fetch(receiver_, push_request, http::kMaxStatusBytes,
                         net::Steady::now() + kForwardTimeout);
    };
    if (fault == LinkFault::torn || fault == LinkFault::slow) {
      send_in_pieces(request, fault == LinkFault::torn ? torn_bytes : std::string::npos,
                     fault == LinkFault::slow ? delay : 0ns);
      return {502, "text/plain", "the push was not forwarded in full\n", std::nullopt, true};
    }
    if (fault == LinkFault::older && previous_push.method == "PUT") return forward(previous_push);
    if (fault == LinkFault::twice) forward(request);
    auto answered = forward(request);
    if (fault == LinkFault::late) wait(delay);
    return answered;
  } catch (const net::Error& error) {
    return {502, "text/plain", std::string(error.what()) + "\n", std::nullopt, true};
  }
}

}  // namespace ospreypost::fakes
