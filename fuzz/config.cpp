// Parses arbitrary bytes as a configuration and as a scenario; both parsers may only fail with ConfigError.
#include "program/support.h"
#include "scenario/scenario.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  try {
    config::parse_config(text, "fuzz");
  } catch (const config::ConfigError&) {
  }
  try {
    scenario::parse_scenario(text, "fuzz", ".");
  } catch (const config::ConfigError&) {
  }
  return 0;
}
