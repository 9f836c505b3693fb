// Records as a disk may give them back: reading ends whatever they hold, and an intact block is found in
// them.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "net/socket.h"
#include "record.pb.h"
#include "record/blocks.h"

namespace {

using namespace ospreypost;

void read_all(const std::string& text) {
  try {
    record::BlockReader reader(text);
    while (const auto block = reader.next()) {
      kept::Block entries;
      entries.ParseFromString(block->payload);
    }
  } catch (const net::Error&) {
    // No record, which is said plainly.
  }
}

// A block with this payload, after a file header and the same bytes, is read back whole.
bool is_found_after_itself(const std::string& payload) {
  const record::BlockHeader header{1, 2, Nanos(3), Nanos(4)};
  const std::string file = record::encode_file_header() + payload + record::encode_block(header, payload);
  record::BlockReader reader(file);
  bool found = false;
  while (const auto block = reader.next()) found = block->payload == payload;
  return found;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  read_all(text);
  if (!is_found_after_itself(text)) std::abort();
  return 0;
}
