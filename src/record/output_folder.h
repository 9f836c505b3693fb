/// Writes the files of a new record. Nothing that is there is ever overwritten.
#pragma once

#include <filesystem>
#include <string>

namespace ospreypost::record {

/// Creates the folder. Throws `StorageError` if it cannot be created or holds records already.
void create_output_folder(const std::string& folder);

/// Throws `StorageError` if not all of the text can be written.
void write_file(const std::filesystem::path& path, const std::string& text);

}  // namespace ospreypost::record
