#include "files/generation_store.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

#include "net/socket.h"

namespace ospreypost::files {
namespace {

namespace fs = std::filesystem;

std::string name_of(const GenerationId& stamp) {
  return "gen-" + std::to_string(stamp.epoch) + "-" + std::to_string(stamp.version);
}

std::optional<GenerationId> stamp_of(const std::string& name) {
  unsigned long long epoch = 0, version = 0;
  int used = 0;
  if (std::sscanf(name.c_str(), "gen-%llu-%llu%n", &epoch, &version, &used) != 2) return std::nullopt;
  if (static_cast<std::size_t>(used) != name.size()) return std::nullopt;
  return GenerationId{epoch, version};
}

std::optional<std::string> read_text(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

[[noreturn]] void fail(const std::string& what, const fs::path& path) {
  throw net::Error(what + " " + path.string() + ": " + std::strerror(errno));
}

// Returns the generation in a folder; empty unless the manifest matches its checksum and each file matches
// the manifest.
std::optional<Generation> read_intact(const fs::path& folder) {
  const auto manifest = read_text(folder / "manifest.json");
  if (!manifest) return std::nullopt;
  try {
    auto generation = read_generation(*manifest);
    for (const auto& [name, text] : generation.files) {
      if (read_text(folder / name) != text) return std::nullopt;
    }
    return generation;
  } catch (const net::Error&) {
    return std::nullopt;
  }
}

}  // namespace

GenerationStore::GenerationStore(fs::path path, std::size_t keep, std::function<void(const char*)> step)
    : path_(std::move(path)), keep_(std::max<std::size_t>(2, keep)), step_(std::move(step)) {
  std::error_code error;
  fs::create_directories(path_, error);
  if (error) throw net::Error("cannot create the folder " + path_.string() + ": " + error.message());
}

void GenerationStore::step(const char* what) const {
  if (step_) step_(what);
}

void GenerationStore::write(const fs::path& file_path, const std::string& text) {
  step("create");
  const int file = ::open(file_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) fail("cannot create", file_path);
  std::size_t done = 0;
  bool good = true;
  // Writes in pieces, so that a test can exit between any two pieces.
  constexpr std::size_t piece = 512;
  while (good && done < text.size()) {
    step("write");
    const auto put = ::write(file, text.data() + done, std::min(piece, text.size() - done));
    if (put < 0 && errno == EINTR) continue;
    good = put > 0;
    if (good) done += static_cast<std::size_t>(put);
  }
  step("fsync");
  good = good && ::fsync(file) == 0;
  const int error = errno;
  ::close(file);
  errno = error;
  if (!good) fail("cannot write", file_path);
}

void GenerationStore::sync_folder(const fs::path& folder) {
  step("fsync folder");
  const int opened = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool good = opened >= 0 && ::fsync(opened) == 0;
  if (opened >= 0) ::close(opened);
  if (!good) fail("cannot fsync", folder);
}

void GenerationStore::make_current(const GenerationId& stamp) {
  const auto link = path_ / "current.new";
  std::error_code ignored;
  step("unlink");
  fs::remove(link, ignored);
  step("symlink");
  if (::symlink(name_of(stamp).c_str(), link.c_str()) != 0) fail("cannot create the link", link);
  step("rename");
  if (::rename(link.c_str(), (path_ / "current").c_str()) != 0)
    fail("cannot replace the link", path_ / "current");
  sync_folder(path_);
}

StoreResult GenerationStore::store(const Generation& generation, bool recall) {
  const auto newest_accepted = newest_stamp();
  const auto folder = path_ / name_of(generation.stamp);
  if (newest_accepted && generation.stamp < *newest_accepted) return StoreResult::older;
  const bool same_epoch = newest_accepted && generation.stamp.epoch == newest_accepted->epoch;
  const auto last = same_epoch ? read_intact(path_ / name_of(*newest_accepted)) : std::nullopt;
  if (last && last->owner != generation.owner) return StoreResult::older;
  if (last && last->stamp == generation.stamp) {
    if (linked_stamp() == generation.stamp) return StoreResult::same;
    if (!recall) return StoreResult::older;
    make_current(generation.stamp);
    return StoreResult::swapped;
  }
  std::error_code error;
  // An interrupted push may have left a folder for this generation.
  step("clear");
  fs::remove_all(folder, error);
  step("mkdir");
  if (::mkdir(folder.c_str(), 0755) != 0) fail("cannot create", folder);
  for (const auto& [name, text] : generation.files) write(folder / name, text);
  write(folder / "manifest.json", write_generation(generation));
  sync_folder(folder);
  sync_folder(path_);
  make_current(generation.stamp);
  prune(generation.stamp);
  return StoreResult::swapped;
}

// Reads the link alone, so that a newer generation is accepted also when the files of the current one are
// damaged.
std::optional<GenerationId> GenerationStore::linked_stamp() const {
  std::error_code error;
  return stamp_of(fs::read_symlink(path_ / "current", error).string());
}

// After a rollback the link names an older generation; the file `newest` then names the newest generation.
std::optional<GenerationId> GenerationStore::newest_stamp() const {
  const auto marked = stamp_of(read_text(path_ / "newest").value_or(""));
  return std::max(linked_stamp(), marked);
}

std::optional<GenerationStore::Newest> GenerationStore::newest_owned() const {
  const auto stamp = newest_stamp();
  if (!stamp) return std::nullopt;
  const auto generation = read_intact(path_ / name_of(*stamp));
  return Newest{*stamp, generation ? generation->owner : ""};
}

// Does not sync the file to disk, as a renewal need not survive a crash of the machine.
void GenerationStore::touch_lease_file() {
  const int file = ::open((path_ / "spoken").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  if (file < 0) return;
  ::futimens(file, nullptr);
  ::close(file);
}

std::int64_t GenerationStore::lease_file_time() const {
  struct stat found {};
  if (::stat((path_ / "spoken").c_str(), &found) != 0) return 0;
  return found.st_mtim.tv_sec * 1'000'000'000 + found.st_mtim.tv_nsec;
}

void GenerationStore::roll_back(std::uint64_t version, const std::vector<std::string>& excluded) {
  const auto newest_accepted = newest_stamp();
  const auto newest_generation =
      newest_accepted ? read_intact(path_ / name_of(*newest_accepted)) : std::nullopt;
  if (!newest_generation) throw net::Error("the newest generation is missing or damaged");
  const auto wanted = "version " + std::to_string(version);
  const auto stamps = kept();
  const auto found = std::find_if(stamps.rbegin(), stamps.rend(),
                                  [&](const GenerationId& stamp) { return stamp.version == version; });
  if (found == stamps.rend()) throw net::Error(wanted + " is not kept");
  const auto old = read_intact(path_ / name_of(*found));
  if (!old) throw net::Error(wanted + " is damaged");
  for (const auto& name : old->names) {
    if (std::find(newest_generation->excluded.begin(), newest_generation->excluded.end(), name) !=
            newest_generation->excluded.end() ||
        std::find(excluded.begin(), excluded.end(), name) != excluded.end())
      throw net::Error(wanted + " would bring back " + name + ", which is excluded");
  }
  write(path_ / "newest.new", name_of(*newest_accepted));
  fs::rename(path_ / "newest.new", path_ / "newest");
  make_current(*found);
}

void GenerationStore::prune(const GenerationId& current) {
  // Keeps the newest of the other generations. Folders that interrupted pushes left are removed like any
  // other.
  auto stamps = kept();
  std::erase(stamps, current);
  const auto max_others = keep_ - 1;
  for (std::size_t n = 0; n + max_others < stamps.size(); ++n) {
    step("prune");
    std::error_code ignored;
    fs::remove_all(path_ / name_of(stamps[n]), ignored);
  }
}

std::optional<Generation> GenerationStore::current() const { return read_current(path_); }

std::vector<GenerationId> GenerationStore::kept() const {
  std::vector<GenerationId> stamps;
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(path_, ignored)) {
    if (const auto stamp = stamp_of(entry.path().filename().string())) stamps.push_back(*stamp);
  }
  std::sort(stamps.begin(), stamps.end());
  return stamps;
}

std::optional<GenerationId> GenerationStore::applied() const {
  const auto text = read_text(path_ / "applied");
  unsigned long long epoch = 0, version = 0;
  if (!text || std::sscanf(text->c_str(), "%llu %llu", &epoch, &version) != 2) return std::nullopt;
  return GenerationId{epoch, version};
}

std::optional<Generation> read_current(const fs::path& folder) {
  // Another process may prune the folder after the link was read here; the link then names a newer
  // generation, so the read is retried.
  for (int attempts = 0; attempts < 5; ++attempts) {
    std::error_code error;
    const auto target = fs::read_symlink(folder / "current", error);
    if (error) return std::nullopt;
    if (auto generation = read_intact(folder / target)) return generation;
    if (fs::read_symlink(folder / "current", error) == target) break;
  }
  throw net::Error("the current generation in " + folder.string() + " is damaged");
}

}  // namespace ospreypost::files
