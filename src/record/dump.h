/// A record as text.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "record/reader.h"

namespace ospreypost::record {

/// Receives one line of a dump; `time` is that since the record's beginning.
using LineSink = std::function<void(Nanos time, const std::string& line)>;

/// Hands each entry of the window to `write`, in the schema's names or as JSON, and a line for each gap, with
/// time 0. Throws `StorageError` if a file cannot be read, and `FormatError` if one is no record or of a
/// newer schema.
void dump(const std::vector<std::string>& files, const TimeWindow& window, bool json, const LineSink& write);

}  // namespace ospreypost::record
