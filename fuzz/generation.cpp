// Reads arbitrary bytes as a generation of table files that a client sends to a receiver. File names in an
// accepted generation must stay inside the receiver's folder. A generation that is written and read again
// must keep its stamp.
#include <cstdlib>

#include "files/receiver.h"
#include "net/socket.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    const auto generation = files::read_generation(text);
    for (const auto& [name, content] : generation.files) {
      if (name.find('/') != std::string::npos || name.starts_with('.')) std::abort();
    }
    if (files::read_generation(files::write_generation(generation)).stamp != generation.stamp) std::abort();
  } catch (const net::Error&) {
  }
  try {
    files::read_state(text);
  } catch (const net::Error&) {
  }
  return 0;
}
