// Reads a record's files in their order, entry by entry, and says where it is not whole.
#pragma once

#include <string>
#include <vector>

#include "record/blocks.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

class RecordVisitor {
 public:
  virtual ~RecordVisitor() = default;
  // A file begins; all its entries are of one governor. Where its head does not tell, its times are those of
  // its name and its first block.
  virtual void on_file(const FileHeader&) {}
  virtual void on_entry(const kept::Entry& entry) = 0;
  // Something is missing between the entry before and the next: so many entries, as far as the record says.
  virtual void on_gap(std::uint64_t lost) = 0;
};

struct Corruption {
  std::uint64_t lost_entries = 0;       // entries that were not kept, as far as the record says
  std::uint64_t corrupt_stretches = 0;  // stretches that are no good block
};

// The files of a record, oldest first whatever the order given: folders' and single ones. One that is there
// twice counts once. Throws net::Error if there are none, or one cannot be read or is no record.
std::vector<std::string> list_files(const std::vector<std::string>& paths);

// The whole of a file. Throws net::Error if it cannot be read.
std::string read_file(const std::string& file);

// Throws net::Error if a file cannot be read, is no record, or of a newer schema.
Corruption visit_record(const std::vector<std::string>& files, RecordVisitor& visitor);

// A stretch of a record's time, from the first entry of its first file on.
struct TimeWindow {
  Nanos from{}, to = Nanos::max();
};
// Only blocks that touch the window are unpacked; the others are passed over by their heads. Entries outside
// of it may still come: the first and last block's.
Corruption visit_record(const std::vector<std::string>& files, const TimeWindow& window,
                        RecordVisitor& visitor);

}  // namespace ospreypost::record
