/// The format of a record's files: a header that names the schema, then blocks. All numbers are
/// little-endian.
///
///   file   "OSPREC" u16 schema; since schema 2: i64 wall time, i64 clock time, u32 file number, u64 XXH3 of
///          all that
///   block  "BLK1" u32 stored bytes, u32 payload bytes, u32 entries, u64 entries lost before, i64 first,
///          i64 last, u64 XXH3 of all that and the stored bytes; then those, compressed by zstd
///
/// A block whose checksum does not match is skipped up to the next that does; an unfinished last one ends the
/// file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "policy/types.h"

namespace ospreypost::record {

/// The schema that is written; this one and all before are read.
inline constexpr std::uint16_t kSchemaVersion = 2;
/// A block is closed when its payload has so many bytes.
inline constexpr std::size_t kTargetPayloadBytes = std::size_t{64} * 1024;

/// Of one file; all its entries are of one incarnation of the control plane.
struct FileHeader {
  std::uint16_t schema = kSchemaVersion;
  Nanos wall_time{};         ///< of its first entry, since 1970; 0 if not known (before schema 2)
  Nanos clock_time{};        ///< of its first entry, on the entries' clock; 0 if not known
  std::uint32_t number = 0;  ///< of the files that the incarnation began, from 0
};

struct BlockHeader {
  std::uint32_t entries = 0;
  std::uint64_t lost_before = 0;  ///< entries between the block before and this one that were not stored
  Nanos first{};                  ///< time of the first entry, on the entries' clock
  Nanos last{};                   ///< time of the last entry
};

/// A file's header as it is stored.
std::string encode_file_header(const FileHeader& header = {});
/// A block as it is stored; `payload` is a serialized `kept::Block`.
std::string encode_block(const BlockHeader& header, std::string_view payload);

/// Walks the blocks of one file's text, which must outlive it. Not thread-safe.
class BlockReader {
 public:
  struct Block {
    BlockHeader header;
    std::string payload;  ///< decompressed
  };

  /// Throws `FormatError` if the text is no record, or of a newer schema.
  explicit BlockReader(std::string_view file);

  const FileHeader& header() const { return header_; }
  /// The next intact block; absent at the end.
  std::optional<Block> next();
  /// From now on `next` gives only blocks with entries between the two times on the entries' clock; the
  /// others are passed over unread, as far as their headers lead to a next block.
  void restrict_to(Nanos from, Nanos to);
  /// Regions of bytes so far that were no intact block.
  std::size_t corrupt_regions() const { return corrupt_regions_; }

 private:
  bool is_in_window(const BlockHeader& header) const;

  FileHeader header_;
  Nanos from_ = Nanos::min();
  Nanos to_ = Nanos::max();
  std::string_view rest_;
  std::size_t corrupt_regions_ = 0;
};

}  // namespace ospreypost::record
