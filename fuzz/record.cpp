// Records as a disk may give them back: what is read fits its sum, and a replay of anything ends.
#include <cstdlib>

#include "net/socket.h"
#include "record.pb.h"
#include "record/blocks.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    record::BlockReader blocks(text);
    while (const auto found = blocks.next()) {
      kept::Block block;
      block.ParseFromString(found->payload);
    }
  } catch (const net::Error&) {
  }
  // A block around it is read back whole, whatever it holds.
  const auto framed =
      record::encode_file_header() + text + record::encode_block({1, 2, Nanos(3), Nanos(4)}, text);
  record::BlockReader blocks(framed);
  bool found = false;
  while (const auto block = blocks.next()) found = block->payload == text;
  if (!found) std::abort();
  return 0;
}
