/// Counts of the contents of a record.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "record/reader.h"

namespace ospreypost::record {

/// Sizes and counts of one file of a record.
struct FileSummary {
  std::string path;
  FileHeader header;
  std::uint64_t bytes = 0;
  std::uint64_t unpacked_bytes = 0;  ///< total size of the decompressed payloads of the blocks
  std::uint64_t blocks = 0;
  std::uint64_t entries = 0;
  Corruption corruption;
  Nanos duration{};  ///< time from the first entry to the last entry
};

struct RecordSummary {
  std::vector<FileSummary> files;
  std::map<std::string, std::uint64_t> events;   ///< number of events by the field name in record.proto
  std::map<std::string, std::uint64_t> actions;  ///< number of actions by the field name in record.proto
  std::uint64_t incarnations = 0;                ///< number of starts of a control plane instance
};

/// Returns the counts of a record. Throws `StorageError` if a file cannot be read, and `FormatError` if a
/// file is not a record or is a record of a newer schema.
RecordSummary summarize(const std::vector<std::string>& files);

}  // namespace ospreypost::record
