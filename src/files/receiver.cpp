#include "files/receiver.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

#include "json/untrusted_json.h"

namespace ospreypost::files {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::ordered_json;

constexpr auto kReaderPollInterval = 5ms;  // between two checks of the file `applied`
constexpr std::size_t kConnections = 16;

http::Limits limits() {
  http::Limits limits;
  limits.max_body_bytes = std::size_t{16} << 20;
  return limits;
}

// Parses "?epoch=E&owner=O".
bool parse_lease_holder(std::string_view query, std::uint64_t& epoch, std::string& owner) {
  constexpr std::string_view head = "?epoch=", then = "&owner=";
  if (!query.starts_with(head)) return false;
  query.remove_prefix(head.size());
  const auto [end, error] = std::from_chars(query.data(), query.data() + query.size(), epoch);
  query.remove_prefix(static_cast<std::size_t>(end - query.data()));
  if (error != std::errc{} || !query.starts_with(then)) return false;
  owner = query.substr(then.size());
  return !owner.empty();
}

http::Response text_response(unsigned status, const std::string& what) {
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
    throw net::Error("the response is not a receiver's state");
  }
}

LeasedStore::LeasedStore(std::string folder, std::size_t keep, bool reader_confirms,
                         std::function<void(const char*)> step)
    : store_(std::move(folder), keep, std::move(step)), reader_confirms_(reader_confirms) {
  try {
    if (const auto current = store_.current()) lease_ = std::chrono::milliseconds(current->lease_ms);
  } catch (const net::Error&) {
    // The current generation is damaged, so it has no lease.
  }
}

void LeasedStore::renew(std::uint64_t epoch, const std::string& owner) {
  const std::lock_guard held(lock_);
  const auto newest = store_.newest_owned();
  if (newest && newest->stamp.epoch == epoch && newest->owner == owner) store_.touch_lease_file();
}

bool LeasedStore::is_stale() {
  const auto lease_file_time = store_.lease_file_time();
  if (lease_file_time != last_lease_file_time_)
    last_lease_file_time_ = lease_file_time, last_renewal_ = net::Steady::now();
  return lease_ > 0ms && net::Steady::now() > last_renewal_ + lease_;
}

bool LeasedStore::is_applied(const GenerationId& stamp) const {
  return !reader_confirms_ || store_.applied().value_or(GenerationId{}) == stamp;
}

Delivery LeasedStore::put(const Generation& generation, bool recall, net::Deadline deadline) {
  {
    const std::lock_guard held(lock_);
    if (store_.store(generation, recall) == StoreResult::older) return Delivery::older;
    store_.touch_lease_file();
    lease_ = std::chrono::milliseconds(generation.lease_ms);
  }
  // The reader polls the folder by itself, and finds intact files at any time. This thread waits until the
  // reader writes the file `applied`.
  while (!is_applied(generation.stamp)) {
    if (net::Steady::now() >= deadline) return Delivery::unconfirmed;
    std::this_thread::sleep_for(kReaderPollInterval);
  }
  return Delivery::accepted;
}

State LeasedStore::state() {
  const std::lock_guard held(lock_);
  State state;
  if (const auto newest = store_.newest_owned()) state.newest = *newest, state.any = true;
  try {
    if (const auto current = store_.current()) {
      state.stored = current->stamp;
      state.any = true;
      if (current->stamp != state.newest.stamp) state.instead = current->names;
    }
  } catch (const net::Error&) {
    state.any = true;  // a damaged generation is stored, and the reader may use it
  }
  state.applied = store_.applied().value_or(GenerationId{});
  state.stale = is_stale();
  state.kept = store_.kept();
  return state;
}

// Rejects versions that list a replica excluded since, so that a rollback restores no drained replica.
void LeasedStore::roll_back(std::uint64_t version, const std::vector<std::string>& excluded) {
  const std::lock_guard held(lock_);
  store_.roll_back(version, excluded);
}

Receiver::Receiver(const ReceiverOptions& options)
    : options_(options),
      store_(options.folder, options.keep, options.reader_confirms),
      server_(
          "receiver", options.listen, limits(), kConnections,
          [this](const http::Request& request) { return answer(request); }, [](const std::string&) {}) {}

http::Response Receiver::answer(const http::Request& request) {
  constexpr std::string_view state_path = "/state";
  if (request.target.starts_with(state_path) && request.method == "GET") {
    std::uint64_t epoch = 0;
    std::string owner;
    if (request.target.size() > state_path.size() &&
        !parse_lease_holder(request.target.substr(state_path.size()), epoch, owner))
      return text_response(400, "the query has no epoch and owner");
    if (!owner.empty()) store_.renew(epoch, owner);
    return {200, "application/json", write_state(store_.state()), std::nullopt, true};
  }
  // A push that was given up must not take effect later, when another one may have followed it.
  if (request.client_has_left) return text_response(400, "the client has left");
  constexpr std::string_view rollback_path = "/rollback?version=";
  if (request.target.starts_with(rollback_path) && request.method == "POST") {
    std::uint64_t version = 0;
    const auto* begin = request.target.data() + rollback_path.size();
    const auto* end = request.target.data() + request.target.size();
    if (std::from_chars(begin, end, version).ptr != end || begin == end)
      return text_response(400, "the query has no version");
    const auto excluded =
        request.body.empty() ? json::array() : json_input::parse_untrusted<json>(request.body);
    if (!excluded.is_array() ||
        !std::all_of(excluded.begin(), excluded.end(), [](const json& name) { return name.is_string(); }))
      return text_response(400, "the body is not an array of names");
    try {
      store_.roll_back(version, excluded.get<std::vector<std::string>>());
      return {200, "application/json", write_state(store_.state()), std::nullopt, true};
    } catch (const net::Error& error) {
      return text_response(409, error.what());
    }
  }
  const bool recall = request.target == "/generation?recall";
  if ((request.target != "/generation" && !recall) || request.method != "PUT")
    return text_response(404, "unknown request; expected PUT /generation, GET /state or POST /rollback");
  Generation generation;
  try {
    generation = read_generation(request.body);
  } catch (const net::Error& error) {
    return text_response(400, error.what());
  }
  try {
    const auto delivery = store_.put(generation, recall, net::Steady::now() + options_.confirm_within);
    const unsigned status = delivery == Delivery::accepted      ? 200
                            : delivery == Delivery::unconfirmed ? 202
                                                                : 409;
    return {status, "application/json", write_state(store_.state()), std::nullopt, true};
  } catch (const net::Error& error) {
    return text_response(507, error.what());
  }
}

}  // namespace ospreypost::files
