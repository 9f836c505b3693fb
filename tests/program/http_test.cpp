// Tests of HTTP requests that are too long, too slow or malformed, of the connection limit of the server, and
// of a thread pool whose threads cannot be created.
#include "http/http.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>

namespace ospreypost::http {
namespace {

using namespace std::chrono_literals;

struct TestServer {
  static Limits limits() {
    Limits limits;
    limits.max_body_bytes = 1000;
    limits.max_header_bytes = 500;
    limits.message_timeout = 200ms;
    return limits;
  }
  Server server{
      "test",
      {"127.0.0.1", 0},
      limits(),
      8,
      [](const Request& request) {
        return Response{200, "text/plain", request.method + request.target + request.body, {}, true};
      },
      [](const std::string&) {}};
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
  EXPECT_EQ(test_server.status("GET / HTTP/1.1\r\na: " + std::string(600, 'x') + "\r\n\r\n"), 431U);
  EXPECT_EQ(test_server.status("nonsense\r\n\r\n"), 400U);
  EXPECT_EQ(test_server.status("POST / HTTP/1.1\r\ncontent-length: 20\r\n\r\nslow"), 408U);
}

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

TEST(Http, OneAddressCannotOccupyAllConnections) {
  TestServer test_server;
  std::vector<std::unique_ptr<Connection>> idle_connections;
  // Opens four connections from one address, as many as the server admits, and sends nothing on them.
  for (int index = 0; index < 4; ++index) idle_connections.push_back(test_server.send(""));
  unsigned rejected = 0;
  for (int index = 0; index < 8; ++index) {
    try {
      rejected += test_server.status("GET / HTTP/1.1\r\n\r\n") == 503;
    } catch (const net::Error&) {
      ++rejected;  // The server reset the connection before the response was read.
    }
  }
  EXPECT_EQ(rejected, 8U);
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
