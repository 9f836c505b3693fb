#include "record/output_folder.h"

#include <fstream>
#include <system_error>

#include "record/errors.h"
#include "record/file_name.h"

namespace ospreypost::record {

namespace fs = std::filesystem;

void create_output_folder(const std::string& folder) {
  std::error_code error;
  fs::create_directories(folder, error);
  if (error) throw StorageError("the folder " + folder + ": " + error.message(), folder);
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() == kFileExtension)
      throw StorageError("there are records in " + folder + " already", folder);
  }
}

void write_file(const fs::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) throw StorageError("cannot write " + path.string(), path.string());
}

}  // namespace ospreypost::record
