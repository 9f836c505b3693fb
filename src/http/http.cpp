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

// Connections that were shut down stay in the queue until a worker has noticed.
constexpr std::size_t kQueuedJobsPerWorker = 4;
constexpr auto kStopCheckInterval = 200ms;  // Maximum time until the listening thread notices stop().
constexpr std::string_view kUserAgent = "ospreypost";
constexpr std::size_t kReadBufferBytes = 16384;
constexpr std::size_t kMaxResponseHeaderBytes = 8192;

unsigned status_of(const boost::system::error_code& error) {
  if (error == beast::error::body_limit) return 413;
  if (error == beast::error::header_limit) return 431;
  return 400;
}

// Throws if the parser could not use so many bytes of a message. They belong to a chunk's size line or to
// trailers without an end, as the parser itself limits heads and bodies.
void check_unparsed(std::size_t unparsed_bytes, std::size_t max_header_bytes) {
  if (unparsed_bytes > max_header_bytes + kReadBufferBytes)
    throw RequestRejected(431, "a chunk's size line or the trailers are too long");
}

// Calls `on_line` with each complete line at the start of `text`, and removes these lines. Returns whether
// there was one. Throws if a line, complete or not, is too long.
bool take_lines(std::string& text, std::size_t max_line_bytes,
                const std::function<void(std::string_view)>& on_line) {
  std::size_t line_begin = 0;
  for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n', line_begin)) {
    if (end - line_begin > max_line_bytes) throw net::Error("a line exceeds the maximum length");
    on_line(std::string_view(text).substr(line_begin, end - line_begin));
    line_begin = end + 1;
  }
  text.erase(0, line_begin);
  if (text.size() > max_line_bytes) throw net::Error("a line exceeds the maximum length");
  return line_begin > 0;
}

template <typename Message>
std::string to_text(const Message& message) {
  std::ostringstream text;
  text << message;
  return text.str();
}

}  // namespace

// Parses the received bytes as far as possible. Returns true if the message is complete.
template <typename Parser>
bool Connection::parse_received(Parser& parser) {
  bool has_progress = true;
  while (has_progress && !unparsed_.empty()) {
    // A parser that goes on from the head to the body within one call ignores that the declared length of the
    // body is above the limit, so the head is parsed in a call of its own.
    const bool had_header = parser.is_header_done();
    parser.eager(had_header);
    boost::system::error_code error;
    const auto parsed = parser.put(boost::asio::buffer(unparsed_), error);
    unparsed_.erase(0, parsed);
    if (error && error != beast::error::need_more) throw RequestRejected(status_of(error), error.message());
    if (parser.is_done()) return true;
    has_progress = parser.is_header_done() && !had_header;
  }
  return false;
}

// Reads one message into `parser`. The first byte must arrive by `first_byte_deadline`, the whole message
// within `message_timeout` after its first byte. Returns false if the stream ends before the first byte.
template <typename Parser>
bool Connection::read_into(Parser& parser, std::size_t max_header_bytes, net::Deadline first_byte_deadline,
                           net::Steady::duration message_timeout) {
  auto deadline = first_byte_deadline;
  bool message_started = false;
  for (;;) {
    // Skips empty lines before a message, which are not a part of the message.
    if (!message_started) unparsed_.erase(0, unparsed_.find_first_not_of("\r\n"));
    if (!unparsed_.empty()) {
      if (!message_started) deadline = net::Steady::now() + message_timeout;
      message_started = true;
      if (parse_received(parser)) return true;
      check_unparsed(unparsed_.size(), max_header_bytes);
    }
    const bool has_ended = !receive(deadline, message_started);
    if (!has_ended) continue;
    if (!message_started) return false;
    boost::system::error_code error;
    parser.put_eof(error);
    if (!error && parser.is_done()) return true;
    throw net::Error("the stream ended in the middle of a message");
  }
}

// Reads bytes of a message. Returns false at the end of the stream.
bool Connection::receive(net::Deadline deadline, bool message_started) {
  std::array<char, kReadBufferBytes> buffer{};
  try {
    const auto received = net::read_some(socket_, buffer, deadline, cancellation_);
    unparsed_.append(buffer.data(), received);
    return received > 0;
  } catch (const net::Error&) {
    if (!message_started || net::Steady::now() < deadline) throw;
    throw RequestRejected(408, "the message did not arrive in time");
  }
}

std::optional<Request> Connection::read_request(const Limits& limits) {
  beast::request_parser<beast::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(limits.max_body_bytes);
  if (!read_into(parser, limits.max_header_bytes, net::Steady::now() + limits.idle, limits.message_timeout))
    return std::nullopt;
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

Response Connection::read_response(std::size_t max_body_bytes, net::Deadline deadline) {
  beast::response_parser<beast::string_body> parser;
  parser.body_limit(max_body_bytes);
  parser.header_limit(static_cast<std::uint32_t>(kMaxResponseHeaderBytes));
  if (!read_into(parser, kMaxResponseHeaderBytes, deadline, deadline - net::Steady::now()))
    throw net::Error("the peer closed the connection without a response");
  auto message = parser.release();
  Response response;
  response.status = message.result_int();
  response.content_type = std::string(message[beast::field::content_type]);
  response.keep_alive = message.keep_alive();
  response.body = std::move(message.body());
  return response;
}

void Connection::read_lines(std::size_t max_line_bytes, net::Steady::duration line_timeout,
                            const std::function<net::Deadline()>& current_deadline,
                            const std::function<void(std::string_view)>& on_line) {
  beast::response_parser<beast::string_body> parser;
  parser.eager(true);
  parser.body_limit(boost::none);
  parser.header_limit(static_cast<std::uint32_t>(kMaxResponseHeaderBytes));
  std::array<char, kReadBufferBytes> buffer{};
  auto line_deadline = net::Steady::now() + line_timeout;
  while (!parser.is_done()) {
    // Only complete lines extend the deadline, so that a peer that sends single bytes is treated as silent. A
    // peer that sends many bytes without a line end is stopped by `max_line_bytes`.
    const auto received =
        net::read_some(socket_, buffer, std::min(line_deadline, current_deadline()), cancellation_);
    if (received == 0) throw net::Error("the stream ended");
    unparsed_.append(buffer.data(), received);
    boost::system::error_code error;
    for (std::size_t used = 1; used > 0 && !unparsed_.empty() && !parser.is_done();) {
      used = parser.put(boost::asio::buffer(unparsed_), error);
      unparsed_.erase(0, used);
      if (error && error != beast::error::need_more) throw net::Error(error.message());
      if (error) break;
    }
    check_unparsed(unparsed_.size(), kMaxResponseHeaderBytes);
    if (!parser.is_header_done()) continue;
    if (parser.get().result_int() != 200)
      throw net::Error("expected status 200, received " + std::to_string(parser.get().result_int()));
    if (take_lines(parser.get().body(), max_line_bytes, on_line))
      line_deadline = net::Steady::now() + line_timeout;
  }
}

void Connection::write(const Request& request, const std::string& host, net::Deadline deadline) {
  beast::request<beast::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(beast::field::host, host);
  message.set(beast::field::user_agent, boost::string_view(kUserAgent.data(), kUserAgent.size()));
  if (!request.content_type.empty()) message.set(beast::field::content_type, request.content_type);
  message.keep_alive(request.keep_alive);
  message.body() = request.body;
  message.prepare_payload();
  net::write_fully(socket_, to_text(message), deadline, cancellation_);
}

void Connection::write(const Response& response, net::Deadline deadline) {
  beast::response<beast::string_body> message;
  message.result(response.status);
  message.version(11);
  message.set(beast::field::content_type, response.content_type);
  if (response.retry_after) message.set(beast::field::retry_after, std::to_string(*response.retry_after));
  message.keep_alive(response.keep_alive);
  message.body() = response.body;
  message.prepare_payload();
  net::write_fully(socket_, to_text(message), deadline);
}

bool Connection::is_open() const { return unparsed_.empty() && net::is_idle(socket_); }

Response fetch(const net::Address& address, const Request& request, std::size_t max_body_bytes,
               net::Deadline deadline, const net::CancellationEvent* cancellation) {
  Connection connection(net::connect(address, deadline, cancellation), cancellation);
  auto single_request = request;
  single_request.keep_alive = false;
  connection.write(single_request, address.text(), deadline);
  return connection.read_response(max_body_bytes, deadline);
}

Server::Server(const std::string& name, const net::Address& address, const Limits& limits,
               std::size_t max_connections, Handler handler, ErrorHandler on_error)
    : limits_(limits),
      handler_(std::move(handler)),
      on_error_(std::move(on_error)),
      listener_(net::listen_tcp(address, 128)),
      connection_limiter_({max_connections, std::max<std::size_t>(1, max_connections / 2)}),
      workers_(name, max_connections, max_connections * kQueuedJobsPerWorker) {
  listener_thread_ = net::Thread(name, [this] { accept_connections(); });
}

void Server::stop() {
  if (stopping_.exchange(true)) return;
  connection_limiter_.close();
  workers_.stop();
  listener_thread_.join();
}

void Server::accept_connections() {
  while (!stopping_) {
    try {
      auto accepted = net::accept(listener_, net::Steady::now() + kStopCheckInterval);
      if (!accepted) continue;
      const auto socket = std::make_shared<net::Socket>(std::move(accepted->first));
      const bool admitted = connection_limiter_.admit(socket->get(), accepted->second.host);
      const bool queued = admitted && workers_.take([this, socket] { serve(std::move(*socket)); });
      if (queued) continue;
      if (admitted) connection_limiter_.release(socket->get());
      // Rejects the connection at once, so that the client does not wait for a thread to become free.
      Connection rejected_connection(std::move(*socket));
      rejected_connection.write(Response{503, "text/plain", "too many connections\n", 1, false},
                                net::Steady::now() + 10ms);
    } catch (const std::exception& error) {
      on_error_(error.what());
    }
  }
}

void Server::serve(net::Socket socket) {
  const int descriptor = socket.get();
  Connection connection(std::move(socket));
  try {
    for (bool keep_alive = true; keep_alive && !stopping_;) {
      Response response;
      try {
        auto request = connection.read_request(limits_);
        if (!request) break;
        request->client_has_left = net::is_closed_by_peer(connection.socket());
        const net::BusyConnection busy(connection_limiter_, descriptor);
        response = handler_(*request);
        response.keep_alive = response.keep_alive && request->keep_alive;
      } catch (const RequestRejected& rejected) {
        response = {rejected.status, "text/plain", std::string(rejected.what()) + "\n", std::nullopt, false};
      }
      keep_alive = response.keep_alive;
      connection.write(response, net::Steady::now() + limits_.message_timeout);
    }
  } catch (const net::Error&) {
    // A client that is too slow, or whose connection breaks, loses only its own connection.
  } catch (const std::exception& error) {
    on_error_(error.what());
  }
  connection_limiter_.release(descriptor);
}

}  // namespace ospreypost::http
