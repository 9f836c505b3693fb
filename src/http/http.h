// HTTP/1.1 on blocking sockets with deadlines for whole messages; read and written by Boost.Beast.
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
};

struct Response {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::optional<unsigned> retry_after;  // seconds
  bool keep_alive = true;
};

struct Limits {
  std::size_t max_header_bytes = 8192;
  std::size_t max_body_bytes = 1'000'000;
  net::Steady::duration idle = std::chrono::seconds(5);   // for the first byte of a message
  net::Steady::duration whole = std::chrono::seconds(3);  // for all of it, from its first byte
};

// What is wrong with a request, and the status that says so.
class RequestRejected : public net::Error {
 public:
  RequestRejected(unsigned status, const std::string& what) : net::Error(what), status(status) {}
  unsigned status;
};

// One side of a connection. Bytes that came too early wait for the next message.
class Connection {
 public:
  // `interrupt` outlives it, and breaks its waits.
  explicit Connection(net::Socket socket, const net::CancellationEvent* interrupt = nullptr)
      : socket_(std::move(socket)), interrupt_(interrupt) {}
  // Empty at an orderly end between messages. Throws Refused (400, 408, 413, 431) or net::Error.
  std::optional<Request> read_request(const Limits& limits);
  // Throws net::Error at the deadline, a broken stream or a malformed answer.
  Response read_response(std::size_t max_body_bytes, net::Deadline until);
  // Reads an answer whose body goes on, and hands over each of its lines without its end, until the body
  // ends. Throws net::Error when no line became whole within `line` of the one before it (the first: of the
  // call), however many bytes of it came; when the line is too long, the status is not 200, or at the time
  // that `until` gives, asked before each wait. What has arrived by then is read first.
  void read_lines(std::size_t most_line_bytes, net::Steady::duration line,
                  const std::function<net::Deadline()>& until,
                  const std::function<void(std::string_view)>& take);
  void write(const Request& request, const std::string& host, net::Deadline until);
  void write(const Response& response, net::Deadline until);
  const net::Socket& socket() const { return socket_; }
  // False if the peer has closed it, or sent what nobody asked for.
  bool is_open() const;

 private:
  template <typename Parser>
  bool read_into(Parser& parser, net::Deadline first, net::Steady::duration whole);

  net::Socket socket_;
  const net::CancellationEvent* interrupt_;
  std::string early_;
};

// One request on a connection of its own. Throws net::Error.
Response fetch(const net::Address& address, const Request& request, net::Deadline until,
               const net::CancellationEvent* interrupt = nullptr);

// Serves a bounded number of connections at once, those of one address at most half of them.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  using Complain = std::function<void(const std::string&)>;
  // The handler is called from several threads. Throws net::Error if the address cannot be had.
  Server(const std::string& name, const net::Address& address, const Limits& limits, std::size_t connections,
         Handler handler, Complain complain);
  ~Server() { stop(); }
  net::Address address() const { return net::local_address(listener_); }
  void stop();

 private:
  void listen();
  void serve(net::Socket socket);

  const Limits limits_;
  const Handler handler_;
  const Complain complain_;
  std::atomic<bool> stopping_ = false;
  net::Socket listener_;
  net::ConnectionLimiter guests_;
  net::ThreadPool crew_;
  net::Thread listening_;
};

}  // namespace ospreypost::http
