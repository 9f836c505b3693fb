/// Creates new records from existing records. Existing files are never changed: results go to a new folder.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "record/reader.h"

namespace ospreypost::record {

/// Writes the entries of the window to a new record, preceded by the earlier entries that establish the
/// fleet: starts, names, endpoint lists, and proxies that joined or left. Omitted entries are marked as
/// missing, so that a replay resumes its comparison at the next start. Returns the number of omitted entries.
/// Throws `StorageError` if a file cannot be read or written or if the folder already holds records, and
/// `FormatError` if a file is not a record or is a record of a newer schema.
std::uint64_t cut(const std::vector<std::string>& files, const TimeWindow& window, const std::string& folder);

/// Copies all files to one folder, under names that sort in the order of the files. Throws the same errors as
/// `cut`.
void merge(const std::vector<std::string>& files, const std::string& folder);

}  // namespace ospreypost::record
