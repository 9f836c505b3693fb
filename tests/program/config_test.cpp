// The message about a faulty configuration names the place and the fault.
#include "config/config.h"

#include <gtest/gtest.h>

#include "program/support.h"

namespace ospreypost::config {
namespace {

using namespace std::chrono_literals;

std::string fault_of(const std::string& from, const std::string& to) {
  try {
    parse_config(test::replace_first(test::small_config_text(), from, to), "file");
  } catch (const ConfigError& fault) {
    return fault.what();
  }
  return "none";
}

TEST(Config, FillsTheModuleSettings) {
  const auto config = test::small_config();
  EXPECT_EQ(config.settings.drain_grace, 3s);
  EXPECT_EQ(config.settings.max_messages_per_window, 12U);
  EXPECT_EQ(config.settings.proxies, 3U);
  EXPECT_EQ(config.settings.classes[1].effect, Idempotency::at_most_once);
  EXPECT_EQ(config.settings.reporting, ReportingMode::in_load_reports);
  EXPECT_EQ(config.settings.load_columns, std::vector{LoadMetric::util});
  EXPECT_FALSE(config.settings.health_checks_allowed);
  EXPECT_EQ(config.proxies.known[2].zone, ZoneId{1});
  EXPECT_FALSE(config.proxies.known[2].vouched);
}

TEST(Config, ErrorsNameLineElementAndExpectation) {
  EXPECT_EQ(fault_of("", ""), "none");
  const auto missing = fault_of("<bare longest=\"5 s\"/>", "");
  EXPECT_TRUE(
      missing.starts_with("file:7: Element 'limits': Missing child element(s). Expected is ( bare )."))
      << missing;
  const auto unit = fault_of("grace=\"3 s\"", "grace=\"3\"");
  EXPECT_TRUE(unit.starts_with("file:8: Element 'drain', attribute 'grace'")) << unit;
  const auto unknown = fault_of("<drain", "<drane");
  EXPECT_TRUE(unknown.starts_with("file:8: Element 'drane': This element is not expected.")) << unknown;
  const auto zone = fault_of("zone=\"west\" usual", "zone=\"moon\" usual");
  EXPECT_NE(zone.find("moon"), std::string::npos) << zone;
  EXPECT_EQ(
      fault_of("grace=\"3 s\"", "grace=\"1 s\""),
      "file:21: element 'dns': the drain grace is too short for a TTL of 1 s, the flight and the interval "
      "between reads of the roll");
  EXPECT_EQ(fault_of("abandon-time=\"2 s\"", "abandon-time=\"0.5 s\""),
            "file:5: element 'class': abandon-time must not be below target-time");
  EXPECT_TRUE(fault_of("</governor>", "").starts_with("file:23: "));
}

TEST(Config, ExpandsNoExternalEntities) {
  const auto text = fault_of("<governor name=\"test\"",
                             "<!DOCTYPE governor [<!ENTITY e SYSTEM \"file:///etc/hostname\">]>"
                             "<governor name=\"&e;\"");
  EXPECT_NE(text, "none");
}

TEST(Durations, RequireAUnit) {
  EXPECT_EQ(parse_duration("250 ms"), 250ms);
  EXPECT_EQ(parse_duration("1.5s"), 1500ms);
  EXPECT_EQ(parse_duration("2 min"), 2min);
  EXPECT_FALSE(parse_duration("2"));
  EXPECT_FALSE(parse_duration("-1 s"));
  EXPECT_FALSE(parse_duration("1 fortnight"));
}

}  // namespace
}  // namespace ospreypost::config
