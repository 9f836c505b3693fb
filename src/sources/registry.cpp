#include "sources/registry.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "http/http.h"

namespace ospreypost::sources {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t kMostLine = std::size_t{8} << 20;  // bytes
constexpr auto kFirstPause = 50ms, kLongestPause = 1000ms;

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

Member member_of(const json& entry) {
  if (!entry.is_object()) throw net::Error("an entry is no object");
  Member member;
  member.name = text_at(entry, "id");
  if (member.name.empty() || member.name.size() > 200) throw net::Error("id is no name");
  const auto phase = text_at(entry, "phase");
  if (phase != "SERVING" && phase != "DRAINING" && phase != "DELETED") throw net::Error("phase is unknown");
  member.phase = phase == "SERVING" ? Phase::ready : phase == "DRAINING" ? Phase::draining : Phase::gone;
  // Of what is gone nothing but its name is needed.
  if (member.phase == Phase::gone) return member;
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

Roster parse_roster(std::string_view text) {
  Roster roster;
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
      roster.members.push_back(std::move(member));
    } catch (const net::Error&) {
      ++roster.refused;
    }
  }
  return roster;
}

Registry::Registry(const net::Address& address, std::uint64_t revision, RegistrySink& sink, Waits waits)
    : sink_(sink), waits_(waits), revision_(revision), address_(address) {
  thread_ = net::Thread("registry", [this] { work(); });
}

// With the lock held.
void Registry::interrupt() {
  if (descriptor_ >= 0) net::shut_down(descriptor_);
  changed_.notify_all();
}

void Registry::move_to(const net::Address& address) {
  const std::lock_guard held(lock_);
  address_ = address;
  moved_ = true;
  interrupt();
}

void Registry::look() {
  const std::lock_guard held(lock_);
  again_ = true;
  interrupt();
}

void Registry::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
    interrupt();
  }
  thread_.join();
}

void Registry::work() {
  std::chrono::milliseconds pause = kFirstPause;
  std::unique_lock held(lock_);
  while (!stopping_) {
    const auto address = address_;
    if (std::exchange(again_, false)) whole_ = true;
    moved_ = false;
    held.unlock();
    const auto begun = net::Steady::now();
    try {
      watch(address);
    } catch (const std::exception& error) {
      sink_.registry_silent(error.what());
    }
    held.lock();
    const bool lasted = net::Steady::now() - begun > kLongestPause;
    pause = lasted ? kFirstPause : std::min<std::chrono::milliseconds>(2 * pause, kLongestPause);
    changed_.wait_for(held, pause, [this] { return stopping_ || moved_ || again_; });
  }
}

void Registry::watch(const net::Address& address) {
  auto socket = net::connect(address, net::Steady::now() + waits_.connect);
  const int descriptor = socket.get();
  {
    const std::lock_guard held(lock_);
    if (stopping_ || moved_) return;
    descriptor_ = descriptor;
  }
  http::Connection connection(std::move(socket));
  // Ends before the connection does, so that nobody shuts down a descriptor that is another's by then.
  struct Forget {
    Registry& registry;
    ~Forget() {
      const std::lock_guard held(registry.lock_);
      registry.descriptor_ = -1;
    }
  } const forget{*this};
  http::Request request;
  request.target = "/registry/instances?watch=1";
  if (!whole_) request.target += "&after=" + std::to_string(revision_);
  connection.write(request, address.text(), net::Steady::now() + waits_.connect);
  connection.read_lines(kMostLine, waits_.silence, [this](std::string_view line) { take(line); });
}

void Registry::take(std::string_view line) {
  if (line.find_first_not_of(" \r\t") == std::string_view::npos) return;
  const auto roster = parse_roster(line);
  // Changes to a list that is not ours make no list.
  if (!roster.complete && (whole_ || roster.revision < revision_)) {
    whole_ = true;
    throw net::Error("changes to a list that is not the one known");
  }
  revision_ = roster.revision;
  whole_ = false;
  sink_.roster_received(roster);
}

}  // namespace ospreypost::sources
