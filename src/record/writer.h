/// Stores a record in a folder.
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

/// Where files go, and when they end or are removed.
struct RetentionPolicy {
  std::string folder;
  std::uint64_t max_bytes = 1U << 30;          ///< of all files; the oldest are removed first
  std::uint64_t max_file_bytes = 64U << 20;    ///< of one
  Nanos max_file_age = std::chrono::hours(1);  ///< a new file is begun after so long
};

/// Gathers entries into blocks, which a thread of its own writes. `append` never waits for the disk: when the
/// disk does not keep up, blocks are dropped, counted, and named in the header of the next that is stored.
/// After kill -9 at most the block being gathered is lost. Thread-safe, except that `stop` and the destructor
/// are for the owner alone.
class Writer {
 public:
  /// Throws `StorageError` if the folder cannot be created. `before_write` is called on the writing thread
  /// before each block; tests hold the writer up there.
  explicit Writer(RetentionPolicy retention, std::function<void()> before_write = {});
  ~Writer() { stop(); }

  /// Adds a serialized `kept::Entry`; `time` is on the entries' clock.
  void append(Nanos time, const std::string& entry);
  /// Writes all that was appended, and ends the thread.
  void stop();

  /// Totals since the start.
  struct Counts {
    std::uint64_t entries = 0;   ///< appended
    std::uint64_t lost = 0;      ///< entries of those that are not stored
    std::uint64_t blocks = 0;    ///< stored
    std::uint64_t bytes = 0;     ///< stored
    std::uint64_t failures = 0;  ///< writes that the system refused or cut short
  };
  Counts counts() const;

 private:
  struct PendingBlock {
    BlockHeader header;
    Nanos wall_time{};  // when its first entry was appended
    std::string payload;
  };

  void close_block_locked();
  void run();
  void write_block(const PendingBlock& block);
  void note_result(const PendingBlock& block, std::size_t written_bytes, bool succeeded);
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
  PendingBlock gathered_;
  net::Steady::time_point gathered_since_;
  std::deque<PendingBlock> waiting_;
  std::uint64_t lost_since_stored_ = 0;  // entries that the next block's header names
  Counts counts_;
  bool stopping_ = false;

  // Used by the writing thread alone, and by `stop` once it has ended:
  int file_ = -1;           // its descriptor; -1 while none is open
  FileHeader file_header_;  // of that file
  std::uint64_t file_bytes_ = 0;
  std::uint32_t files_begun_ = 0;
  net::Steady::time_point file_opened_;

  net::Thread thread_;
};

}  // namespace ospreypost::record
