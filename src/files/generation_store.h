// The folder that a plain proxy reads its tables from. What is current is always one whole generation: it is
// written beside, made durable, and swapped in by one rename.
#pragma once

#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "files/generation.h"

namespace ospreypost::files {

enum class StoreResult {
  swapped,  // it is current now
  same,     // it was already
  older,    // refused: something newer was taken, or of a higher epoch, or of this epoch by another process
};

class GenerationStore {
 public:
  // `keep`: generations that stay for going back, the current one included; at least 2. `step` is called
  // before each thing that is done to the file system, with its name; tests fail or die there. Throws
  // net::Error if the folder cannot be used.
  GenerationStore(std::filesystem::path path, std::size_t keep, std::function<void(const char*)> step = {});
  // Throws net::Error if the file system fails; what was current stays. `recall`: the newest is made current
  // again after a way back.
  StoreResult take(const Generation& generation, bool recall = false);
  // Makes a kept generation current again, until something newer than all that was ever current is taken.
  // Throws net::Error if it is not kept, is not whole, or names a replica that is out, by the newest one or
  // by `out`.
  void roll_back(std::uint64_t version, const std::vector<std::string>& out);
  // The newest generation of ours whose manifest and files are whole; empty if there is none.
  std::optional<Generation> current() const;
  // What was ever the newest, also after a way back; its owner is empty if its files are damaged.
  struct Newest {
    GenerationId stamp;
    std::string owner;
  };
  std::optional<Newest> newest_owned() const;
  // All that are kept, oldest first.
  std::vector<GenerationId> kept() const;
  // What the reader says that it goes by (the file `applied`, written by the reader: EPOCH VERSION).
  std::optional<GenerationId> applied() const;
  // Leaves a sign of life for others that look at the folder, and what changes with each of them.
  void touch();
  std::int64_t touched() const;
  const std::filesystem::path& path() const { return path_; }

 private:
  void write(const std::filesystem::path& to, const std::string& text);
  void sync_folder(const std::filesystem::path& folder);
  std::optional<GenerationId> linked() const;
  std::optional<GenerationId> newest() const;
  void swap(const GenerationId& stamp);
  void prune(const GenerationId& current);
  void step(const char* what) const;

  const std::filesystem::path path_;
  const std::size_t keep_;
  const std::function<void(const char*)> step_;
};

// What a reader makes of a folder, as any plain proxy could: it follows `current` once and reads from there.
// Throws net::Error if what it finds is no whole generation; empty if there is none yet.
std::optional<Generation> read_current(const std::filesystem::path& folder);

}  // namespace ospreypost::files
