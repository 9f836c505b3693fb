// How a record lies in files: a head that names the schema, then blocks. All numbers little-endian.
//
//   file   "OSPREC" u16 schema; since schema 2: i64 wall, i64 at, u32 number, u64 XXH3 of all that
//   block  "BLK1" u32 stored bytes, u32 bytes unpacked, u32 entries, u64 lost before it, i64 first, i64 last,
//          u64 XXH3 of all that and the stored bytes; then those, packed by zstd
//
// A block whose sum does not fit is skipped up to the next that does; an unfinished last one ends the file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "policy/controller.h"

namespace ospreypost::record {

inline constexpr std::uint16_t kSchemaVersion = 2;

// Of one file; all its entries are of one governor.
struct FileHeader {
  std::uint16_t schema = kSchemaVersion;
  Nanos wall_time{},
      clock_time{};          // of its first entry: since 1970, and on the entries' clock; 0 before schema 2
  std::uint32_t number = 0;  // of the files that the governor began
};

struct BlockHeader {
  std::uint32_t entries = 0;
  std::uint64_t lost = 0;  // entries that came between the block before and this one, and were not kept
  Nanos first{}, last{};
};

// Of a file begun at `wall`, the `number`th of its governor; names sort by them.
std::string file_name(Nanos wall, std::uint64_t number);
// The time that a file's name carries, in milliseconds; 0 if it carries none that may be.
Nanos wall_time_of_name(const std::string& stem);
std::string encode_file_header(const FileHeader& head = {});
// A serialized Block, framed.
std::string encode_block(const BlockHeader& head, std::string_view payload);

// Walks the blocks of one file's text.
class BlockReader {
 public:
  // Throws net::Error if it is no record, or of a newer schema.
  explicit BlockReader(std::string_view file);
  struct Found {
    BlockHeader header;
    std::string payload;
  };
  const FileHeader& header() const { return header_; }
  // The next good block; empty at the end.
  std::optional<Found> next();
  // From now on only blocks that touch this stretch of their clock; the others are passed over unread, as far
  // as their heads lead to a next one.
  void restrict_to(Nanos from, Nanos to) { from_ = from, to_ = to; }
  // Stretches so far that were no good block.
  std::size_t corrupt_stretches() const { return corrupt_stretches_; }

 private:
  FileHeader header_;
  Nanos from_ = Nanos::min(), to_ = Nanos::max();
  std::string_view rest_;
  std::size_t corrupt_stretches_ = 0;
};

}  // namespace ospreypost::record
