#include "discovery/discovery_watcher.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "http/http.h"

namespace ospreypost::discovery {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t kMostLine = std::size_t{8} << 20;  // bytes
constexpr auto kFirstPause = 50ms, kLongestPause = 1000ms;
constexpr std::size_t kMostLeaving = 4;

std::string text_at(const json& entry, const char* key) {
  const auto at = entry.find(key);
  if (at == entry.end() || !at->is_string()) throw net::Error(std::string(key) + " is no text");
  return at->get<std::string>();
}

double number_at(const json& entry, const char* key, double least, double most) {
  const auto at = entry.find(key);
  if (at == entry.end() || !at->is_number()) throw net::Error(std::string(key) + " is no number");
  const double number = at->get<double>();
  if (!(number >= least && number <= most)) throw net::Error(std::string(key) + " is out of range");
  return number;
}

EndpointEntry member_of(const json& entry) {
  if (!entry.is_object()) throw net::Error("an entry is no object");
  EndpointEntry member;
  member.name = text_at(entry, "id");
  if (member.name.empty() || member.name.size() > 200) throw net::Error("id is no name");
  const auto phase = text_at(entry, "phase");
  if (phase != "SERVING" && phase != "DRAINING" && phase != "DELETED") throw net::Error("phase is unknown");
  member.phase = phase == "SERVING"    ? EndpointPhase::ready
                 : phase == "DRAINING" ? EndpointPhase::draining
                                       : EndpointPhase::gone;
  // Of what is gone nothing but its name is needed.
  if (member.phase == EndpointPhase::gone) return member;
  member.address = net::Address::parse(text_at(entry, "host_port"));
  member.zone = text_at(entry, "locality");
  member.kind = text_at(entry, "flavor");
  member.cell = static_cast<std::uint32_t>(number_at(entry, "cell", 0, 4e9));
  member.weight = number_at(entry, "size", 0, 1e9);
  const double started = number_at(entry, "up_since_ms", 0, 9e12);
  if (started > 0) member.started = Nanos(std::llround(started * 1e6));
  return member;
}

}  // namespace

EndpointListUpdate parse_endpoint_list_update(std::string_view text) {
  EndpointListUpdate roster;
  json document;
  try {
    document = json::parse(text);
  } catch (const json::exception&) {
    throw net::Error("the list is no JSON");
  }
  if (!document.is_object()) throw net::Error("the list is no object");
  const auto revision = document.find("revision");
  if (revision == document.end() || !revision->is_number_unsigned())
    throw net::Error("revision is no number");
  roster.revision = revision->get<std::uint64_t>();
  const auto complete = document.find("complete");
  if (complete == document.end() || !complete->is_boolean())
    throw net::Error("complete is neither yes nor no");
  roster.complete = complete->get<bool>();
  const auto members = document.find("members");
  if (members == document.end() || !members->is_array()) throw net::Error("members is no list");
  std::set<std::string> named;
  for (const auto& entry : *members) {
    try {
      auto member = member_of(entry);
      if (!named.insert(member.name).second) throw net::Error("named twice");
      roster.entries.push_back(std::move(member));
    } catch (const net::Error&) {
      ++roster.rejected;
      const auto name = entry.is_object() ? entry.find("id") : entry.end();
      if (entry.is_object() && name != entry.end() && name->is_string())
        roster.rejected_names.push_back(name->get<std::string>());
    }
  }
  return roster;
}

// Of one address: dials, watches, and dials again.
class DiscoveryWatcher::Follower {
 public:
  Follower(DiscoveryWatcher& registry, const net::Address& address) : registry_(registry), address_(address) {
    thread_ = net::Thread("registry", [this] { work(); });
  }
  ~Follower() {
    {
      const std::lock_guard held(lock_);
      leaves_at_ = net::Steady::now();
      interrupt_.set();
      changed_.notify_all();
    }
    thread_.join();
  }
  void refresh() {
    const std::lock_guard held(lock_);
    again_ = true;
    interrupt_.set();
    changed_.notify_all();
  }
  // Reads on while its watch lasts, but not for long, and dials no more.
  void leave() {
    const std::lock_guard held(lock_);
    leaves_at_ = net::Steady::now() + registry_.waits_.draining;
    if (!watching_) interrupt_.set();
    changed_.notify_all();
  }
  bool has_left() const {
    const std::lock_guard held(lock_);
    return left_;
  }

 private:
  void work() {
    std::chrono::milliseconds pause = kFirstPause;
    std::unique_lock held(lock_);
    while (!leaves_at_) {
      whole_ = whole_ || std::exchange(again_, false);
      interrupt_.clear();
      held.unlock();
      const auto begun = net::Steady::now();
      std::string why;
      try {
        watch();
        why = "the answer ended";
      } catch (const std::exception& error) {
        why = error.what();
      }
      held.lock();
      watching_ = false;
      if (leaves_at_ || again_) continue;
      held.unlock();
      registry_.silent(why);
      held.lock();
      const bool lasted = net::Steady::now() - begun > kLongestPause;
      pause = lasted ? kFirstPause : std::min<std::chrono::milliseconds>(2 * pause, kLongestPause);
      changed_.wait_for(held, pause, [this] { return leaves_at_ || again_; });
    }
    left_ = true;
  }

  void watch() {
    const auto& waits = registry_.waits_;
    http::Connection connection(net::connect(address_, net::Steady::now() + waits.connect, &interrupt_),
                                &interrupt_);
    http::Request request;
    request.target = "/registry/instances?watch=1";
    if (!whole_) request.target += "&after=" + std::to_string(registry_.revision());
    connection.write(request, address_.text(), net::Steady::now() + waits.connect);
    listed_ = false;
    {
      const std::lock_guard held(lock_);
      watching_ = true;
    }
    const auto until = [this] {
      const std::lock_guard held(lock_);
      return leaves_at_.value_or(net::Deadline::max() - 1h);
    };
    connection.read_lines(kMostLine, waits.idle, until, [this](std::string_view line) { take(line); });
  }

  void take(std::string_view line) {
    const auto now = net::Steady::now();
    const bool anew = behind_since_ && now - *behind_since_ >= registry_.waits_.stale;
    if (anew && !whole_) {
      whole_ = true;
      throw net::Error("older lists for so long: it is asked for the whole one");
    }
    if (line.find_first_not_of(" \r\t") == std::string_view::npos) return;
    const auto roster = parse_endpoint_list_update(line);
    // Changes to a list that is not ours make no list.
    if (whole_ && !listed_ && !roster.complete)
      throw net::Error("changes where the whole list was asked for");
    listed_ = listed_ || roster.complete;
    if (registry_.take(roster, anew)) {
      behind_since_.reset();
      whole_ = false;
    } else if (!behind_since_) {
      behind_since_ = now;
      registry_.silent("an older list than the known one");
    }
  }

  DiscoveryWatcher& registry_;
  const net::Address address_;
  net::CancellationEvent interrupt_;
  // Of the thread alone.
  bool whole_ = false;                         // ask without a revision
  bool listed_ = false;                        // a whole list came on this watch
  std::optional<net::Deadline> behind_since_;  // it sends older lists than the known one
  mutable std::mutex lock_;                    // of what follows; held for a few instructions
  std::condition_variable changed_;
  std::optional<net::Deadline> leaves_at_;
  bool again_ = false, watching_ = false, left_ = false;
  net::Thread thread_;
};

DiscoveryWatcher::DiscoveryWatcher(const net::Address& address, std::uint64_t revision,
                                   EndpointListHandler& sink, Timeouts waits)
    : sink_(sink), waits_(waits), revision_(revision) {
  follower_ = std::make_unique<Follower>(*this, address);
}

DiscoveryWatcher::~DiscoveryWatcher() { stop(); }

void DiscoveryWatcher::move_to(const net::Address& address) {
  const std::lock_guard held(lock_);
  if (!follower_) return;
  std::erase_if(leaving_, [](const auto& follower) { return follower->has_left(); });
  // Against a flood of moves: the watch that was left first ends now.
  if (leaving_.size() >= kMostLeaving) leaving_.erase(leaving_.begin());
  follower_->leave();
  leaving_.push_back(std::move(follower_));
  follower_ = std::make_unique<Follower>(*this, address);
}

void DiscoveryWatcher::refresh() {
  const std::lock_guard held(lock_);
  if (follower_) follower_->refresh();
}

void DiscoveryWatcher::stop() {
  std::vector<std::unique_ptr<Follower>> followers;
  {
    const std::lock_guard held(lock_);
    followers = std::exchange(leaving_, {});
    followers.push_back(std::move(follower_));
  }
}

std::uint64_t DiscoveryWatcher::revision() const {
  const std::lock_guard held(taking_);
  return revision_;
}

// Two addresses may speak at a time, and one may be behind the other: what is gone or drains since must not
// come back by an older list, nor an older change.
bool DiscoveryWatcher::take(const EndpointListUpdate& roster, bool anew) {
  const std::lock_guard held(taking_);
  const bool older = roster.complete ? roster.revision < revision_ : roster.revision <= revision_;
  if (older && !(anew && roster.complete)) return !roster.complete && roster.revision == revision_;
  revision_ = roster.revision;
  sink_.on_endpoint_list_update(roster);
  return true;
}

void DiscoveryWatcher::silent(const std::string& why) {
  const std::lock_guard held(taking_);
  sink_.on_discovery_error(why);
}

}  // namespace ospreypost::discovery
