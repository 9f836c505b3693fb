/// The names of the files of a record. A name contains the wall-clock time of the first entry of the file.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "policy/types.h"

namespace ospreypost::record {

/// The extension of every file of a record.
inline constexpr const char* kFileExtension = ".rec";

/// Returns the name of a file that begins at `wall_time` (since 1970) and has the position `number` among the
/// files of its incarnation. Names sort by time, then by number.
std::string encode_file_name(Nanos wall_time, std::uint64_t number);

/// Returns the wall-clock time in the name of a file, in whole milliseconds, or nothing if the name contains
/// no time or the time does not fit `Nanos`.
std::optional<Nanos> wall_time_of_name(const std::filesystem::path& path);

}  // namespace ospreypost::record
