// Lists as discovery may send them, one after the other.
#include <cstdlib>

#include "platform/endpoint_registry.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  platform::EndpointRegistry places({"east"}, {"new"}, Nanos{-5});
  std::string_view text(reinterpret_cast<const char*>(data), size);
  while (!text.empty()) {
    const auto end = text.find('\n');
    try {
      const auto roster = discovery::parse_endpoint_list_update(text.substr(0, end));
      const auto taken = places.apply(roster);
      if (taken.updates.size() + taken.rejected > roster.members.size()) std::abort();
    } catch (const net::Error&) {
    }
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  }
  for (const auto id : places.gone_replicas()) places.release(id);
  if (!places.gone_replicas().empty()) std::abort();
  return 0;
}
