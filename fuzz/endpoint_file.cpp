// Parses arbitrary bytes as an endpoint file and updates an endpoint list. A rejected file must not change
// the list.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <utility>

#include "discovery/endpoint_file_source.h"
#include "discovery/endpoint_list.h"
#include "net/socket.h"
#include "program/support.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  using namespace std::chrono_literals;
  static const auto config = test::small_config();
  discovery::EndpointList list;
  try {
    auto endpoints = discovery::parse_endpoint_file({reinterpret_cast<const char*>(data), size}, config);
    const auto update = list.update(10s, discovery::WallTime(1000s), std::move(endpoints));
    if (update.changes.empty() || update.changes.size() != list.size()) std::abort();
  } catch (const net::Error&) {
    if (list.size() != 0) std::abort();
  }
  return 0;
}
