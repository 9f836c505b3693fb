#include "record/writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

#include "net/socket.h"

namespace ospreypost::record {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

constexpr std::size_t kBlockBytes = 64 * 1024;
constexpr auto kBlockAge = 200ms;
constexpr std::size_t kMostWaiting = 64;  // blocks

// One field 1 of a Block, as the format of protocol buffers has it: tag, length, bytes.
void put_entry(std::string& payload, const std::string& entry) {
  payload += '\x0a';
  auto size = entry.size();
  for (; size >= 0x80; size >>= 7) payload += static_cast<char>(size | 0x80);
  payload += static_cast<char>(size);
  payload += entry;
}

}  // namespace

Writer::Writer(RetentionPolicy keeping, std::function<void()> step)
    : keeping_(std::move(keeping)), step_(std::move(step)) {
  std::error_code error;
  fs::create_directories(keeping_.folder, error);
  if (error) throw net::Error("the record's folder " + keeping_.folder + ": " + error.message());
  thread_ = net::Thread("record", [this] { work(); });
}

void Writer::append(Nanos at, const std::string& entry) {
  const std::lock_guard held(lock_);
  auto& head = gathering_.header;
  if (head.entries == 0) {
    head.first = at;
    begun_ = net::Steady::now();
    gathering_.wall_time = std::chrono::system_clock::now().time_since_epoch();
  }
  ++head.entries;
  ++counts_.entries;
  head.last = at;
  put_entry(gathering_.payload, entry);
  if (gathering_.payload.size() >= kBlockBytes) close_block();
}

// With the lock held.
void Writer::close_block() {
  if (gathering_.header.entries == 0) return;
  if (waiting_.size() >= kMostWaiting) {
    lost_ += gathering_.header.entries;
    counts_.lost += gathering_.header.entries;
  } else {
    gathering_.header.lost = std::exchange(lost_, 0);
    waiting_.push_back(std::move(gathering_));
    changed_.notify_one();
  }
  gathering_ = {};
}

void Writer::work() {
  std::unique_lock held(lock_);
  for (;;) {
    changed_.wait_for(held, kBlockAge, [this] { return stopping_ || !waiting_.empty(); });
    if (stopping_ || (gathering_.header.entries > 0 && net::Steady::now() - begun_ >= kBlockAge))
      close_block();
    if (waiting_.empty() && stopping_) return;
    while (!waiting_.empty()) {
      const auto block = std::move(waiting_.front());
      waiting_.pop_front();
      held.unlock();
      write(block);
      held.lock();
    }
  }
}

void Writer::open_file(const Gathered& first) {
  if (file_ >= 0) ::close(file_);
  // By the wall clock, so that files of several lives sort; numbered, as two may begin at one moment. A clock
  // that was set back must not put a later life before an earlier one.
  auto wall = first.wall_time / 1ms;
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(keeping_.folder, ignored)) {
    if (entry.path().extension() == ".rec")
      wall = std::max<long long>(
          wall, wall_time_of_name(entry.path().stem().string()) / 1ms + (files_ == 0 ? 1 : 0));
  }
  header_ = {kSchemaVersion, std::max(first.wall_time, Nanos(wall * 1ms)), first.header.first,
             static_cast<std::uint32_t>(files_)};
  const auto name = file_name(Nanos(wall * 1ms), files_++);
  file_ = ::open((fs::path(keeping_.folder) / name).c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644);
  file_size_ = 0;
  opened_ = net::Steady::now();
  prune();
}

void Writer::prune() {
  std::vector<std::pair<fs::path, std::uint64_t>> files;
  std::uint64_t total = keeping_.file_bytes;  // the one that begins may grow to that
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(keeping_.folder, ignored)) {
    if (entry.path().extension() != ".rec") continue;
    files.emplace_back(entry.path(), entry.file_size(ignored));
    total += files.back().second;
  }
  std::sort(files.begin(), files.end());
  for (std::size_t n = 0; n + 1 < files.size() && total > keeping_.most_bytes; ++n) {
    fs::remove(files[n].first, ignored);
    total -= files[n].second;
  }
}

void Writer::write(const Gathered& block) {
  if (step_) step_();
  auto text = encode_block(block.header, block.payload);
  if (file_ < 0 || file_size_ + text.size() > keeping_.file_bytes ||
      net::Steady::now() - opened_ >= keeping_.file_age) {
    open_file(block);
    text = encode_file_header(header_) + text;
  }
  std::size_t done = 0;
  while (file_ >= 0 && done < text.size()) {
    const auto put = ::write(file_, text.data() + done, text.size() - done);
    if (put < 0 && errno == EINTR) continue;
    if (put <= 0) break;
    done += static_cast<std::size_t>(put);
  }
  file_size_ += done;
  const std::lock_guard held(lock_);
  counts_.bytes += done;
  if (done == text.size()) {
    ++counts_.blocks;
    return;
  }
  // Half a block stays where it is: readers skip it. The next goes to a file of its own.
  ++counts_.failures;
  counts_.lost += block.header.entries;
  lost_ += block.header.entries + block.header.lost;
  if (file_ >= 0) ::close(file_);
  file_ = -1;
}

void Writer::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
  if (file_ >= 0) ::close(std::exchange(file_, -1));
}

Writer::Counts Writer::counts() const {
  const std::lock_guard held(lock_);
  return counts_;
}

}  // namespace ospreypost::record
