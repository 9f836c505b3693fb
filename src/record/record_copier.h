/// Writes entries of an existing record to a new record.
#pragma once

#include <cstdint>
#include <string>

#include "record/blocks.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

/// Writes a record to a folder, on the calling thread. Callers begin each file and append the entries of the
/// file in order, and call `close` at the end; without `close`, the entries of the last file are lost. Not
/// thread-safe.
class RecordCopier {
 public:
  /// Throws `StorageError` if the folder already holds records or cannot be created.
  explicit RecordCopier(std::string folder);

  /// Closes the previous file and begins a file with this header for the next entries. Throws `StorageError`
  /// if the previous file cannot be written.
  void begin_file(const FileHeader& header);
  void append(const kept::Entry& entry);
  /// Marks `entries` entries as missing before the next appended entry.
  void mark_lost(std::uint64_t entries) { lost_entries_ += entries; }
  /// Writes all appended entries. Throws `StorageError` if the file cannot be written.
  void close();

 private:
  void begin_block(Nanos first);
  void close_block();

  const std::string folder_;
  FileHeader file_header_;
  std::string file_text_;  // closed blocks of the file in their stored form
  BlockHeader block_header_;
  std::string block_payload_;
  std::uint64_t lost_entries_ = 0;  // missing entries before the next block
};

}  // namespace ospreypost::record
