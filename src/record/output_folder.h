/// Writes the files of a new record. Existing records are never overwritten.
#pragma once

#include <filesystem>
#include <string>

namespace ospreypost::record {

/// Creates the folder. Throws `StorageError` if the folder cannot be created or already holds records.
void create_output_folder(const std::string& folder);

/// Writes `text` to the file. Throws `StorageError` if the text cannot be written completely.
void write_file(const std::filesystem::path& path, const std::string& text);

}  // namespace ospreypost::record
