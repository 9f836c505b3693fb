// Applies a sequence of endpoint list updates from discovery, one per line, to an endpoint registry.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "discovery/endpoint_list_update.h"
#include "net/socket.h"
#include "platform/endpoint_registry.h"
#include "policy/types.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  platform::EndpointRegistry registry({"east"}, {"new"}, Nanos{-5});
  std::string_view text(reinterpret_cast<const char*>(data), size);
  while (!text.empty()) {
    const auto end = text.find('\n');
    try {
      const auto update = discovery::parse_endpoint_list_update(text.substr(0, end));
      const auto changes = registry.apply(update);
      if (changes.updates.size() + changes.rejected > update.entries.size()) std::abort();
    } catch (const net::Error&) {
      // An update that cannot be parsed leaves the registry unchanged.
    }
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  }
  for (const auto id : registry.gone_replicas()) registry.release(id);
  if (!registry.gone_replicas().empty()) std::abort();
  return 0;
}
