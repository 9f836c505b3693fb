/// Makes records of records. What is there is never changed: results go to a folder of their own.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "record/reader.h"

namespace ospreypost::record {

/// Writes the entries of the window to a new record, with those before it that tell who is there: starts,
/// names, endpoint lists, and proxies that joined or left. What is left out is marked as missing, so that a
/// replay compares from the next start on. Returns how many entries were left out. Throws `StorageError` if a
/// file cannot be read or written or the folder holds records already, and `FormatError` if a file is no
/// record or of a newer schema.
std::uint64_t cut(const std::vector<std::string>& files, const TimeWindow& window, const std::string& folder);

/// Copies all files to one folder, named in their order. Throws as `cut`.
void merge(const std::vector<std::string>& files, const std::string& folder);

}  // namespace ospreypost::record
