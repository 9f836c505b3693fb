/// Writes a record as text.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "record/reader.h"

namespace ospreypost::record {

/// Receives one line of a dump; `time` counts from the beginning of the record.
using LineSink = std::function<void(Nanos time, const std::string& line)>;

/// Passes one line for each entry of the window to `write`, as protocol buffer text or as JSON, and one line
/// with time 0 for each gap. Throws `StorageError` if a file cannot be read, and `FormatError` if a file is
/// not a record or is a record of a newer schema.
void dump(const std::vector<std::string>& files, const TimeWindow& window, bool json, const LineSink& write);

}  // namespace ospreypost::record
