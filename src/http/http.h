// HTTP/1.1 on blocking sockets, with deadlines for whole messages. Boost.Beast parses and writes the
// messages.
#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/connection_limiter.h"
#include "net/socket.h"
#include "net/threads.h"

namespace ospreypost::http {

struct Request {
  std::string method = "GET";
  std::string target = "/";
  std::string content_type, content_encoding;
  std::string body;
  bool keep_alive = true;
  // Whether the client had closed the connection when the request was passed to the handler of a server. The
  // client does not learn whether the request had an effect, and may have sent it again.
  bool client_has_left = false;
};

struct Response {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::optional<unsigned> retry_after;  // Value of the Retry-After header in seconds; empty if omitted.
  bool keep_alive = true;
};

struct Limits {
  std::size_t max_header_bytes = 8192;
  std::size_t max_body_bytes = 1'000'000;
  net::Steady::duration idle = std::chrono::seconds(5);  // Maximum wait for the first byte of a message.
  // Maximum time from the first byte of a message to its last byte, and to write a response.
  net::Steady::duration message_timeout = std::chrono::seconds(3);
};

// Maximum size of a response about the state of an instance or a receiver.
inline constexpr std::size_t kMaxStatusBytes = std::size_t{64} << 20;

// Thrown for a request that cannot be read. `status` is the HTTP status of the response, what() its body.
class RequestRejected : public net::Error {
 public:
  RequestRejected(unsigned status, const std::string& what) : net::Error(what), status(status) {}
  unsigned status;
};

// One end of an HTTP connection. Bytes received after the end of a message are kept for the next message.
class Connection {
 public:
  // `cancellation` must outlive the connection. Setting the event cancels the waits of the connection.
  explicit Connection(net::Socket socket, const net::CancellationEvent* cancellation = nullptr)
      : socket_(std::move(socket)), cancellation_(cancellation) {}
  // Reads a request. Returns an empty result if the client closes the connection before the first byte of a
  // request. Throws RequestRejected with status 400, 408, 413 or 431 for a request that is malformed, too
  // slow or too large, and net::Error if the connection is broken or idle.
  std::optional<Request> read_request(const Limits& limits);
  // Reads a response.
  // Throws net::Error at the deadline, when the connection is broken, or if the response is malformed.
  Response read_response(std::size_t max_body_bytes, net::Deadline deadline);
  // Reads a streamed response until its body ends, and calls `on_line` with each line of the body, without
  // the line end. Throws net::Error when no line is completed within `line_timeout` of the previous line (of
  // the call, for the first line), however many bytes of the line have arrived; when a line is too long; when
  // the status is not 200; and at the time that `current_deadline` returns, which is called before each wait.
  // Bytes that have arrived by that time are read first.
  void read_lines(std::size_t max_line_bytes, net::Steady::duration line_timeout,
                  const std::function<net::Deadline()>& current_deadline,
                  const std::function<void(std::string_view)>& on_line);
  void write(const Request& request, const std::string& host, net::Deadline deadline);
  void write(const Response& response, net::Deadline deadline);
  const net::Socket& socket() const { return socket_; }
  // Returns whether the connection can be used for another request: the peer has neither closed the
  // connection nor sent bytes that belong to no request.
  bool is_open() const;

 private:
  bool receive(net::Deadline deadline, bool message_started);
  template <typename Parser>
  bool parse_received(Parser& parser);
  template <typename Parser>
  bool read_into(Parser& parser, std::size_t max_header_bytes, net::Deadline first_byte_deadline,
                 net::Steady::duration message_timeout);

  net::Socket socket_;
  const net::CancellationEvent* cancellation_;
  std::string unparsed_;
};

// Sends one request on a new connection and returns the response. Throws net::Error if the connection fails,
// the response is malformed, its body exceeds `max_body_bytes`, or it is not received by the deadline.
Response fetch(const net::Address& address, const Request& request, std::size_t max_body_bytes,
               net::Deadline deadline, const net::CancellationEvent* cancellation = nullptr);

// An HTTP server. Serves a limited number of connections at once; one client address may have at most half of
// them. A further connection replaces the one that has waited longest for its client. It is rejected with
// status 503 if none waits, as all requests are being handled.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  using ErrorHandler = std::function<void(const std::string&)>;
  // `handler` is called from several threads at once. `on_error` receives errors of the listener and
  // unexpected errors of a connection. Throws net::Error if the server cannot listen on the address.
  Server(const std::string& name, const net::Address& address, const Limits& limits,
         std::size_t max_connections, Handler handler, ErrorHandler on_error);
  ~Server() { stop(); }
  net::Address address() const { return net::local_address(listener_); }
  void stop();

 private:
  void accept_connections();
  void serve(net::Socket socket);

  const Limits limits_;
  const Handler handler_;
  const ErrorHandler on_error_;
  std::atomic<bool> stopping_ = false;
  net::Socket listener_;
  net::ConnectionLimiter connection_limiter_;
  net::ThreadPool workers_;
  net::Thread listener_thread_;
};

}  // namespace ospreypost::http
