// Keeps a record in a folder: entries are gathered into blocks here and written by a thread of its own.
// Whoever hands in entries never waits for the disk: when it does not keep up, blocks are dropped, counted,
// and marked in the next that is kept. After kill -9 at most the block being gathered is lost.
#pragma once

#include <condition_variable>
#include <deque>
#include <filesystem>
#include <functional>
#include <mutex>
#include <string>

#include "net/socket.h"
#include "net/threads.h"
#include "record/blocks.h"

namespace ospreypost::record {

struct RetentionPolicy {
  std::string folder;
  std::uint64_t most_bytes = 1U << 30;   // of all files; the oldest go first
  std::uint64_t file_bytes = 64U << 20;  // of one
  Nanos file_age = std::chrono::hours(1);
};

class Writer {
 public:
  // Throws net::Error if the folder cannot be had. `step` is called before each write; tests fail there.
  explicit Writer(RetentionPolicy keeping, std::function<void()> step = {});
  ~Writer() { stop(); }
  // `entry`: a serialized Entry. Returns at once.
  void append(Nanos at, const std::string& entry);
  // What was handed in is written.
  void stop();
  struct Counts {
    std::uint64_t entries = 0, lost = 0, blocks = 0, bytes = 0, failures = 0;
  };
  Counts counts() const;

 private:
  struct Gathered {
    BlockHeader header;
    Nanos wall_time{};  // when its first entry was handed in
    std::string payload;
  };
  void close_block();
  void work();
  void write(const Gathered& block);
  void open_file(const Gathered& first);
  void prune();

  const RetentionPolicy keeping_;
  const std::function<void()> step_;
  mutable std::mutex lock_;
  std::condition_variable changed_;
  Gathered gathering_;
  net::Steady::time_point begun_;
  std::deque<Gathered> waiting_;
  std::uint64_t lost_ = 0;  // since the last block that was taken
  Counts counts_;
  bool stopping_ = false;
  // The thread's own.
  int file_ = -1;
  FileHeader header_;  // of that file
  std::uint64_t file_size_ = 0, files_ = 0;
  net::Steady::time_point opened_;
  net::Thread thread_;
};

}  // namespace ospreypost::record
