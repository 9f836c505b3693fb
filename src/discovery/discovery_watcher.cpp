#include "discovery/discovery_watcher.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "discovery/endpoint_list_update.h"
#include "http/http.h"
#include "net/cancellation_event.h"
#include "net/socket.h"
#include "net/threads.h"

namespace ospreypost::discovery {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinBackoff{50};
constexpr milliseconds kMaxBackoff{1000};
constexpr std::size_t kMaxDrainingWatches = 4;
// A deadline that is never reached: one hour below the maximum, so that adding a timeout cannot overflow.
constexpr net::Deadline kNoDeadline = net::Deadline::max() - std::chrono::hours(1);

bool is_blank(std::string_view line) { return line.find_first_not_of(" \r\t") == std::string_view::npos; }

}  // namespace

// Watches one address in its own thread: connects, reads updates, and reconnects after a backoff.
class DiscoveryWatcher::AddressWatch {
 public:
  AddressWatch(DiscoveryWatcher& watcher, net::Address address);
  AddressWatch(const AddressWatch&) = delete;
  AddressWatch& operator=(const AddressWatch&) = delete;
  ~AddressWatch();

  // Requests the complete list on a new connection.
  void refresh();
  // Reads the current connection until it ends or the draining timeout passes, and does not reconnect.
  void drain();
  // Returns whether the thread has finished its work and can be joined without a wait.
  bool has_ended() const;

 private:
  void run();
  std::string watch_until_broken();
  void watch();
  http::Request make_request() const;
  void on_line(std::string_view line);

  DiscoveryWatcher& watcher_;
  const net::Address address_;
  net::CancellationEvent cancellation_;

  // Used only by the thread of this watch.
  bool needs_complete_list_ = false;     // The next request omits the revision, to get the complete list.
  bool received_complete_list_ = false;  // Whether this connection has delivered a complete list.
  // Time since when this address has sent only older lists; empty if its last list was not older.
  std::optional<net::Deadline> stale_since_;

  mutable std::mutex mutex_;
  // The following members are guarded by `mutex_`, which is never held during I/O.
  std::optional<net::Deadline> ends_at_;
  bool refresh_requested_ = false;
  bool watching_ = false;
  bool ended_ = false;

  std::condition_variable changed_;  // Used with `mutex_`.
  net::Thread thread_;
};

DiscoveryWatcher::AddressWatch::AddressWatch(DiscoveryWatcher& watcher, net::Address address)
    : watcher_(watcher), address_(std::move(address)) {
  thread_ = net::Thread("discovery", [this] { run(); });
}

DiscoveryWatcher::AddressWatch::~AddressWatch() {
  {
    const std::lock_guard lock(mutex_);
    ends_at_ = net::Steady::now();
    cancellation_.set();
    changed_.notify_all();
  }
  thread_.join();
}

void DiscoveryWatcher::AddressWatch::refresh() {
  const std::lock_guard lock(mutex_);
  refresh_requested_ = true;
  cancellation_.set();
  changed_.notify_all();
}

void DiscoveryWatcher::AddressWatch::drain() {
  const std::lock_guard lock(mutex_);
  ends_at_ = net::Steady::now() + watcher_.limits_.draining;
  if (!watching_) cancellation_.set();
  changed_.notify_all();
}

bool DiscoveryWatcher::AddressWatch::has_ended() const {
  const std::lock_guard lock(mutex_);
  return ended_;
}

void DiscoveryWatcher::AddressWatch::run() {
  milliseconds backoff = kMinBackoff;
  std::unique_lock lock(mutex_);
  while (!ends_at_) {
    if (!needs_complete_list_) needs_complete_list_ = std::exchange(refresh_requested_, false);
    cancellation_.clear();
    lock.unlock();
    const auto started = net::Steady::now();
    const std::string why = watch_until_broken();
    lock.lock();
    watching_ = false;
    if (ends_at_ || refresh_requested_) continue;
    lock.unlock();
    watcher_.report_error(why);
    lock.lock();
    const bool lasted = net::Steady::now() - started > kMaxBackoff;
    backoff = lasted ? kMinBackoff : std::min(2 * backoff, kMaxBackoff);
    changed_.wait_for(lock, backoff, [this] { return ends_at_ || refresh_requested_; });
  }
  ended_ = true;
}

// Returns the reason why the watch ended.
std::string DiscoveryWatcher::AddressWatch::watch_until_broken() {
  try {
    watch();
  } catch (const std::exception& error) {
    return error.what();
  }
  return "the server ended the response";
}

void DiscoveryWatcher::AddressWatch::watch() {
  const auto& limits = watcher_.limits_;
  http::Connection connection(net::connect(address_, net::Steady::now() + limits.connect, &cancellation_),
                              &cancellation_);
  const auto request = make_request();
  connection.write(request, address_.text(), net::Steady::now() + limits.connect);
  received_complete_list_ = false;
  {
    const std::lock_guard lock(mutex_);
    watching_ = true;
  }
  const auto deadline = [this] {
    const std::lock_guard lock(mutex_);
    return ends_at_.value_or(kNoDeadline);
  };
  connection.read_lines(limits.max_line_bytes, limits.idle, deadline,
                        [this](std::string_view line) { on_line(line); });
}

http::Request DiscoveryWatcher::AddressWatch::make_request() const {
  http::Request request;
  request.target = "/registry/instances?watch=1";
  if (!needs_complete_list_) request.target += "&after=" + std::to_string(watcher_.revision());
  return request;
}

void DiscoveryWatcher::AddressWatch::on_line(std::string_view line) {
  const auto now = net::Steady::now();
  const bool server_restarted = stale_since_ && now - *stale_since_ >= watcher_.limits_.stale;
  if (server_restarted && !needs_complete_list_) {
    needs_complete_list_ = true;
    throw net::Error(
        "the server has only sent lists older than the known list; requesting the complete list");
  }
  if (is_blank(line)) return;
  const auto update = parse_endpoint_list_update(line);
  // Incremental changes cannot be applied here: they may refer to a list other than the known list.
  if (needs_complete_list_ && !received_complete_list_ && !update.complete)
    throw net::Error("expected the complete list, received changes");
  received_complete_list_ = received_complete_list_ || update.complete;
  const auto policy = server_restarted ? StaleListPolicy::accept_complete : StaleListPolicy::drop;
  if (watcher_.apply(update, policy)) {
    stale_since_.reset();
    needs_complete_list_ = false;
  } else if (!stale_since_) {
    stale_since_ = now;
    watcher_.report_error("the server sent a list older than the known list");
  }
}

DiscoveryWatcher::DiscoveryWatcher(const net::Address& address, std::uint64_t revision,
                                   EndpointListHandler& handler, const Limits& limits)
    : handler_(handler), limits_(limits), revision_(revision) {
  current_watch_ = std::make_unique<AddressWatch>(*this, address);
}

DiscoveryWatcher::~DiscoveryWatcher() { stop(); }

void DiscoveryWatcher::move_to(const net::Address& address) {
  const std::lock_guard lock(watches_mutex_);
  if (!current_watch_) return;
  std::erase_if(draining_watches_, [](const auto& watch) { return watch->has_ended(); });
  // Limits the number of draining watches when many moves follow each other: the oldest watch ends now.
  if (draining_watches_.size() >= kMaxDrainingWatches) draining_watches_.erase(draining_watches_.begin());
  current_watch_->drain();
  draining_watches_.push_back(std::move(current_watch_));
  current_watch_ = std::make_unique<AddressWatch>(*this, address);
}

void DiscoveryWatcher::refresh() {
  const std::lock_guard lock(watches_mutex_);
  if (current_watch_) current_watch_->refresh();
}

void DiscoveryWatcher::stop() {
  // The watches are destroyed and their threads joined after `lock` is released, at the end of stop().
  std::vector<std::unique_ptr<AddressWatch>> watches;
  const std::lock_guard lock(watches_mutex_);
  watches = std::exchange(draining_watches_, {});
  watches.push_back(std::move(current_watch_));
}

std::uint64_t DiscoveryWatcher::revision() const {
  const std::lock_guard lock(update_mutex_);
  return revision_;
}

// Returns false if the update was dropped because it is older than the known list.
//
// After a move, the old and the new address may both send updates, and one address may be behind the other.
// An older update must not bring back an endpoint that has since been removed or reported as draining.
bool DiscoveryWatcher::apply(const EndpointListUpdate& update, StaleListPolicy policy) {
  const std::lock_guard lock(update_mutex_);
  const bool older = update.complete ? update.revision < revision_ : update.revision <= revision_;
  const bool accepts_older = policy == StaleListPolicy::accept_complete && update.complete;
  if (older && !accepts_older) return !update.complete && update.revision == revision_;
  revision_ = update.revision;
  handler_.on_endpoint_list_update(update);
  return true;
}

void DiscoveryWatcher::report_error(const std::string& why) {
  const std::lock_guard lock(update_mutex_);
  handler_.on_discovery_error(why);
}

}  // namespace ospreypost::discovery
