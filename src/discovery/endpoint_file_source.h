/// Reads the endpoint list from a JSON file whenever the file is modified.
/// The content of the file is applied as a whole or not at all.
///
///   {"backends": [{"name": "unit-1", "zone": "east", "kind": "new-rack", "cell": "a",
///                  "address": "127.0.0.1:9001", "phase": "ready", "weight": 1.0, "started": 1764575432.25}]}
///
/// `phase` is "ready" or "draining"; an endpoint that is gone is not listed. `started` is the start of the
/// endpoint's process in seconds since 1970, and is omitted if the process started long ago. `kind`, `cell`
/// and `weight` may be omitted.
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

/// Parses the text of an endpoint file. Throws `net::Error`, which names the fault, if the text is invalid.
std::vector<Endpoint> parse_endpoint_file(std::string_view text, const config::Config& config);

/// Receives the changes of the endpoint list from its source. Called from the source's thread.
class EndpointSourceListener {
 public:
  virtual ~EndpointSourceListener() = default;
  virtual void on_endpoint_list_changed(const EndpointList::Changes& changes) = 0;
  /// Called when no valid list could be read, but only once while the same error persists.
  /// The last valid list stays in force.
  virtual void on_endpoint_list_unreadable(const std::string& why) = 0;
};

/// Polls the endpoint file that the configuration names, in its own thread.
class EndpointFileSource {
 public:
  /// Returns the time of a monotonic clock.
  using Clock = std::function<Nanos()>;

  /// Starts to poll. `config` and `listener` must outlive the source.
  /// Throws `net::Error` if the thread cannot be created.
  EndpointFileSource(const config::Config& config, EndpointSourceListener& listener, Clock clock);
  ~EndpointFileSource() { stop(); }
  /// Makes the next poll read the file even if the file has not changed. May be called from any thread.
  void refresh() { refresh_requested_ = true; }
  /// Stops polling. Returns when the thread has ended.
  void stop();

 private:
  // File attributes that are compared to detect a modification of the file.
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

  // Used only by the polling thread.
  EndpointList list_;
  FileStamp last_stamp_;
  std::string last_error_;

  std::mutex mutex_;
  bool stopping_ = false;  // Guarded by `mutex_`.
  std::condition_variable stop_requested_;
  net::Thread thread_;
};

}  // namespace ospreypost::discovery
