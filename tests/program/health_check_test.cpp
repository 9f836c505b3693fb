/// Tests of health checks against scripted replicas.
#include "control_plane/health_check.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "http/http.h"
#include "net/socket.h"

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;

/// Runs a health check of a replica that answers with `body`, and returns the size of the body that was
/// parsed; 0 if none was.
std::size_t parsed_bytes(const std::string& body) {
  http::Server replica(
      "replica", {"127.0.0.1", 0}, {}, 2,
      [&](const http::Request&) {
        return http::Response{200, "", body, {}, true};
      },
      [](const std::string&) {});
  std::size_t parsed = 0;
  const auto parse_load = [&](std::string_view text) {
    parsed = text.size();
    return std::vector<float>{0.5F};
  };
  const auto result = run_health_check({ReplicaId{1}, replica.address(), "/stats", 5s}, parse_load, nullptr);
  EXPECT_EQ(result.answered, parsed > 0);
  return parsed;
}

// Guards against a replica whose load report takes more memory than the instance has.
TEST(HealthCheckTest, ReadsNoLoadReportAboveItsLimit) {
  EXPECT_EQ(parsed_bytes("TEXT util=0.5"), 13U);
  EXPECT_EQ(parsed_bytes(std::string(16384, ' ')), 16384U);
  EXPECT_EQ(parsed_bytes(std::string(16385, ' ')), 0U);
}

}  // namespace
}  // namespace ospreypost::control_plane
