#include "platform/messages.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::platform {
namespace {

// Upper bounds of message fields. No valid message has higher values, so messages above a bound are rejected.
constexpr double kMaxMilliseconds = 600'000;
constexpr std::uint64_t kMaxCount = 10'000'000;
constexpr double kMaxLoad = 1e6;
constexpr double kMaxUtilization = 2;  // of the `util` column, as a multiple of the replica's CPU capacity
constexpr double kMaxRequestsPerSecond = 1e6;
constexpr std::uint64_t kMaxProxyId = 65534;

constexpr double kNanosPerMillisecond = 1e6;
constexpr std::size_t kMaxShownKindBytes = 20;

[[noreturn]] void reject(std::string_view field, const char* reason) {
  throw MessageError(std::string(field) + " " + reason);
}

// Returns empty unless the whole text is one number.
template <typename Number>
std::optional<Number> to_number(std::string_view text) {
  Number value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return value;
}

double parse_number(std::string_view field, std::string_view text, double max) {
  const auto value = to_number<double>(text);
  if (!value) reject(field, "is no number");
  const bool in_range = *value >= 0 && *value <= max;  // NaN is never in range
  if (!in_range) reject(field, "is out of range");
  return *value;
}

std::uint64_t parse_integer(std::string_view field, std::string_view text, std::uint64_t max) {
  const auto value = to_number<std::uint64_t>(text);
  if (!value) reject(field, "is no whole number");
  if (*value > max) reject(field, "is out of range");
  return *value;
}

std::size_t index_of(std::string_view field, std::string_view name, const std::vector<std::string>& names) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) reject(field, "is unknown");
  return static_cast<std::size_t>(found - names.begin());
}

// The name and value pairs that follow the message's kind. Each name may occur once.
class MessageFields {
 public:
  explicit MessageFields(const std::vector<std::string_view>& words) : words_(words) {
    if (words.size() % 2 == 0) throw MessageError("a field without a value");
    for (std::size_t later = 1; later < words.size(); later += 2) {
      for (std::size_t earlier = 1; earlier < later; earlier += 2) {
        if (words[earlier] == words[later]) reject(words[later], "comes twice");
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
    if (!found) reject(name, "is missing");
    return *found;
  }
  double number(std::string_view name, double max) const { return parse_number(name, text(name), max); }
  std::uint64_t integer(std::string_view name, std::uint64_t max) const {
    return parse_integer(name, text(name), max);
  }
  std::uint32_t count(std::string_view name) const {
    return static_cast<std::uint32_t>(integer(name, kMaxCount));
  }
  Nanos milliseconds(std::string_view name) const {
    return Nanos(std::llround(number(name, kMaxMilliseconds) * kNanosPerMillisecond));
  }
  // Parses a duration that must be positive.
  Nanos span(std::string_view name) const {
    const auto span = milliseconds(name);
    if (span <= Nanos{}) reject(name, "is not a positive duration");
    return span;
  }

 private:
  const std::vector<std::string_view>& words_;
};

ProxyId parse_proxy(const MessageFields& fields, const MessageNames& names) {
  const auto id = fields.integer("id", kMaxProxyId);
  if (id >= names.proxies) reject("id", "is no proxy's");
  return ProxyId{static_cast<std::uint16_t>(id)};
}

ZoneId parse_zone(const MessageFields& fields, const MessageNames& names) {
  return ZoneId{static_cast<std::uint16_t>(index_of("site", fields.text("site"), names.zones))};
}

ClassId parse_class(const MessageFields& fields, const MessageNames& names) {
  return ClassId{static_cast<std::uint16_t>(index_of("lane", fields.text("lane"), names.classes))};
}

ReplicaLoadReport parse_replica_load_report(const MessageFields& fields, const MessageNames& names) {
  ReplicaLoadReport report;
  report.zone = parse_zone(fields, names);
  const auto replica = names.find_replica(fields.text("target"));
  if (!replica) reject("target", "is unknown");
  report.replica = *replica;
  report.attempts = fields.count("count");
  report.failed = fields.count("fail");
  if (report.failed > report.attempts) reject("fail", "is above count");
  // The mean latency may be missing if every attempt failed, as no latency was measured.
  const bool has_latency = report.failed < report.attempts || fields.find("mean");
  if (has_latency) report.mean_latency = fields.milliseconds("mean");
  report.span = fields.span("over");
  if (const auto load = fields.find("util")) report.load = parse_load_columns(*load, ':', names.load_columns);
  return report;
}

DemandReport parse_demand_report(const MessageFields& fields, const MessageNames& names) {
  DemandReport report;
  report.cls = parse_class(fields, names);
  report.operations = fields.count("count");
  // A request counts as failed in the report for the span in which it ends, which may be later than the span
  // in which it arrived. `unanswered` may therefore be above the number of arrivals.
  report.unanswered = fields.count("fail");
  report.span = fields.span("over");
  return report;
}

void handle_proxy_hello(const MessageFields& fields, const MessageNames& names, const MessageSender& sender,
                        MessageHandler& handler) {
  if (sender.role == PeerRole::collector) throw MessageError("hello from a collector");
  const auto proxy = parse_proxy(fields, names);
  if (sender.proxy && *sender.proxy != proxy) throw MessageError("hello with the id of another proxy");
  if (sender.proxy) throw MessageError("a second hello on a stream");
  const auto zone = parse_zone(fields, names);
  const double requests_per_second = fields.number("rps", kMaxRequestsPerSecond);
  const bool newly_added = fields.integer("new", 1) == 1;
  handler.on_proxy_hello(proxy, zone, requests_per_second, newly_added);
}

void handle_collector_hello(const MessageFields& fields, const MessageNames& names,
                            const MessageSender& sender, MessageHandler& handler) {
  if (sender.role == PeerRole::proxy) throw MessageError("agent from a proxy");
  handler.on_collector_hello(parse_zone(fields, names));
}

void handle_demand_report(const MessageFields& fields, const MessageNames& names, const MessageSender& sender,
                          MessageHandler& handler) {
  const auto proxy = parse_proxy(fields, names);
  if (sender.proxy && *sender.proxy != proxy) throw MessageError("demand with the id of another proxy");
  handler.on_demand_report(proxy, parse_demand_report(fields, names));
}

void handle_acknowledgement(const MessageFields& fields, const MessageNames& names,
                            const MessageSender& sender, MessageHandler& handler) {
  const auto proxy = parse_proxy(fields, names);
  if (!sender.proxy || *sender.proxy != proxy) throw MessageError("ack with the id of another proxy");
  const auto nonce = fields.integer("seq", std::numeric_limits<std::uint64_t>::max());
  handler.on_acknowledgement(proxy, nonce, fields.milliseconds("ms"));
}

std::string quoted(std::string_view kind) {
  return "'" + std::string(kind.substr(0, kMaxShownKindBytes)) + "'";
}

std::string_view trimmed(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  return text.substr(0, text.find_last_not_of(" \r\n") + 1);
}

}  // namespace

std::vector<float> parse_load_columns(std::string_view text, char separator,
                                      const std::vector<std::string>& columns) {
  std::vector<std::optional<float>> found(columns.size());
  while (!text.empty()) {
    const auto comma = text.find(',');
    const auto item = trimmed(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    const auto name_end = item.find(separator);
    if (name_end == std::string_view::npos) reject("the load", "is not a list of name and value pairs");
    const auto name = item.substr(0, name_end);
    const auto column = index_of("a column of the load", name, columns);
    const double max = name == "util" ? kMaxUtilization : kMaxLoad;
    found[column] = static_cast<float>(parse_number(name, item.substr(name_end + 1), max));
  }
  std::vector<float> load;
  for (const auto& value : found) {
    if (!value) reject("the load", "lacks a column");
    load.push_back(*value);
  }
  return load;
}

std::vector<float> parse_load_report(std::string_view body, const std::vector<std::string>& columns) {
  constexpr std::string_view kTextPrefix = "TEXT ";
  if (!body.starts_with(kTextPrefix)) return {};
  return parse_load_columns(body.substr(kTextPrefix.size()), '=', columns);
}

void parse_message(const std::vector<std::string_view>& words, const MessageNames& names,
                   const MessageSender& sender, MessageHandler& handler) {
  const auto kind = words.front();
  if (kind == "probe") return handler.on_liveness_request();
  const MessageFields fields(words);
  if (kind == "hello") return handle_proxy_hello(fields, names, sender, handler);
  if (kind == "agent") return handle_collector_hello(fields, names, sender, handler);
  if (sender.role == PeerRole::unidentified) throw MessageError(quoted(kind) + " of nobody known");
  if (kind == "outcomes") return handler.on_replica_load_report(parse_replica_load_report(fields, names));
  if (kind == "demand") return handle_demand_report(fields, names, sender, handler);
  if (kind == "ack") return handle_acknowledgement(fields, names, sender, handler);
  throw MessageError(quoted(kind) + " is not a known kind of message");
}

}  // namespace ospreypost::platform
