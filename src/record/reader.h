/// Reads the files of a record from the oldest to the newest, entry by entry, and reports gaps in the record.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "record/blocks.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

/// Receives the contents of a record in the order of the record.
class RecordVisitor {
 public:
  virtual ~RecordVisitor() = default;
  /// A file begins; all entries of the file belong to one incarnation. If the stored header has no times, the
  /// wall time of the passed header is taken from the file name and its clock time from the first block.
  virtual void on_file(const FileHeader&) {}
  virtual void on_entry(const kept::Entry& entry) = 0;
  /// Entries are missing between the previous entry and the next entry. `lost_entries` is their number as far
  /// as the record states it; 0 if the record does not.
  virtual void on_gap(std::uint64_t lost_entries) = 0;
};

/// Amount of missing and unreadable data in a record.
struct Corruption {
  std::uint64_t lost_entries = 0;     ///< number of entries that were not stored, as stated by the record
  std::uint64_t corrupt_regions = 0;  ///< number of byte ranges that contain no intact block
};

/// Returns the record files at `paths` (folders and single files), oldest first regardless of the order of
/// `paths`. Of files with the same contents only one is returned. Throws `StorageError` if a folder holds no
/// record files or a file cannot be read, and `FormatError` if a file is not a record.
std::vector<std::string> list_files(const std::vector<std::string>& paths);

/// Returns the contents of a file. Throws `StorageError` if the file cannot be read.
std::string read_file(const std::string& path);

/// Passes the whole record to `visitor`. Throws `StorageError` if a file cannot be read, and `FormatError` if
/// a file is not a record or is a record of a newer schema.
Corruption visit_record(const std::vector<std::string>& files, RecordVisitor& visitor);

/// A span of time in a record; times count from the first entry of the first file.
struct TimeWindow {
  Nanos from{};
  Nanos to = Nanos::max();
};

/// Passes the blocks of a record that overlap the window to `visitor`; other blocks are skipped by their
/// headers without decompression. The first and the last block may contain entries outside of the window,
/// which `visitor` also receives. Throws the same errors as the other overload.
Corruption visit_record(const std::vector<std::string>& files, const TimeWindow& window,
                        RecordVisitor& visitor);

}  // namespace ospreypost::record
