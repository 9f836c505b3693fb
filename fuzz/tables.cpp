// Reads arbitrary bytes as a table file in both formats, Envoy and upstream. A failed read must yield no
// targets.
#include "fakes/tables.h"

#include <cstdlib>

#include "files/render.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  const std::string text(reinterpret_cast<const char*>(data), size);
  for (const auto& table : {fakes::read_envoy(text), fakes::read_upstream(text)}) {
    if (table.kind == fakes::Resolved::Kind::failed && !table.targets.empty()) std::abort();
  }
  return 0;
}
