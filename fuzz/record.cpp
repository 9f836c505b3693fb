// Reads arbitrary bytes as a record, such as a faulty disk may return. Reading must end for any content, and
// an intact block after arbitrary bytes must be found.
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
    // The reader throws net::Error if the file is not a record.
  }
}

// Writes a file header, the bytes of the payload, and a block with the payload.
// Returns whether the reader finds the block with its whole payload behind the other bytes.
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
