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

std::optional<std::string> text_of(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

[[noreturn]] void fail(const std::string& what, const fs::path& path) {
  throw net::Error(what + " " + path.string() + ": " + std::strerror(errno));
}

// Whole: the manifest fits its checksum, and each file is what the manifest says.
std::optional<Generation> whole(const fs::path& folder) {
  const auto manifest = text_of(folder / "manifest.json");
  if (!manifest) return std::nullopt;
  try {
    auto generation = read_generation(*manifest);
    for (const auto& [name, text] : generation.files) {
      if (text_of(folder / name) != text) return std::nullopt;
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
  if (error) throw net::Error("the folder " + path_.string() + ": " + error.message());
}

void GenerationStore::step(const char* what) const {
  if (step_) step_(what);
}

void GenerationStore::write(const fs::path& to, const std::string& text) {
  step("create");
  const int file = ::open(to.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) fail("creating", to);
  std::size_t done = 0;
  bool good = true;
  // In pieces, so that a test can end between any two.
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
  if (!good) fail("writing", to);
}

void GenerationStore::sync_folder(const fs::path& folder) {
  step("fsync folder");
  const int opened = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool good = opened >= 0 && ::fsync(opened) == 0;
  if (opened >= 0) ::close(opened);
  if (!good) fail("fsync of", folder);
}

void GenerationStore::swap(const GenerationId& stamp) {
  const auto link = path_ / "current.new";
  std::error_code ignored;
  step("unlink");
  fs::remove(link, ignored);
  step("symlink");
  if (::symlink(name_of(stamp).c_str(), link.c_str()) != 0) fail("linking", link);
  step("rename");
  if (::rename(link.c_str(), (path_ / "current").c_str()) != 0) fail("swapping", path_ / "current");
  sync_folder(path_);
}

StoreResult GenerationStore::take(const Generation& generation, bool recall) {
  const auto newest_taken = newest();
  const auto folder = path_ / name_of(generation.stamp);
  if (newest_taken && generation.stamp < *newest_taken) return StoreResult::older;
  const bool same_epoch = newest_taken && generation.stamp.epoch == newest_taken->epoch;
  const auto last = same_epoch ? whole(path_ / name_of(*newest_taken)) : std::nullopt;
  if (last && last->owner != generation.owner) return StoreResult::older;
  if (last && last->stamp == generation.stamp) {
    if (linked() == generation.stamp) return StoreResult::same;
    if (!recall) return StoreResult::older;
    swap(generation.stamp);
    return StoreResult::swapped;
  }
  std::error_code error;
  // Left behind by a push that was cut short.
  step("clear");
  fs::remove_all(folder, error);
  step("mkdir");
  if (::mkdir(folder.c_str(), 0755) != 0) fail("creating", folder);
  for (const auto& [name, text] : generation.files) write(folder / name, text);
  write(folder / "manifest.json", write_generation(generation));
  sync_folder(folder);
  sync_folder(path_);
  swap(generation.stamp);
  prune(generation.stamp);
  return StoreResult::swapped;
}

// By the link alone, so that one whose files were damaged since can still be followed by a newer one.
std::optional<GenerationId> GenerationStore::linked() const {
  std::error_code error;
  return stamp_of(fs::read_symlink(path_ / "current", error).string());
}

// After a way back, the link no longer tells what was the newest.
std::optional<GenerationId> GenerationStore::newest() const {
  const auto marked = stamp_of(text_of(path_ / "newest").value_or(""));
  return std::max(linked(), marked);
}

std::optional<GenerationStore::Newest> GenerationStore::newest_owned() const {
  const auto stamp = newest();
  if (!stamp) return std::nullopt;
  const auto generation = whole(path_ / name_of(*stamp));
  return Newest{*stamp, generation ? generation->owner : ""};
}

// Not made durable: after a crash of the machine nobody has spoken.
void GenerationStore::touch() {
  const int file = ::open((path_ / "spoken").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  if (file < 0) return;
  ::futimens(file, nullptr);
  ::close(file);
}

std::int64_t GenerationStore::touched() const {
  struct stat found {};
  if (::stat((path_ / "spoken").c_str(), &found) != 0) return 0;
  return found.st_mtim.tv_sec * 1'000'000'000 + found.st_mtim.tv_nsec;
}

void GenerationStore::roll_back(std::uint64_t version, const std::vector<std::string>& out) {
  const auto newest_taken = newest();
  const auto now = newest_taken ? whole(path_ / name_of(*newest_taken)) : std::nullopt;
  if (!now) throw net::Error("nothing whole is current");
  const auto wanted = "version " + std::to_string(version);
  const auto stamps = kept();
  const auto at = std::find_if(stamps.rbegin(), stamps.rend(),
                               [&](const GenerationId& s) { return s.version == version; });
  if (at == stamps.rend()) throw net::Error(wanted + " is not kept");
  const auto old = whole(path_ / name_of(*at));
  if (!old) throw net::Error(wanted + " is not whole");
  for (const auto& name : old->names) {
    if (std::find(now->out.begin(), now->out.end(), name) != now->out.end() ||
        std::find(out.begin(), out.end(), name) != out.end())
      throw net::Error(wanted + " would bring back " + name + ", which is out");
  }
  write(path_ / "newest.new", name_of(*newest_taken));
  fs::rename(path_ / "newest.new", path_ / "newest");
  swap(*at);
}

void GenerationStore::prune(const GenerationId& current) {
  // The newest of the others stay; folders of pushes that were cut short go like any other.
  auto stamps = kept();
  std::erase(stamps, current);
  const auto most = keep_ - 1;
  for (std::size_t n = 0; n + most < stamps.size(); ++n) {
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
  const auto text = text_of(path_ / "applied");
  unsigned long long epoch = 0, version = 0;
  if (!text || std::sscanf(text->c_str(), "%llu %llu", &epoch, &version) != 2) return std::nullopt;
  return GenerationId{epoch, version};
}

std::optional<Generation> read_current(const fs::path& folder) {
  // Pruning may take the folder away between following the link and reading; then the link has moved on.
  for (int attempts = 0; attempts < 5; ++attempts) {
    std::error_code error;
    const auto target = fs::read_symlink(folder / "current", error);
    if (error) return std::nullopt;
    if (auto generation = whole(folder / target)) return generation;
    if (fs::read_symlink(folder / "current", error) == target) break;
  }
  throw net::Error("the current generation in " + folder.string() + " is not whole");
}

}  // namespace ospreypost::files
