#include "record/writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <utility>
#include <vector>

#include "record/errors.h"
#include "record/file_name.h"

namespace ospreypost::record {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

constexpr auto kMaxBlockAge = 200ms;
constexpr std::size_t kMaxPendingBlocks = 64;

// Appends an entry as field 1 of a kept::Block, in the wire format of protocol buffers: tag, length, bytes.
void append_entry_field(std::string& payload, const std::string& entry) {
  constexpr char kTag = '\x0a';
  constexpr std::size_t kContinuation = 0x80;
  payload += kTag;
  std::size_t length = entry.size();
  while (length >= kContinuation) {
    payload += static_cast<char>(length | kContinuation);
    length >>= 7;
  }
  payload += static_cast<char>(length);
  payload += entry;
}

struct StoredFile {
  fs::path path;
  std::uint64_t bytes = 0;
};

std::vector<StoredFile> files_by_name(const std::string& folder) {
  std::vector<StoredFile> files;
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(folder, ignored)) {
    if (entry.path().extension() == kFileExtension) files.push_back({entry.path(), entry.file_size(ignored)});
  }
  std::sort(files.begin(), files.end(),
            [](const StoredFile& left, const StoredFile& right) { return left.path < right.path; });
  return files;
}

}  // namespace

Writer::Writer(RetentionPolicy retention, std::function<void()> before_write)
    : retention_(std::move(retention)), before_write_(std::move(before_write)) {
  std::error_code error;
  fs::create_directories(retention_.folder, error);
  if (error) {
    throw StorageError("cannot create the folder for records " + retention_.folder + ": " + error.message(),
                       retention_.folder);
  }
  thread_ = net::Thread("record", [this] { run(); });
}

void Writer::append(Nanos time, const std::string& entry) {
  const std::scoped_lock lock(mutex_);
  BlockHeader& header = open_block_.header;
  if (header.entries == 0) {
    header.first = time;
    open_block_since_ = net::Steady::now();
    open_block_.wall_time = std::chrono::system_clock::now().time_since_epoch();
  }
  ++header.entries;
  ++counts_.entries;
  header.last = time;
  append_entry_field(open_block_.payload, entry);
  if (open_block_.payload.size() >= kTargetPayloadBytes) close_block_locked();
}

// The caller must hold mutex_.
void Writer::close_block_locked() {
  if (open_block_.header.entries == 0) return;
  if (pending_blocks_.size() >= kMaxPendingBlocks) {
    unreported_lost_entries_ += open_block_.header.entries;
    counts_.lost += open_block_.header.entries;
  } else {
    open_block_.header.lost_before = std::exchange(unreported_lost_entries_, 0);
    pending_blocks_.push_back(std::move(open_block_));
    changed_.notify_one();
  }
  open_block_ = {};
}

void Writer::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait_for(lock, kMaxBlockAge, [this] { return stopping_ || !pending_blocks_.empty(); });
    const bool is_due =
        open_block_.header.entries > 0 && net::Steady::now() - open_block_since_ >= kMaxBlockAge;
    if (stopping_ || is_due) close_block_locked();
    if (pending_blocks_.empty() && stopping_) return;
    while (!pending_blocks_.empty()) {
      const PendingBlock block = std::move(pending_blocks_.front());
      pending_blocks_.pop_front();
      lock.unlock();
      write_block(block);
      lock.lock();
    }
  }
}

void Writer::write_block(const PendingBlock& block) {
  if (before_write_) before_write_();
  std::string text = encode_block(block.header, block.payload);
  const bool needs_file = file_ < 0 || file_bytes_ + text.size() > retention_.max_file_bytes ||
                          net::Steady::now() - file_opened_ >= retention_.max_file_age;
  if (needs_file) {
    begin_file(block);
    text.insert(0, encode_file_header(file_header_));
  }
  const std::size_t written_bytes = write_bytes(text);
  file_bytes_ += written_bytes;
  const bool succeeded = written_bytes == text.size();
  count_result(block, written_bytes, succeeded);
  // Readers skip a partly written block. The next block goes to a new file.
  if (!succeeded) close_file();
}

void Writer::count_result(const PendingBlock& block, std::size_t written_bytes, bool succeeded) {
  const std::scoped_lock lock(mutex_);
  counts_.bytes += written_bytes;
  if (succeeded) {
    ++counts_.blocks;
    return;
  }
  ++counts_.failures;
  counts_.lost += block.header.entries;
  unreported_lost_entries_ += block.header.entries + block.header.lost_before;
}

// Returns the number of written bytes: fewer than the size of `text` on an error, 0 if no file is open.
std::size_t Writer::write_bytes(const std::string& text) const {
  std::size_t written = 0;
  while (file_ >= 0 && written < text.size()) {
    const auto result = ::write(file_, text.data() + written, text.size() - written);
    if (result < 0 && errno == EINTR) continue;
    if (result <= 0) break;
    written += static_cast<std::size_t>(result);
  }
  return written;
}

void Writer::begin_file(const PendingBlock& first_block) {
  close_file();
  const Nanos name_time = next_file_time(first_block.wall_time);
  file_header_ = {kSchemaVersion, std::max(first_block.wall_time, name_time), first_block.header.first,
                  files_begun_};
  const fs::path path = fs::path(retention_.folder) / encode_file_name(name_time, files_begun_);
  ++files_begun_;
  file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644);
  file_bytes_ = 0;
  file_opened_ = net::Steady::now();
  remove_oldest_files();
}

// Returns the time for the name of the next file. File names contain the wall time, so that the files of
// several incarnations sort by time. If the clock was set back, the name still sorts after all existing
// names, so that a later incarnation never precedes an earlier one.
Nanos Writer::next_file_time(Nanos wall_time) const {
  const Nanos min_distance = files_begun_ == 0 ? 1ms : 0ms;
  Nanos file_time = std::chrono::floor<std::chrono::milliseconds>(wall_time);
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(retention_.folder, ignored)) {
    if (entry.path().extension() != kFileExtension) continue;
    file_time = std::max(file_time, wall_time_of_name(entry.path()).value_or(Nanos{}) + min_distance);
  }
  return file_time;
}

void Writer::remove_oldest_files() const {
  const std::vector<StoredFile> files = files_by_name(retention_.folder);
  // The new file is counted at its maximum size, to which it may grow.
  std::uint64_t total_bytes = retention_.max_file_bytes;
  for (const auto& file : files) total_bytes += file.bytes;
  for (std::size_t n = 0; n + 1 < files.size() && total_bytes > retention_.max_bytes; ++n) {
    std::error_code ignored;
    fs::remove(files[n].path, ignored);
    total_bytes -= files[n].bytes;
  }
}

void Writer::close_file() {
  if (file_ >= 0) ::close(file_);
  file_ = -1;
}

void Writer::stop() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
  close_file();
}

Writer::Counts Writer::counts() const {
  const std::scoped_lock lock(mutex_);
  return counts_;
}

}  // namespace ospreypost::record
