/// What a record holds, in numbers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "record/reader.h"

namespace ospreypost::record {

/// One file of a record.
struct FileSummary {
  std::string path;
  FileHeader header;
  std::uint64_t bytes = 0;
  std::uint64_t unpacked_bytes = 0;  ///< of the blocks' payloads
  std::uint64_t blocks = 0;
  std::uint64_t entries = 0;
  Corruption corruption;
  Nanos duration{};  ///< from the first entry to the last
};

struct RecordSummary {
  std::vector<FileSummary> files;
  std::map<std::string, std::uint64_t> events;   ///< counts by kind, in the schema's names
  std::map<std::string, std::uint64_t> actions;  ///< counts by kind, in the schema's names
  std::uint64_t incarnations = 0;                ///< starts of a control plane
};

/// Throws `StorageError` if a file cannot be read, and `FormatError` if one is no record or of a newer
/// schema.
RecordSummary summarize(const std::vector<std::string>& files);

}  // namespace ospreypost::record
