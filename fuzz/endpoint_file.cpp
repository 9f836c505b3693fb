// Rolls as a broken writer may leave them.
#include <cstdlib>

#include "discovery/endpoint_file_source.h"
#include "program/support.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  static const auto config = test::small_config();
  discovery::EndpointList roll;
  try {
    const auto taken =
        roll.update(std::chrono::seconds(10), discovery::WallTime(std::chrono::seconds(1000)),
                    discovery::parse_endpoint_file({reinterpret_cast<const char*>(data), size}, config));
    if (taken.changes.empty() || taken.changes.size() != roll.size()) std::abort();
  } catch (const net::Error&) {
    if (roll.size() != 0) std::abort();
  }
  return 0;
}
