/// Writes entries of a record to a record of its own.
#pragma once

#include <cstdint>
#include <string>

#include "record/blocks.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

/// Writes a record to a folder, on the calling thread. Hand it files and their entries in order, then
/// `close`; what was handed in since the last file began is lost without. Not thread-safe.
class RecordCopier {
 public:
  /// Throws `StorageError` if the folder holds records already or cannot be created.
  explicit RecordCopier(std::string folder);

  /// Entries from now on belong to a file with this header. Throws `StorageError` if the file before cannot
  /// be written.
  void begin_file(const FileHeader& header);
  void append(const kept::Entry& entry);
  /// So many entries are missing before the next that is appended.
  void mark_lost(std::uint64_t entries) { lost_entries_ += entries; }
  /// Writes all that was appended. Throws `StorageError`.
  void close();

 private:
  void begin_block(Nanos first);
  void close_block();

  const std::string folder_;
  FileHeader file_header_;
  std::string file_text_;  // the blocks of the file that are closed
  BlockHeader block_header_;
  std::string block_payload_;
  std::uint64_t lost_entries_ = 0;  // before the next block
};

}  // namespace ospreypost::record
