#include "http/http.h"

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <memory>
#include <sstream>

namespace ospreypost::http {
namespace {

namespace beast = boost::beast::http;
using namespace std::chrono_literals;

constexpr auto kLook = 200ms;  // for the end of service, between waits
constexpr std::string_view kProgram = "ospreypost";

unsigned status_of(const boost::system::error_code& error) {
  if (error == beast::error::body_limit) return 413;
  if (error == beast::error::header_limit) return 431;
  return 400;
}

template <typename Message>
std::string written(const Message& message) {
  std::ostringstream text;
  text << message;
  return text.str();
}

}  // namespace

// False if the stream ended before the first byte.
template <typename Parser>
bool Connection::read_into(Parser& parser, net::Deadline first, net::Steady::duration whole) {
  std::array<char, 16384> buffer{};
  auto until = first;
  bool begun = false;
  for (;;) {
    // An empty line before a request is none of it.
    if (!begun) early_.erase(0, early_.find_first_not_of("\r\n"));
    if (!early_.empty()) {
      if (!begun) until = net::Steady::now() + whole;
      begun = true;
      boost::system::error_code error;
      const auto used = parser.put(boost::asio::buffer(early_), error);
      early_.erase(0, used);
      if (error && error != beast::error::need_more) throw RequestRejected(status_of(error), error.message());
      if (parser.is_done()) return true;
    }
    std::size_t got = 0;
    try {
      got = net::read_some(socket_, buffer, until, interrupt_);
    } catch (const net::Error& error) {
      if (begun && net::Steady::now() >= until)
        throw RequestRejected(408, "the message did not arrive in time");
      throw;
    }
    if (got == 0) {
      if (!begun) return false;
      boost::system::error_code error;
      parser.put_eof(error);
      if (!error && parser.is_done()) return true;
      throw net::Error("the stream ended within a message");
    }
    early_.append(buffer.data(), got);
  }
}

std::optional<Request> Connection::read_request(const Limits& limits) {
  beast::request_parser<beast::string_body> parser;
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(limits.max_body_bytes);
  if (!read_into(parser, net::Steady::now() + limits.idle, limits.whole)) return std::nullopt;
  auto message = parser.release();
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.content_type = std::string(message[beast::field::content_type]);
  request.content_encoding = std::string(message[beast::field::content_encoding]);
  request.keep_alive = message.keep_alive();
  request.body = std::move(message.body());
  return request;
}

Response Connection::read_response(std::size_t max_body_bytes, net::Deadline until) {
  beast::response_parser<beast::string_body> parser;
  parser.eager(true);
  parser.body_limit(max_body_bytes);
  if (!read_into(parser, until, until - net::Steady::now()))
    throw net::Error("the peer closed without an answer");
  auto message = parser.release();
  Response response;
  response.status = message.result_int();
  response.content_type = std::string(message[beast::field::content_type]);
  response.keep_alive = message.keep_alive();
  response.body = std::move(message.body());
  return response;
}

void Connection::read_lines(std::size_t most_line_bytes, net::Steady::duration line,
                            const std::function<net::Deadline()>& until,
                            const std::function<void(std::string_view)>& take) {
  beast::response_parser<beast::string_body> parser;
  parser.eager(true);
  parser.body_limit(boost::none);
  std::array<char, 16384> buffer{};
  auto due = net::Steady::now() + line;
  while (!parser.is_done()) {
    // A trickle of bytes is as silent as none: only whole lines tell anything. A flood ends by its size.
    const auto got = net::read_some(socket_, buffer, std::min(due, until()), interrupt_);
    if (got == 0) throw net::Error("the stream ended");
    early_.append(buffer.data(), got);
    boost::system::error_code error;
    for (std::size_t used = 1; used > 0 && !early_.empty() && !parser.is_done();) {
      used = parser.put(boost::asio::buffer(early_), error);
      early_.erase(0, used);
      if (error && error != beast::error::need_more) throw net::Error(error.message());
      if (error) break;
    }
    if (early_.size() > most_line_bytes) throw net::Error("a chunk without an end");
    if (!parser.is_header_done()) continue;
    if (parser.get().result_int() != 200)
      throw net::Error("status " + std::to_string(parser.get().result_int()));
    auto& body = parser.get().body();
    std::size_t at = 0;
    for (auto end = body.find('\n'); end != std::string::npos; end = body.find('\n', at)) {
      take(std::string_view(body).substr(at, end - at));
      at = end + 1;
      due = net::Steady::now() + line;
    }
    body.erase(0, at);
    if (body.size() > most_line_bytes) throw net::Error("a line without an end");
  }
}

void Connection::write(const Request& request, const std::string& host, net::Deadline until) {
  beast::request<beast::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(beast::field::host, host);
  message.set(beast::field::user_agent, boost::string_view(kProgram.data(), kProgram.size()));
  if (!request.content_type.empty()) message.set(beast::field::content_type, request.content_type);
  message.keep_alive(request.keep_alive);
  message.body() = request.body;
  message.prepare_payload();
  net::write_fully(socket_, written(message), until, interrupt_);
}

void Connection::write(const Response& response, net::Deadline until) {
  beast::response<beast::string_body> message;
  message.result(response.status);
  message.version(11);
  message.set(beast::field::content_type, response.content_type);
  if (response.retry_after) message.set(beast::field::retry_after, std::to_string(*response.retry_after));
  message.keep_alive(response.keep_alive);
  message.body() = response.body;
  message.prepare_payload();
  net::write_fully(socket_, written(message), until);
}

bool Connection::is_open() const { return early_.empty() && net::is_idle(socket_); }

Response fetch(const net::Address& address, const Request& request, net::Deadline until,
               const net::CancellationEvent* interrupt) {
  constexpr std::size_t most = std::size_t{64} << 20;
  Connection connection(net::connect(address, until, interrupt), interrupt);
  auto last = request;
  last.keep_alive = false;
  connection.write(last, address.text(), until);
  return connection.read_response(most, until);
}

Server::Server(const std::string& name, const net::Address& address, const Limits& limits,
               std::size_t connections, Handler handler, Complain complain)
    : limits_(limits),
      handler_(std::move(handler)),
      complain_(std::move(complain)),
      listener_(net::listen_tcp(address, 128)),
      guests_(std::max<std::size_t>(1, connections / 2)),
      crew_(name, connections, connections) {
  listening_ = net::Thread(name, [this] { listen(); });
}

void Server::stop() {
  if (stopping_.exchange(true)) return;
  guests_.close();
  crew_.stop();
  listening_.join();
}

void Server::listen() {
  while (!stopping_) {
    try {
      auto accepted = net::accept(listener_, net::Steady::now() + kLook);
      if (!accepted) continue;
      const auto socket = std::make_shared<net::Socket>(std::move(accepted->first));
      const auto host = accepted->second.host;
      const bool admitted = guests_.admit(host);
      const bool taken = admitted && crew_.take([this, socket, host] {
        serve(std::move(*socket));
        guests_.release(host);
      });
      if (taken) continue;
      if (admitted) guests_.release(host);
      // Told at once rather than left to wait for a connection that nobody serves.
      Connection refused(std::move(*socket));
      refused.write(Response{503, "text/plain", "too many connections\n", 1, false},
                    net::Steady::now() + 10ms);
    } catch (const std::exception& error) {
      complain_(error.what());
    }
  }
}

void Server::serve(net::Socket socket) {
  const int descriptor = socket.get();
  if (!guests_.enter(descriptor)) return;
  Connection connection(std::move(socket));
  try {
    for (bool more = true; more && !stopping_;) {
      Response response;
      try {
        const auto request = connection.read_request(limits_);
        if (!request) break;
        response = handler_(*request);
        response.keep_alive = response.keep_alive && request->keep_alive;
      } catch (const RequestRejected& refused) {
        response = {refused.status, "text/plain", std::string(refused.what()) + "\n", std::nullopt, false};
      }
      more = response.keep_alive;
      connection.write(response, net::Steady::now() + limits_.whole);
    }
  } catch (const net::Error&) {
    // A slow or broken peer costs its own connection only.
  } catch (const std::exception& error) {
    complain_(error.what());
  }
  guests_.leave(descriptor);
}

}  // namespace ospreypost::http
