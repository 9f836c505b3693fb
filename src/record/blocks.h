/// The format of the files of a record: a file header that states the schema, then blocks. All numbers are
/// little-endian.
///
///   file   "OSPREC" u16 schema; since schema 2: i64 wall time, i64 clock time, u32 file number, u64 XXH3 of
///          the preceding header fields
///   block  "BLK1" u32 stored bytes, u32 payload bytes, u32 entries, u64 entries lost before, i64 first,
///          i64 last, u64 XXH3 of the preceding block fields and of the stored bytes; then the stored bytes,
///          which are the payload compressed by zstd
///
/// A reader skips a block whose checksum does not match and continues with the next intact block. An
/// unfinished last block ends the file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "policy/types.h"

namespace ospreypost::record {

/// Schema version of written files. Files of this schema and of all earlier schemas can be read.
inline constexpr std::uint16_t kSchemaVersion = 2;
/// Payload size in bytes from which a block is closed.
inline constexpr std::size_t kTargetPayloadBytes = std::size_t{64} * 1024;

/// The header of one file. All entries of a file belong to one incarnation of the control plane.
struct FileHeader {
  std::uint16_t schema = kSchemaVersion;
  Nanos wall_time{};         ///< wall time of the first entry, since 1970; 0 if unknown
  Nanos clock_time{};        ///< monotonic clock time of the first entry; 0 if unknown
  std::uint32_t number = 0;  ///< position of the file among the files of the incarnation, from 0
};

struct BlockHeader {
  std::uint32_t entries = 0;
  std::uint64_t lost_before = 0;  ///< number of lost entries between the previous block and this block
  Nanos first{};                  ///< monotonic clock time of the first entry
  Nanos last{};                   ///< monotonic clock time of the last entry
};

/// Returns the stored form of a file header.
std::string encode_file_header(const FileHeader& header = {});
/// Returns the stored form of a block; `payload` is a serialized `kept::Block`.
std::string encode_block(const BlockHeader& header, std::string_view payload);

/// Iterates over the blocks of the contents of one file. The contents must outlive the reader. Not
/// thread-safe.
class BlockReader {
 public:
  struct Block {
    BlockHeader header;
    std::string payload;  ///< decompressed contents of the block
  };

  /// Throws `FormatError` if `file` is not a record, or is a record of a newer schema.
  explicit BlockReader(std::string_view file);

  const FileHeader& header() const { return header_; }
  /// Returns the next intact block, or nothing at the end of the file.
  std::optional<Block> next();
  /// Restricts `next` to blocks with entries between the two monotonic clock times of the entries. A block
  /// outside of the window is skipped without decompression if another block follows directly after it;
  /// otherwise the block is returned as well.
  void restrict_to(Nanos from, Nanos to);
  /// Number of byte ranges read so far that contain no intact block.
  std::size_t corrupt_regions() const { return corrupt_regions_; }

 private:
  bool is_in_window(const BlockHeader& header) const;

  FileHeader header_;
  Nanos window_begin_ = Nanos::min();
  Nanos window_end_ = Nanos::max();
  std::string_view rest_;
  std::size_t corrupt_regions_ = 0;
};

}  // namespace ospreypost::record
