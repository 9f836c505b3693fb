// A generation: one version of all table files of a proxy, with its checksum, as it is sent and stored.
//
//   FOLDER/current -> gen-EPOCH-VERSION     symbolic link; replaced by one rename
//   FOLDER/gen-EPOCH-VERSION/manifest.json  lists the table files that are stored beside it
//   FOLDER/newest                           after a rollback: the newest generation ever accepted
//   FOLDER/applied                          the generation that the reader uses; written by the reader
//   FOLDER/spoken                           touched at each renewal of the lease
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ospreypost::files {

// A generation of a higher epoch is newer than all generations of a lower epoch. Within an epoch, the higher
// version is newer.
struct GenerationId {
  std::uint64_t epoch = 0, version = 0;
  auto operator<=>(const GenerationId&) const = default;
};

struct Generation {
  GenerationId stamp;
  std::string owner;  // process that made the generation; an epoch has one owner
  std::size_t lines = 0;
  std::uint64_t lease_ms = 0;      // time without a renewal by the owner after which the tables are stale
  std::vector<std::string> names;  // replicas that the tables list
  std::vector<std::string>
      excluded;  // replicas that are ejected, draining or removed; a rollback must not restore them
  std::map<std::string, std::string>
      files;  // contents by file name: letters, digits, '-', '_', then .json or .conf
};

// Returns the generation as JSON, with a checksum (XXH3, 64 bits) over all other fields.
std::string write_generation(const Generation& generation);
// Throws net::Error with a one-line message if the text is truncated, altered or longer than 16 MiB, or if a
// file name could refer to a path outside the folder.
Generation read_generation(std::string_view text);

}  // namespace ospreypost::files
