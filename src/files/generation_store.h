// The folder that a plain proxy reads its tables from. The current generation is always complete: a new
// generation is written to its own subfolder, synced to disk, and made current by one rename.
#pragma once

#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "files/generation.h"

namespace ospreypost::files {

enum class StoreResult {
  swapped,  // the generation has become current
  same,     // the generation was current already
  older,    // rejected: the folder holds a newer version, a higher epoch, or the same epoch of another owner
};

class GenerationStore {
 public:
  // `keep`: number of generations kept for rollbacks, with the current generation; at least 2. `step` is
  // called with a name before each file system operation, so that tests can fail or exit there. Throws
  // net::Error if the folder cannot be used.
  GenerationStore(std::filesystem::path path, std::size_t keep, std::function<void(const char*)> step = {});
  // Throws net::Error if the file system fails; the current generation then stays. `recall`: after a
  // rollback, storing the newest generation again makes it current again.
  StoreResult store(const Generation& generation, bool recall = false);
  // Makes a kept generation current again until store() receives a generation newer than all before. Throws
  // net::Error if the version is not kept or is damaged, or if its tables list a replica that the newest
  // generation or `excluded` excludes.
  void roll_back(std::uint64_t version, const std::vector<std::string>& excluded);
  // Returns the current generation; empty before the first. Throws net::Error if its files are damaged.
  std::optional<Generation> current() const;
  // The newest generation ever accepted, also after a rollback; the owner is empty if the files are damaged.
  struct Newest {
    GenerationId stamp;
    std::string owner;
  };
  std::optional<Newest> newest_owned() const;
  // Returns all generations in the folder, oldest first.
  std::vector<GenerationId> kept() const;
  // Returns the generation that the reader uses, from the file `applied` (EPOCH VERSION), which the reader
  // writes.
  std::optional<GenerationId> applied() const;
  // Renews the lease for all processes that read the folder, by setting the time of the file `spoken`.
  void touch_lease_file();
  // Returns the modification time of the file `spoken` in nanoseconds; 0 if there is no such file.
  std::int64_t lease_file_time() const;
  const std::filesystem::path& path() const { return path_; }

 private:
  void write(const std::filesystem::path& file_path, const std::string& text);
  void sync_folder(const std::filesystem::path& folder);
  std::optional<GenerationId> linked_stamp() const;
  std::optional<GenerationId> newest_stamp() const;
  void make_current(const GenerationId& stamp);
  void prune(const GenerationId& current);
  void step(const char* what) const;

  const std::filesystem::path path_;
  const std::size_t keep_;
  const std::function<void(const char*)> step_;
};

// Reads the current generation as a plain proxy does, by following the link `current`. Returns empty before
// the first generation; throws net::Error if the generation is damaged.
std::optional<Generation> read_current(const std::filesystem::path& folder);

}  // namespace ospreypost::files
