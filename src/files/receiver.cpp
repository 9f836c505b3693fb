#include "files/receiver.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

namespace ospreypost::files {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::ordered_json;

constexpr auto kLook = 5ms;  // for the reader's word
constexpr std::size_t kConnections = 16;

http::Limits limits() {
  http::Limits limits;
  limits.max_body_bytes = std::size_t{16} << 20;
  return limits;
}

// "?epoch=E&owner=O"
bool read_speaker(std::string_view query, std::uint64_t& epoch, std::string& owner) {
  constexpr std::string_view head = "?epoch=", then = "&owner=";
  if (!query.starts_with(head)) return false;
  query.remove_prefix(head.size());
  const auto [end, error] = std::from_chars(query.data(), query.data() + query.size(), epoch);
  query.remove_prefix(static_cast<std::size_t>(end - query.data()));
  if (error != std::errc{} || !query.starts_with(then)) return false;
  owner = query.substr(then.size());
  return !owner.empty();
}

http::Response said(unsigned status, const std::string& what) {
  return {status, "text/plain", what + "\n", std::nullopt, true};
}

}  // namespace

std::string write_state(const State& state) {
  json kept = json::array();
  for (const auto& stamp : state.kept) kept.push_back({stamp.epoch, stamp.version});
  return json({{"any", state.any},
               {"epoch", state.stored.epoch},
               {"version", state.stored.version},
               {"newest_epoch", state.newest.stamp.epoch},
               {"newest_version", state.newest.stamp.version},
               {"owner", state.newest.owner},
               {"instead", state.instead},
               {"applied_epoch", state.applied.epoch},
               {"applied_version", state.applied.version},
               {"stale", state.stale},
               {"kept", kept}})
      .dump();
}

State read_state(const std::string& text) {
  try {
    const auto body = json::parse(text);
    State state;
    state.any = body.at("any").get<bool>();
    state.stored = {body.at("epoch").get<std::uint64_t>(), body.at("version").get<std::uint64_t>()};
    state.newest = {
        {body.at("newest_epoch").get<std::uint64_t>(), body.at("newest_version").get<std::uint64_t>()},
        body.at("owner").get<std::string>()};
    state.applied = {body.at("applied_epoch").get<std::uint64_t>(),
                     body.at("applied_version").get<std::uint64_t>()};
    state.instead = body.at("instead").get<std::vector<std::string>>();
    state.stale = body.at("stale").get<bool>();
    for (const auto& pair : body.at("kept"))
      state.kept.push_back({pair.at(0).get<std::uint64_t>(), pair.at(1).get<std::uint64_t>()});
    return state;
  } catch (const nlohmann::json::exception&) {
    throw net::Error("that is no receiver's state");
  }
}

GenerationShelf::GenerationShelf(std::string folder, std::size_t keep, bool reader_confirms,
                                 std::function<void(const char*)> step)
    : folder_(std::move(folder), keep, std::move(step)), reader_confirms_(reader_confirms) {
  try {
    if (const auto current = folder_.current()) lease_ = std::chrono::milliseconds(current->lease_ms);
  } catch (const net::Error&) {
    // Damaged: there is no lease to keep.
  }
}

void GenerationShelf::renew(std::uint64_t epoch, const std::string& owner) {
  const std::lock_guard held(lock_);
  const auto newest = folder_.newest_owned();
  if (newest && newest->stamp.epoch == epoch && newest->owner == owner) folder_.touch();
}

bool GenerationShelf::is_stale() {
  const auto touched = folder_.touched();
  if (touched != touched_) touched_ = touched, spoke_ = net::Steady::now();
  return lease_ > 0ms && net::Steady::now() > spoke_ + lease_;
}

bool GenerationShelf::confirmed(const GenerationId& stamp) const {
  return !reader_confirms_ || folder_.applied().value_or(GenerationId{}) == stamp;
}

Delivery GenerationShelf::put(const Generation& generation, bool recall, net::Deadline until) {
  {
    const std::lock_guard held(lock_);
    if (folder_.take(generation, recall) == StoreResult::older) return Delivery::older;
    folder_.touch();
    lease_ = std::chrono::milliseconds(generation.lease_ms);
  }
  // The reader looks by itself; the files are whole whenever it does.
  while (!confirmed(generation.stamp)) {
    if (net::Steady::now() >= until) return Delivery::unconfirmed;
    std::this_thread::sleep_for(kLook);
  }
  return Delivery::taken;
}

State GenerationShelf::state() {
  const std::lock_guard held(lock_);
  State state;
  if (const auto newest = folder_.newest_owned()) state.newest = *newest, state.any = true;
  try {
    if (const auto current = folder_.current()) {
      state.stored = current->stamp;
      state.any = true;
      if (current->stamp != state.newest.stamp) state.instead = current->names;
    }
  } catch (const net::Error&) {
    state.any = true;  // something lies there, and may be gone by
  }
  state.applied = folder_.applied().value_or(GenerationId{});
  state.stale = is_stale();
  state.kept = folder_.kept();
  return state;
}

// Guards against bringing back what was drained since: whoever is out by the newest word stays out.
void GenerationShelf::roll_back(std::uint64_t version, const std::vector<std::string>& out) {
  const std::lock_guard held(lock_);
  folder_.roll_back(version, out);
}

Receiver::Receiver(const ReceiverOptions& options)
    : options_(options),
      shelf_(options.folder, options.keep, options.reader_confirms),
      server_(
          "receiver", options.listen, limits(), kConnections,
          [this](const http::Request& request) { return answer(request); }, [](const std::string&) {}) {}

http::Response Receiver::answer(const http::Request& request) {
  constexpr std::string_view look = "/state";
  if (request.target.starts_with(look) && request.method == "GET") {
    std::uint64_t epoch = 0;
    std::string owner;
    if (request.target.size() > look.size() &&
        !read_speaker(request.target.substr(look.size()), epoch, owner))
      return said(400, "no epoch and owner");
    if (!owner.empty()) shelf_.renew(epoch, owner);
    return {200, "application/json", write_state(shelf_.state()), std::nullopt, true};
  }
  constexpr std::string_view rollback = "/rollback?version=";
  if (request.target.starts_with(rollback) && request.method == "POST") {
    std::uint64_t version = 0;
    const auto* begin = request.target.data() + rollback.size();
    const auto* end = request.target.data() + request.target.size();
    if (std::from_chars(begin, end, version).ptr != end || begin == end) return said(400, "no version");
    const auto out = request.body.empty() ? json::array() : json::parse(request.body, nullptr, false);
    if (!out.is_array() ||
        !std::all_of(out.begin(), out.end(), [](const json& name) { return name.is_string(); }))
      return said(400, "the body is no array of names");
    try {
      shelf_.roll_back(version, out.get<std::vector<std::string>>());
      return {200, "application/json", write_state(shelf_.state()), std::nullopt, true};
    } catch (const net::Error& error) {
      return said(409, error.what());
    }
  }
  const bool recall = request.target == "/generation?recall";
  if ((request.target != "/generation" && !recall) || request.method != "PUT")
    return said(404, "PUT /generation or GET /state");
  Generation generation;
  try {
    generation = read_generation(request.body);
  } catch (const net::Error& error) {
    return said(400, error.what());
  }
  try {
    const auto delivery = shelf_.put(generation, recall, net::Steady::now() + options_.confirm_within);
    const unsigned status = delivery == Delivery::taken ? 200 : delivery == Delivery::unconfirmed ? 202 : 409;
    return {status, "application/json", write_state(shelf_.state()), std::nullopt, true};
  } catch (const net::Error& error) {
    return said(507, error.what());
  }
}

}  // namespace ospreypost::files
