/// Tests of parsing the platform's configuration and of the error messages.
#include "platform/platform_config.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "config/xml.h"
#include "policy/controller.h"
#include "program/platform_support.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;
using test::Words;

// Parses the configuration and returns the error message; empty if the configuration is valid.
std::string parse_error(const std::string& text) {
  try {
    parse_platform_config(text, "c.json");
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return {};
}

TEST(PlatformConfigTest, ParsesTheSettingsLikeTheSimulatorsProtocol) {
  const auto config = parse_platform_config(test::platform_config(), "c.json");
  EXPECT_EQ(config.name, "n0");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(config.classes, (Words{"read", "sign"}));
  EXPECT_EQ(config.settings.classes[1].effect, Idempotency::at_most_once);
  EXPECT_EQ(config.settings.classes[1].request_deadline, 2s);
  EXPECT_EQ(config.settings.drain_grace, 3s);
  EXPECT_EQ(config.settings.zones, 2U);
  EXPECT_EQ(config.settings.max_messages_per_window, 12U);
  EXPECT_EQ(config.max_memory_bytes, std::size_t{32} << 20);
  EXPECT_EQ(config.settings.load_columns, std::vector<LoadMetric>{LoadMetric::util});
}

TEST(PlatformConfigTest, NamesTheFileAndTheInvalidFieldInErrors) {
  const auto valid = test::platform_config();
  for (const std::string field : {"listen", "discovery", "seed", "limits", "sockets", "known", "settings",
                                  "classes", "bare-s", "default-retry", "quantum-s"}) {
    auto text = valid;
    const auto key = '"' + field + '"';
    text.replace(text.find(key), key.size(), "\"x\"");
    const auto error = parse_error(text);
    EXPECT_FALSE(error.empty()) << "with the field renamed: " << field;
    EXPECT_EQ(error.substr(0, 7), "c.json:");
    EXPECT_NE(error.find(field), std::string::npos) << error;
    EXPECT_EQ(error.find('\n'), std::string::npos);
  }
}

TEST(PlatformConfigTest, RejectsAnInvalidMemoryLimit) {
  for (const std::string value : {"-1", "0", "0.5", "1e300", "\"32\"", "null"}) {
    auto text = test::platform_config();
    const std::string valid = "\"memory_mb\":32";
    text.replace(text.find(valid), valid.size(), "\"memory_mb\":" + value);
    EXPECT_NE(parse_error(text).find("memory_mb"), std::string::npos) << value;
  }
}

TEST(PlatformConfigTest, RejectsInvalidJsonAndAMissingFile) {
  EXPECT_THROW(parse_platform_config("{", "c.json"), config::ConfigError);
  EXPECT_THROW(read_platform_config("/nonexistent"), config::ConfigError);
}

}  // namespace
}  // namespace ospreypost::platform
