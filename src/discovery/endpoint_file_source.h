// The backend roll as a JSON file, watched by its modification, read whole or not at all.
//
//   {"backends": [{"name": "unit-1", "zone": "east", "kind": "new-rack", "cell": "a", "address":
//   "127.0.0.1:9001",
//                  "phase": "ready", "weight": 1.0, "started": 1764575432.25}]}
//
// `phase` is "ready" or "draining"; whoever is gone is left out. `started` counts seconds since 1970, and is
// left out where it was long ago. `kind`, `cell` and `weight` may be left out.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "discovery/endpoint_list.h"
#include "net/threads.h"

namespace ospreypost::discovery {

// Throws net::Error naming what is wrong.
std::vector<discovery::Endpoint> parse_endpoint_file(std::string_view text, const config::Config& config);

// What every source of the list tells.
class EndpointSourceListener {
 public:
  virtual ~EndpointSourceListener() = default;
  virtual void on_endpoint_list_changed(const discovery::EndpointList::Changes& taken) = 0;
  // No news, and why: the last good list stands.
  virtual void on_endpoint_list_unreadable(const std::string& why) = 0;
};

class EndpointFileSource {
 public:
  using Clock = std::function<Nanos()>;
  EndpointFileSource(const config::Config& config, EndpointSourceListener& sink, Clock clock);
  ~EndpointFileSource() { stop(); }
  // The whole roll is read again, changed or not.
  void refresh() { again_ = true; }
  void stop();

 private:
  struct Mark {  // of a file's content, as far as the file system tells
    std::int64_t seconds = 0, nanos = 0, size = -1;
    std::uint64_t inode = 0;
    bool operator==(const Mark&) const = default;
  };
  void watch();
  void read();

  const config::Config& config_;
  EndpointSourceListener& sink_;
  const Clock clock_;
  discovery::EndpointList roll_;
  Mark last_;
  std::string last_fault_;
  std::atomic<bool> again_ = true;
  std::mutex lock_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  net::Thread thread_;
};

}  // namespace ospreypost::discovery
