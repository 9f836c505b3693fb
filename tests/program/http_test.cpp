// HTTP requests that are too long, too slow or none.
#include "http/http.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>

namespace ospreypost::http {
namespace {

using namespace std::chrono_literals;

struct Serving {
  static Limits limits() {
    Limits limits;
    limits.max_body_bytes = 1000;
    limits.max_header_bytes = 500;
    limits.whole = 200ms;
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
  std::unique_ptr<Connection> say(const std::string& text) {
    auto connection = std::make_unique<Connection>(net::connect(server.address(), net::Steady::now() + 1s));
    net::write_fully(connection->socket(), text, net::Steady::now() + 1s);
    return connection;
  }
  unsigned status(const std::string& text) {
    return say(text)->read_response(10000, net::Steady::now() + 2s).status;
  }
};

TEST(Http, AnswersSeveralRequestsThatCameTogether) {
  Serving serving;
  const auto connection =
      serving.say("POST /a HTTP/1.1\r\ncontent-length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n");
  EXPECT_EQ(connection->read_response(1000, net::Steady::now() + 2s).body, "POST/ahi");
  EXPECT_EQ(connection->read_response(1000, net::Steady::now() + 2s).body, "GET/b");
  EXPECT_TRUE(connection->is_open());
}

TEST(Http, RefusesByTheProtocol) {
  Serving serving;
  EXPECT_EQ(serving.status("POST / HTTP/1.1\r\ncontent-length: 2000\r\n\r\n"), 413U);
  EXPECT_EQ(serving.status("GET / HTTP/1.1\r\na: " + std::string(600, 'x') + "\r\n\r\n"), 431U);
  EXPECT_EQ(serving.status("nonsense\r\n\r\n"), 400U);
  EXPECT_EQ(serving.status("POST / HTTP/1.1\r\ncontent-length: 20\r\n\r\nslow"), 408U);
}

TEST(Http, OneThatSpeaksSlowlyIsNotWaitedForAgainWithEachByte) {
  Serving serving;
  const auto connection = serving.say("G");
  const auto begun = net::Steady::now();
  try {
    // Each byte comes well within the time of a whole message.
    for (int n = 0; n < 100; ++n) {
      net::write_fully(connection->socket(), std::string_view("E"), net::Steady::now() + 1s);
      if (!net::is_idle(connection->socket())) break;
      std::this_thread::sleep_for(20ms);
    }
  } catch (const net::Error&) {
    // It was closed before its answer was read.
  }
  EXPECT_LT(net::Steady::now() - begun, 1500ms);
}

TEST(Http, OneAddressCannotHoldAllConnections) {
  Serving serving;
  std::vector<std::unique_ptr<Connection>> open;
  // Four of one address are served, all of them silent.
  for (int n = 0; n < 4; ++n) open.push_back(serving.say(""));
  unsigned turned_away = 0;
  for (int n = 0; n < 8; ++n) {
    try {
      turned_away += serving.status("GET / HTTP/1.1\r\n\r\n") == 503;
    } catch (const net::Error&) {
      ++turned_away;  // reset before the answer was read
    }
  }
  EXPECT_EQ(turned_away, 8U);
}

// Found on a machine that ran out of threads: a crew that could not be completed waited for itself for ever.
TEST(ThreadPool, ThatCannotBeHadSaysSo) {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  GTEST_SKIP() << "sanitizers need the address space that is withheld here";
#endif
  const pid_t child = ::fork();
  ASSERT_GE(child, 0);
  if (child == 0) {
    ::alarm(10);
    const rlimit some{std::size_t{1} << 30, std::size_t{1} << 30};
    ::setrlimit(RLIMIT_AS, &some);
    try {
      net::ThreadPool crew("many", 100, 1, std::size_t{64} << 20);
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
