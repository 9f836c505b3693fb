// One generation of a proxy's tables: all files that belong together, with version and checksum, as it
// travels and as it lies in a folder.
//
//   FOLDER/current -> gen-EPOCH-VERSION     swapped by one rename
//   FOLDER/gen-EPOCH-VERSION/manifest.json, and the files it names
//   FOLDER/newest                           after a way back: what was ever the newest
//   FOLDER/applied                          what the reader goes by, in its own words
//   FOLDER/spoken                           touched by whoever may order, while it lives
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ospreypost::files {

// Orders of a higher epoch go before all of a lower one; within one, the higher version is the newer.
struct GenerationId {
  std::uint64_t epoch = 0, version = 0;
  auto operator<=>(const GenerationId&) const = default;
};

struct Generation {
  GenerationId stamp;
  std::string owner;  // the process that ordered it; of one epoch only one can
  std::size_t lines = 0;
  std::uint64_t lease_ms = 0;      // without a sign of life after which the tables are stale
  std::vector<std::string> names;  // replicas that its tables send to
  std::vector<std::string> out;    // replicas that are withdrawn, draining or gone now
  std::map<std::string, std::string>
      files;  // text by name: letters, digits, '-', '_', and one of .json or .conf
};

// With a checksum (XXH3, 64 bits) over all the rest.
std::string write_generation(const Generation& generation);
// Throws net::Error with one line that names what does not fit: truncated, altered, oversized, or a name that
// climbs out of the folder.
Generation read_generation(std::string_view text);

}  // namespace ospreypost::files
