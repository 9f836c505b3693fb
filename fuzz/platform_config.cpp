// Configurations of the platform, and the lists that they hold.
#include "platform/platform_config.h"

#include <cstdlib>

#include "config/xml.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  try {
    const auto read = platform::parse_platform_config({reinterpret_cast<const char*>(data), size}, "fuzz");
    if (read.classes.empty() != read.settings.classes.empty()) std::abort();
  } catch (const config::ConfigError& fault) {
    if (std::string_view(fault.what()).substr(0, 5) != "fuzz:") std::abort();
  }
  return 0;
}
