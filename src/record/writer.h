/// Writes a record to a folder in the background.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>

#include "net/socket.h"
#include "net/threads.h"
#include "record/blocks.h"

namespace ospreypost::record {

/// The folder for the files of a record, and the limits of their size, age and total size.
struct RetentionPolicy {
  std::string folder;
  std::uint64_t max_bytes = 1U << 30;          ///< maximum total size; the oldest files are removed first
  std::uint64_t max_file_bytes = 64U << 20;    ///< maximum size of one file
  Nanos max_file_age = std::chrono::hours(1);  ///< age at which a new file is begun
};

/// Collects entries into blocks, which a separate thread writes. `append` never waits for the disk: when the
/// disk does not keep up, blocks are dropped, their entries are counted, and the count is stored in the
/// header of the next stored block. After kill -9 at most the block being collected is lost. Thread-safe,
/// except that only the owner may call `stop` and the destructor.
class Writer {
 public:
  /// Throws `StorageError` if the folder cannot be created. `before_write` is called on the writing thread
  /// before each block is written; tests block the writing thread in this callback.
  explicit Writer(RetentionPolicy retention, std::function<void()> before_write = {});
  ~Writer() { stop(); }

  /// Appends a serialized `kept::Entry`; `time` is the monotonic clock time of the entry.
  void append(Nanos time, const std::string& entry);
  /// Writes all appended entries, then ends the writing thread.
  void stop();

  /// Totals since the writer was created.
  struct Counts {
    std::uint64_t entries = 0;   ///< appended entries
    std::uint64_t lost = 0;      ///< appended entries that could not be stored
    std::uint64_t blocks = 0;    ///< stored blocks
    std::uint64_t bytes = 0;     ///< stored bytes
    std::uint64_t failures = 0;  ///< blocks whose write failed or was incomplete
  };
  Counts counts() const;

 private:
  struct PendingBlock {
    BlockHeader header;
    Nanos wall_time{};  // time when the first entry was appended, since 1970
    std::string payload;
  };

  void close_block_locked();
  void run();
  void write_block(const PendingBlock& block);
  void count_result(const PendingBlock& block, std::size_t written_bytes, bool succeeded);
  void begin_file(const PendingBlock& first_block);
  Nanos next_file_time(Nanos wall_time) const;
  void remove_oldest_files() const;
  std::size_t write_bytes(const std::string& text) const;
  void close_file();

  const RetentionPolicy retention_;
  const std::function<void()> before_write_;
  std::condition_variable changed_;

  mutable std::mutex mutex_;
  // Guarded by mutex_:
  PendingBlock open_block_;
  net::Steady::time_point open_block_since_;
  std::deque<PendingBlock> pending_blocks_;
  std::uint64_t unreported_lost_entries_ = 0;  // lost entries that no block header states yet
  Counts counts_;
  bool stopping_ = false;

  // Used only by the writing thread, and by `stop` after that thread has ended:
  int file_ = -1;           // descriptor of the open file; -1 while no file is open
  FileHeader file_header_;  // header of the open file
  std::uint64_t file_bytes_ = 0;
  std::uint32_t files_begun_ = 0;
  net::Steady::time_point file_opened_;

  net::Thread thread_;
};

}  // namespace ospreypost::record
