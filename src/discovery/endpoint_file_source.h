/// The endpoint list as a JSON file, watched by its modification and read as a whole or not at all.
///
///   {"backends": [{"name": "unit-1", "zone": "east", "kind": "new-rack", "cell": "a", "address":
///   "127.0.0.1:9001",
///                  "phase": "ready", "weight": 1.0, "started": 1764575432.25}]}
///
/// `phase` is "ready" or "draining"; an endpoint that is gone is left out. `started` is in seconds since
/// 1970, and left out where it was long ago. `kind`, `cell` and `weight` may be left out.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "discovery/endpoint_list.h"
#include "net/threads.h"
#include "policy/types.h"

namespace ospreypost::discovery {

/// Reads the text of an endpoint file. Throws `net::Error` naming what is wrong.
std::vector<Endpoint> parse_endpoint_file(std::string_view text, const config::Config& config);

/// Receives what a source of the list reads. Called from the source's thread.
class EndpointSourceListener {
 public:
  virtual ~EndpointSourceListener() = default;
  virtual void on_endpoint_list_changed(const EndpointList::Changes& changes) = 0;
  /// No list could be read, and why: the last good list stays in force. Called once for each cause.
  virtual void on_endpoint_list_unreadable(const std::string& why) = 0;
};

/// Polls the file that the configuration names, in a thread of its own.
class EndpointFileSource {
 public:
  /// A monotonic clock.
  using Clock = std::function<Nanos()>;

  /// Polls from now on. `config` and `listener` must outlive it. Throws `net::Error` if no thread can be had.
  EndpointFileSource(const config::Config& config, EndpointSourceListener& listener, Clock clock);
  ~EndpointFileSource() { stop(); }
  /// Has the next poll read the file, changed or not. From any thread.
  void refresh() { refresh_requested_ = true; }
  /// Returns once the thread has ended.
  void stop();

 private:
  // Tells two contents of the file apart, as far as the file system can.
  struct FileStamp {
    std::int64_t modified_seconds = 0;
    std::int64_t modified_nanos = 0;
    std::int64_t size = -1;
    std::uint64_t inode = 0;
    bool operator==(const FileStamp&) const = default;
  };

  void run();
  void poll();
  void read_if_changed();

  const config::Config& config_;
  EndpointSourceListener& listener_;
  const Clock clock_;
  std::atomic<bool> refresh_requested_ = true;

  // Used by the thread alone.
  EndpointList list_;
  FileStamp last_stamp_;
  std::string last_error_;

  std::mutex mutex_;
  bool stopping_ = false;  // guarded by `mutex_`
  std::condition_variable stop_requested_;
  net::Thread thread_;
};

}  // namespace ospreypost::discovery
