/// Reads a record's files in their order, entry by entry, and tells where the record is incomplete.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "record/blocks.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

/// Receives what a record holds, in its order.
class RecordVisitor {
 public:
  virtual ~RecordVisitor() = default;
  /// A file begins; all its entries are of one incarnation. Where its header does not tell its times, they
  /// are those of its name and of its first block.
  virtual void on_file(const FileHeader&) {}
  virtual void on_entry(const kept::Entry& entry) = 0;
  /// Something is missing between the entry before and the next: so many entries, as far as the record tells.
  virtual void on_gap(std::uint64_t lost_entries) = 0;
};

/// What is missing or unreadable in a record.
struct Corruption {
  std::uint64_t lost_entries = 0;     ///< that were not stored, as far as the record tells
  std::uint64_t corrupt_regions = 0;  ///< regions of bytes that are no intact block
};

/// The files of a record, from folders and single paths, oldest first whatever the order given. A file that
/// is there twice counts once. Throws `StorageError` if a folder holds none or a file cannot be read, and
/// `FormatError` if one is no record.
std::vector<std::string> list_files(const std::vector<std::string>& paths);

/// The whole of a file. Throws `StorageError` if it cannot be read.
std::string read_file(const std::string& path);

/// Hands the whole record to `visitor`. Throws `StorageError` if a file cannot be read, and `FormatError` if
/// one is no record or of a newer schema.
Corruption visit_record(const std::vector<std::string>& files, RecordVisitor& visitor);

/// A span of a record's time, which counts from the first entry of its first file.
struct TimeWindow {
  Nanos from{};
  Nanos to = Nanos::max();
};

/// The same, but only blocks that touch the window are decompressed; the others are passed over by their
/// headers. Entries outside of it may still come: those of the first and the last block.
Corruption visit_record(const std::vector<std::string>& files, const TimeWindow& window,
                        RecordVisitor& visitor);

}  // namespace ospreypost::record
