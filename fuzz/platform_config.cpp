/// Parses arbitrary bytes as a platform configuration. Error messages must start with the input's name.
#include "platform/platform_config.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "config/xml.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  try {
    const auto config = platform::parse_platform_config(text, "fuzz");
    if (config.classes.empty() != config.settings.classes.empty()) std::abort();
  } catch (const config::ConfigError& error) {
    const std::string_view message(error.what());
    if (!message.starts_with("fuzz:")) std::abort();
  }
  return 0;
}
