// Tests of HTTP requests that are too long, too slow or malformed, of the connection limit of the server, and
// of a thread pool whose threads cannot be created.
#include "http/http.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace ospreypost::http {
namespace {

using namespace std::chrono_literals;

struct TestServer {
  explicit TestServer(net::Steady::duration message_timeout = 200ms)
      : server(
            "test", {"127.0.0.1", 0}, limits(message_timeout), 8,
            [this](const Request& request) { return handle(request); }, [](const std::string&) {}) {}
  ~TestServer() { unblock(); }
  static Limits limits(net::Steady::duration message_timeout = 200ms) {
    Limits limits;
    limits.max_body_bytes = 1000;
    limits.max_header_bytes = 500;
    limits.message_timeout = message_timeout;
    limits.idle = std::max<net::Steady::duration>(limits.idle, message_timeout);
    return limits;
  }
  // Handles a request. One of `/block` waits until unblock() is called.
  Response handle(const Request& request) {
    if (request.target == "/block") {
      std::unique_lock lock(mutex);
      ++blocked;
      changed.notify_all();
      changed.wait(lock, [this] { return unblocked; });
    } else {
      const std::lock_guard lock(mutex);
      last_target = request.target + (request.client_has_left ? " of a client that has left" : "");
      changed.notify_all();
    }
    return {200, "text/plain", request.method + request.target + request.body, {}, true};
  }
  void wait_until_blocked(int requests) {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return blocked >= requests; });
  }
  // Returns the target of the next request that is not of `/block`.
  std::string next_after_block() {
    std::unique_lock lock(mutex);
    changed.wait_for(lock, 5s, [this] { return !last_target.empty(); });
    return last_target;
  }
  void unblock() {
    const std::lock_guard lock(mutex);
    unblocked = true;
    changed.notify_all();
  }

  std::mutex mutex;
  std::condition_variable changed;
  int blocked = 0;
  bool unblocked = false;
  std::string last_target;
  Server server;
  std::unique_ptr<Connection> send(const std::string& text) {
    auto connection = std::make_unique<Connection>(net::connect(server.address(), net::Steady::now() + 1s));
    net::write_fully(connection->socket(), text, net::Steady::now() + 1s);
    return connection;
  }
  unsigned status(const std::string& text) {
    return send(text)->read_response(10000, net::Steady::now() + 2s).status;
  }
};

TEST(Http, AnswersSeveralRequestsThatArriveTogether) {
  TestServer test_server;
  const auto connection =
      test_server.send("POST /a HTTP/1.1\r\ncontent-length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n");
  EXPECT_EQ(connection->read_response(1000, net::Steady::now() + 2s).body, "POST/ahi");
  EXPECT_EQ(connection->read_response(1000, net::Steady::now() + 2s).body, "GET/b");
  EXPECT_TRUE(connection->is_open());
}

TEST(Http, RejectsInvalidRequestsWithTheStatusOfTheCause) {
  TestServer test_server;
  EXPECT_EQ(test_server.status("POST / HTTP/1.1\r\ncontent-length: 2000\r\n\r\n"), 413U);
  EXPECT_EQ(test_server.status("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n7d0\r\n"), 413U);
  EXPECT_EQ(test_server.status("GET / HTTP/1.1\r\na: " + std::string(600, 'x') + "\r\n\r\n"), 431U);
  EXPECT_EQ(test_server.status("nonsense\r\n\r\n"), 400U);
  EXPECT_EQ(test_server.status("POST / HTTP/1.1\r\ncontent-length: 20\r\n\r\nslow"), 408U);
}

// Guards against a body above the limit that is read to its end if its first bytes arrive together with the
// head.
TEST(Http, RejectsABodyAboveTheLimitThatArrivesWithItsHead) {
  TestServer test_server;
  EXPECT_EQ(test_server.status("POST / HTTP/1.1\r\ncontent-length: 1001\r\n\r\n" + std::string(1001, 'x')),
            413U);
  EXPECT_EQ(test_server.status("POST / HTTP/1.1\r\ncontent-length: 1000\r\n\r\n" + std::string(1000, 'x')),
            200U);
  const http::Request request{"POST", "/", "", "", std::string(500, 'x'), true};
  EXPECT_THROW(fetch(test_server.server.address(), request, 504, net::Steady::now() + 2s), net::Error);
  EXPECT_EQ(fetch(test_server.server.address(), request, 505, net::Steady::now() + 2s).body.size(), 505U);
}

// Guards against a size line of a chunk, or trailers, that go on without an end and are kept in memory.
TEST(Http, RejectsFramingWithoutAnEnd) {
  TestServer test_server;
  const std::string head = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
  const std::size_t too_many = TestServer::limits().max_header_bytes + 16384 + 1;
  EXPECT_EQ(test_server.status(head + std::string(too_many, '1').replace(1, 1, ";")), 431U);
  std::string trailers = "0\r\n";
  while (trailers.size() < too_many) trailers += "a:b\r\n";
  EXPECT_EQ(test_server.status(head + trailers.substr(0, too_many)), 431U);
}

/// Accepts one connection, sends `head`, and then `piece` until the client closes the connection or `most`
/// bytes were sent. Returns the number of bytes sent.
std::size_t send_endlessly(const net::Socket& listener, const std::string& head, const std::string& piece,
                           std::size_t most) {
  const auto accepted = net::accept(listener, net::Steady::now() + 5s);
  std::size_t sent = 0;
  try {
    net::write_fully(accepted->first, head, net::Steady::now() + 5s);
    for (; sent < most; sent += piece.size())
      net::write_fully(accepted->first, piece, net::Steady::now() + 5s);
  } catch (const net::Error&) {
    // The client closed the connection.
  }
  return sent;
}

struct EndlessResponse {
  const char* name;
  const char* head;
  std::string piece;
};

class EndlessResponseTest : public ::testing::TestWithParam<EndlessResponse> {};

// Guards against a peer whose response goes on without an end and is kept in memory, as a replica's answer to
// a health check was.
TEST_P(EndlessResponseTest, IsNotReadPastItsLimit) {
  const net::Socket listener = net::listen_tcp({"127.0.0.1", 0}, 1);
  constexpr std::size_t kMost = std::size_t{256} << 20;
  std::size_t sent = 0;
  std::thread peer([&] { sent = send_endlessly(listener, GetParam().head, GetParam().piece, kMost); });
  EXPECT_THROW(fetch(net::local_address(listener), {}, 1000, net::Steady::now() + 30s), net::Error);
  peer.join();
  // The buffers of the sockets take some of it.
  EXPECT_LT(sent, kMost / 4);
}

std::string repeated(const std::string& piece, std::size_t times) {
  std::string text;
  for (std::size_t time = 0; time < times; ++time) text += piece;
  return text;
}

INSTANTIATE_TEST_SUITE_P(
    Responses, EndlessResponseTest,
    ::testing::Values(EndlessResponse{"Body", "HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x')},
                      EndlessResponse{"Head", "HTTP/1.1 200 OK\r\n", repeated("a:b\r\n", 8000)},
                      EndlessResponse{"Chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                                      repeated("1\r\nx\r\n", 8000)},
                      EndlessResponse{"ChunkExtension",
                                      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1",
                                      repeated(";a=b", 16000)},
                      EndlessResponse{"Trailers",
                                      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                                      repeated("a:b\r\n", 8000)}),
    [](const auto& test) { return test.param.name; });

TEST(Http, DoesNotExtendTheDeadlineWithEachByteOfASlowRequest) {
  TestServer test_server;
  const auto connection = test_server.send("G");
  const auto start = net::Steady::now();
  try {
    // Sends a byte every 20 ms, well within the 200 ms that the server waits for a whole message.
    for (int index = 0; index < 100; ++index) {
      net::write_fully(connection->socket(), std::string_view("E"), net::Steady::now() + 1s);
      if (!net::is_idle(connection->socket())) break;
      std::this_thread::sleep_for(20ms);
    }
  } catch (const net::Error&) {
    // The server closed the connection, and the write failed before the response was read.
  }
  EXPECT_LT(net::Steady::now() - start, 1500ms);
}

/// Opens a connection from a loopback address, and sends `text`.
std::unique_ptr<Connection> send_from(const std::string& host, const net::Address& server,
                                      const std::string& text) {
  net::Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  EXPECT_EQ(::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  address.sin_port = htons(server.port);
  ::inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
  EXPECT_EQ(::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  net::write_fully(socket, text, net::Steady::now() + 1s);
  return std::make_unique<Connection>(std::move(socket));
}

unsigned status_from(const std::string& host, const net::Address& server) {
  return send_from(host, server, "GET / HTTP/1.1\r\n\r\n")
      ->read_response(1000, net::Steady::now() + 2s)
      .status;
}

// Guards against requests that take effect although their client has left and may have sent them again.
TEST(Http, TellsTheHandlerThatTheClientHasLeft) {
  TestServer test_server;
  {
    const auto client = test_server.send("POST /block HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\n\r\n");
    test_server.wait_until_blocked(1);
  }
  test_server.unblock();
  EXPECT_EQ(test_server.next_after_block(), "/b of a client that has left");
}

// A request that is being handled is never interrupted, so that four of them, as many as one address may have
// of eight connections, keep further requests of that address out.
TEST(Http, OneAddressCannotOccupyAllConnections) {
  TestServer test_server;
  std::vector<std::unique_ptr<Connection>> busy_connections;
  for (int index = 0; index < 4; ++index)
    busy_connections.push_back(test_server.send("GET /block HTTP/1.1\r\n\r\n"));
  test_server.wait_until_blocked(4);
  unsigned rejected = 0;
  for (int index = 0; index < 8; ++index) {
    try {
      rejected += test_server.status("GET / HTTP/1.1\r\n\r\n") == 503;
    } catch (const net::Error&) {
      ++rejected;  // The server reset the connection before the response was read.
    }
  }
  EXPECT_EQ(rejected, 8U);
  EXPECT_EQ(status_from("127.0.0.2", test_server.server.address()), 200U);
  test_server.unblock();
  for (const auto& connection : busy_connections)
    EXPECT_EQ(connection->read_response(1000, net::Steady::now() + 2s).status, 200U);
}

// Guards against slow and silent clients that keep all connections, so that others are rejected or wait.
TEST(Http, ServesOthersWhileManyClientsStopHalfWay) {
  TestServer test_server(1h);
  std::vector<std::unique_ptr<Connection>> waiting_connections;
  for (int index = 0; index < 40; ++index) {
    const std::string host = "127.0.0." + std::to_string(2 + index % 10);
    waiting_connections.push_back(
        send_from(host, test_server.server.address(),
                  index % 2 == 0 ? "GET / HT" : "POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\n"));
  }
  for (int index = 0; index < 20; ++index) {
    const std::string host = "127.0.0." + std::to_string(2 + index % 12);
    EXPECT_EQ(status_from(host, test_server.server.address()), 200U) << index;
  }
}

// Guards against a deadlock: a thread pool that could not create all of its threads, because the machine had
// no more threads, waited forever for the threads that it had created.
TEST(ThreadPool, ThrowsIfItsThreadsCannotBeCreated) {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  GTEST_SKIP() << "sanitizers need the address space that is withheld here";
#endif
  const pid_t child = ::fork();
  ASSERT_GE(child, 0);
  if (child == 0) {
    ::alarm(10);
    const rlimit address_space{std::size_t{1} << 30, std::size_t{1} << 30};
    ::setrlimit(RLIMIT_AS, &address_space);
    try {
      net::ThreadPool threads("many", 100, 1, std::size_t{64} << 20);
    } catch (const net::Error&) {
      ::_exit(0);
    }
    ::_exit(1);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

}  // namespace
}  // namespace ospreypost::http
