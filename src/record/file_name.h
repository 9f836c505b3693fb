/// The names of a record's files, which carry the wall-clock time of their first entry.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "policy/types.h"

namespace ospreypost::record {

/// The extension of every file of a record.
inline constexpr const char* kFileExtension = ".rec";

/// The name of a file that begins at `wall_time` (since 1970) and is the `number`th of its incarnation. Names
/// sort by the two.
std::string encode_file_name(Nanos wall_time, std::uint64_t number);

/// The wall-clock time in a file's name, to the millisecond; absent if the name carries none, or one that
/// does not fit.
std::optional<Nanos> wall_time_of_name(const std::filesystem::path& path);

}  // namespace ospreypost::record
