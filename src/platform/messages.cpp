#include "platform/messages.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ospreypost::platform {
namespace {

// What no sound report goes past.
constexpr double kMostTime = 600'000;  // ms
constexpr std::uint64_t kMostCount = 10'000'000;
constexpr double kMostLoad = 1e6;
constexpr double kMostUse = 2;  // of a replica's cores
constexpr double kMostRate = 1e6;

[[noreturn]] void refuse(std::string_view field, const char* what) {
  throw MessageError(std::string(field) + " " + what);
}

double number(std::string_view field, std::string_view text, double most) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) refuse(field, "is no number");
  if (!(value >= 0 && value <= most)) refuse(field, "is out of range");
  return value;
}

std::uint64_t whole(std::string_view field, std::string_view text, std::uint64_t most) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) refuse(field, "is no whole number");
  if (value > most) refuse(field, "is out of range");
  return value;
}

Nanos time(std::string_view field, std::string_view text) {
  return Nanos(std::llround(number(field, text, kMostTime) * 1e6));
}

std::size_t position(std::string_view field, std::string_view name, const std::vector<std::string>& names) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) refuse(field, "is unknown");
  return static_cast<std::size_t>(found - names.begin());
}

// The fields after the kind, each once.
class Fields {
 public:
  explicit Fields(const std::vector<std::string_view>& words) : words_(words) {
    if (words.size() % 2 == 0) throw MessageError("a field without a value");
    for (std::size_t n = 1; n < words.size(); n += 2) {
      for (std::size_t m = 1; m < n; m += 2) {
        if (words[m] == words[n]) refuse(words[n], "comes twice");
      }
    }
  }
  std::optional<std::string_view> find(std::string_view name) const {
    for (std::size_t n = 1; n < words_.size(); n += 2) {
      if (words_[n] == name) return words_[n + 1];
    }
    return std::nullopt;
  }
  std::string_view text(std::string_view name) const {
    const auto found = find(name);
    if (!found) refuse(name, "is missing");
    return *found;
  }

 private:
  const std::vector<std::string_view>& words_;
};

ProxyId proxy_of(const Fields& fields, const MessageNames& vocabulary) {
  const auto id = whole("id", fields.text("id"), 65534);
  if (id >= vocabulary.proxies) refuse("id", "is no proxy's");
  return ProxyId{static_cast<std::uint16_t>(id)};
}

ZoneId zone_of(const Fields& fields, const MessageNames& vocabulary) {
  return ZoneId{static_cast<std::uint16_t>(position("site", fields.text("site"), vocabulary.zones))};
}

ReplicaLoadReport read_sum(const Fields& fields, const MessageNames& vocabulary) {
  ReplicaLoadReport sum;
  sum.zone = zone_of(fields, vocabulary);
  const auto replica = vocabulary.find_replica(fields.text("target"));
  if (!replica) refuse("target", "is unknown");
  sum.replica = *replica;
  sum.attempts = static_cast<std::uint32_t>(whole("count", fields.text("count"), kMostCount));
  sum.failed = static_cast<std::uint32_t>(whole("fail", fields.text("fail"), kMostCount));
  if (sum.failed > sum.attempts) refuse("fail", "is above count");
  // Where no try went well there is no time to tell.
  if (sum.failed < sum.attempts || fields.find("mean")) sum.mean_latency = time("mean", fields.text("mean"));
  sum.span = time("over", fields.text("over"));
  if (sum.span <= Nanos{}) refuse("over", "is no span");
  if (const auto load = fields.find("util"))
    sum.load = parse_load_columns(*load, ':', vocabulary.load_columns);
  return sum;
}

DemandReport read_demand(const Fields& fields, const MessageNames& vocabulary) {
  DemandReport demand;
  demand.cls = ClassId{static_cast<std::uint16_t>(position("lane", fields.text("lane"), vocabulary.classes))};
  demand.operations = static_cast<std::uint32_t>(whole("count", fields.text("count"), kMostCount));
  demand.unanswered = static_cast<std::uint32_t>(whole("fail", fields.text("fail"), kMostCount));
  // What failed may have come before the span that it is counted in, so it may be more than what came.
  demand.span = time("over", fields.text("over"));
  if (demand.span <= Nanos{}) refuse("over", "is no span");
  return demand;
}

}  // namespace

std::vector<float> parse_load_columns(std::string_view text, char between,
                                      const std::vector<std::string>& columns) {
  std::vector<std::optional<float>> found(columns.size());
  while (!text.empty()) {
    const auto comma = text.find(',');
    auto item = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    item.remove_prefix(std::min(item.find_first_not_of(' '), item.size()));
    item = item.substr(0, item.find_last_not_of(" \r\n") + 1);
    const auto at = item.find(between);
    if (at == std::string_view::npos) refuse("the load", "is no list of pairs");
    const auto name = item.substr(0, at);
    const auto k = position("a column of the load", name, columns);
    const double most = name == "util" ? kMostUse : kMostLoad;
    found[k] = static_cast<float>(number(name, item.substr(at + 1), most));
  }
  std::vector<float> load;
  for (const auto& value : found) {
    if (!value) refuse("the load", "lacks a column");
    load.push_back(*value);
  }
  return load;
}

std::vector<float> parse_load_report(std::string_view body, const std::vector<std::string>& columns) {
  constexpr std::string_view form = "TEXT ";
  if (!body.starts_with(form)) return {};
  return parse_load_columns(body.substr(form.size()), '=', columns);
}

void parse_message(const std::vector<std::string_view>& words, const MessageNames& vocabulary, PeerRole from,
                   std::optional<ProxyId> proxy, MessageHandler& told) {
  const auto kind = words.front();
  if (kind == "probe") return told.on_liveness_request();
  const Fields fields(words);
  if (kind == "hello") {
    if (from == PeerRole::collector) throw MessageError("a collector that would be a proxy");
    const auto id = proxy_of(fields, vocabulary);
    if (proxy && *proxy != id) throw MessageError("a stream that would be another proxy's");
    const auto zone = zone_of(fields, vocabulary);
    const double rate = number("rps", fields.text("rps"), kMostRate);
    const bool fresh = whole("new", fields.text("new"), 1) == 1;
    return told.on_proxy_hello(id, zone, rate, fresh);
  }
  if (kind == "agent") {
    if (from == PeerRole::proxy) throw MessageError("a proxy that would be a collector");
    return told.on_collector_hello(zone_of(fields, vocabulary));
  }
  if (from == PeerRole::unidentified)
    throw MessageError("'" + std::string(kind.substr(0, 20)) + "' of nobody known");
  if (kind == "outcomes") return told.on_replica_load_report(read_sum(fields, vocabulary));
  if (kind == "demand") {
    const auto id = proxy_of(fields, vocabulary);
    if (proxy && *proxy != id) throw MessageError("demand of another proxy");
    return told.on_demand_report(id, read_demand(fields, vocabulary));
  }
  if (kind == "ack") {
    const auto id = proxy_of(fields, vocabulary);
    if (!proxy || *proxy != id) throw MessageError("an answer of another proxy");
    const auto nonce = whole("seq", fields.text("seq"), ~std::uint64_t{0});
    return told.on_acknowledgement(id, nonce, time("ms", fields.text("ms")));
  }
  throw MessageError("'" + std::string(kind.substr(0, 20)) + "' is no kind of message");
}

}  // namespace ospreypost::platform
