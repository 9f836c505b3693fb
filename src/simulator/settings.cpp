#include "simulator/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "simulator/codec.h"

namespace ospreypost::simulator {
namespace {

// The values of the settings by key. Functions that return a value throw ProtocolError if the value is not
// valid.
class KeyValuePairs {
 public:
  explicit KeyValuePairs(std::string_view text) {
    while (!text.empty()) {
      const auto end = text.find('\n');
      const auto line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
      if (line.empty()) continue;
      const auto equals = line.find('=');
      if (equals == std::string_view::npos) fail(std::string(line), "has no '='");
      values_[std::string(line.substr(0, equals))] = std::string(line.substr(equals + 1));
    }
  }

  std::optional<std::string_view> find(const std::string& key) const {
    const auto found = values_.find(key);
    if (found == values_.end()) return std::nullopt;
    return std::string_view(found->second);
  }
  std::string_view text(const std::string& key) const {
    const auto value = find(key);
    if (!value) fail(key, "is missing");
    return *value;
  }
  double number(const std::string& key) const { return to_number(key, text(key)); }
  double number_or(const std::string& key, double fallback) const {
    const auto value = find(key);
    return value ? to_number(key, *value) : fallback;
  }
  std::size_t count(const std::string& key) const {
    const double value = number(key);
    if (value < 0 || value > 65535 || value != std::floor(value)) fail(key, "is not a count");
    return static_cast<std::size_t>(value);
  }
  Nanos time(const std::string& key) const {
    const double seconds = number(key);
    if (std::abs(seconds) > 9.0e9) fail(key, "is out of range");
    return Nanos(std::llround(seconds * 1e9));
  }
  bool boolean(const std::string& key) const { return to_bool(key, text(key)); }
  bool boolean_or(const std::string& key, bool fallback) const {
    const auto value = find(key);
    return value ? to_bool(key, *value) : fallback;
  }
  std::vector<std::string_view> items(const std::string& key) const {
    std::vector<std::string_view> parts;
    auto rest = find(key).value_or("");
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      parts.push_back(rest.substr(0, comma));
      rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
    return parts;
  }
  template <typename Id>
  std::vector<Id> ids(const std::string& key, const std::string& names_key) const {
    std::vector<Id> found;
    const auto names = items(names_key);
    for (const auto item : items(key)) {
      std::uint16_t index = 0;
      const auto [end, error] = std::from_chars(item.data(), item.data() + item.size(), index);
      if (error != std::errc{} || end != item.data() + item.size()) {
        const auto position = std::find(names.begin(), names.end(), item);
        if (position == names.end()) fail(key, "names an unknown item");
        index = static_cast<std::uint16_t>(position - names.begin());
      }
      found.push_back(Id{index});
    }
    return found;
  }
  template <typename Choice>
  Choice choice(const std::string& key,
                std::initializer_list<std::pair<std::string_view, Choice>> choices) const {
    const auto value = text(key);
    for (const auto& [name, chosen] : choices) {
      if (name == value) return chosen;
    }
    fail(key, "has the unknown value '" + std::string(value) + "'");
  }
  static bool to_bool(const std::string& key, std::string_view value) {
    if (value == "true") return true;
    if (value == "false") return false;
    fail(key, "is neither true nor false");
  }

 private:
  [[noreturn]] static void fail(const std::string& key, const std::string& fault) {
    throw ProtocolError("settings: " + key + " " + fault);
  }
  static double to_number(const std::string& key, std::string_view value) {
    double number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(number)) {
      fail(key, "is not a finite number");
    }
    return number;
  }
  std::map<std::string, std::string> values_;
};

LoadMetric load_column(std::string_view name) {
  if (name == "inflight") return LoadMetric::inflight;
  if (name == "queue") return LoadMetric::queue;
  if (name == "util") return LoadMetric::util;
  if (name == "latency_ms") return LoadMetric::latency;
  if (name == "qps") return LoadMetric::rate;
  if (name == "eps") return LoadMetric::errors;
  return LoadMetric::other;
}

ClassSettings read_class(const KeyValuePairs& pairs, const std::string& prefix) {
  ClassSettings cls;
  cls.effect = pairs.choice<Idempotency>(prefix + "effect", {{"idempotent", Idempotency::idempotent},
                                                             {"deduplicated", Idempotency::deduplicated},
                                                             {"at_most_once", Idempotency::at_most_once}});
  cls.latency_objective = pairs.time(prefix + "on-time-s");
  cls.request_deadline = pairs.time(prefix + "deadline-s");
  cls.priority_weight = pairs.number(prefix + "worth");
  cls.late_priority_weight = pairs.number_or(prefix + "late-value", 0);
  cls.allowed_zones = pairs.ids<ZoneId>(prefix + "only-zones", "azs");
  cls.allowed_kinds = pairs.ids<HardwareKindId>(prefix + "only-kinds", "skus");
  return cls;
}

}  // namespace

Settings parse_settings(std::string_view text) {
  const KeyValuePairs pairs(text);
  Settings settings;
  const auto classes = pairs.count("classes.count");
  if (classes > 16)
    throw ProtocolError("settings: classes.count is more than the 16 classes of a class mask");
  for (std::size_t k = 0; k < classes; ++k) {
    settings.classes.push_back(read_class(pairs, "classes." + std::to_string(k) + "."));
  }
  const auto same_zone_only = pairs.items("family-info.home-only");
  for (std::size_t k = 0; k < classes && k < same_zone_only.size(); ++k) {
    settings.classes[k].same_zone_only = KeyValuePairs::to_bool("family-info.home-only", same_zone_only[k]);
  }
  settings.zones = pairs.items("azs").size();
  settings.own_zone = ZoneId{static_cast<std::uint16_t>(pairs.count("zone"))};
  settings.poll_endpoint_list =
      pairs.choice<bool>("membership-mode", {{"automatic", false}, {"subscribe", true}});
  settings.health_checks_allowed = pairs.boolean("allowed.may-probe");
  settings.reporting =
      pairs.choice<ReportingMode>("report.via", {{"piggyback", ReportingMode::in_load_reports},
                                                 {"pull", ReportingMode::by_health_check},
                                                 {"silent", ReportingMode::none}});
  for (const auto name : pairs.items("report.columns")) settings.load_columns.push_back(load_column(name));
  settings.admission = pairs.choice<AdmissionMode>(
      "family-info.admit",
      {{"share", AdmissionMode::share}, {"rate", AdmissionMode::rate}, {"silent", AdmissionMode::ignored}});
  settings.picking = pairs.choice<PickingPolicy>(
      "family-info.selects-by",
      {{"weighted", PickingPolicy::weighted}, {"round", PickingPolicy::round}, {"two", PickingPolicy::two}});
  settings.governors = pairs.count("n-instances");
  settings.proxies = pairs.count("family-info.proxy-count");
  settings.proxies_by_zone = pairs.boolean_or("family-info.zonal", false);
  settings.min_replica_connections = pairs.number_or("family-info.conns-least", 0);
  settings.slices = pairs.count("family-info.ranges");
  settings.slices_exclusive = pairs.boolean("family-info.exclusive");
  settings.report_interval = pairs.time("family-info.report-every-s");
  settings.message_delay = pairs.time("family-info.transit-max-s");
  settings.poll_timeout = pairs.time("contract.ask-within-s");
  settings.drain_grace = pairs.time("contract.stop-sending-within-s");
  settings.max_time_without_endpoints = pairs.time("family-info.bare-s");
  settings.channel_entries_per_second = pairs.number("family-info.channel-rate");
  settings.channel_max_queued_entries = pairs.number("family-info.most-waiting");
  settings.message_overhead_entries = pairs.number("family-info.head");
  settings.max_messages_per_window = pairs.count("family-info.pushes-allowed");
  settings.message_window = pairs.time("family-info.counted-over-s");
  settings.initial_warm_up_capacity = pairs.number("contract.cold-from");
  settings.warm_up_duration = pairs.time("contract.cold-s");
  settings.overload_multiple = pairs.number("contract.tip-multiple");
  settings.overload_duration = pairs.time("contract.fall-s");
  settings.only_draining_is_binding = pairs.boolean_or("contract.drain-binds-alone", false);
  return settings;
}

}  // namespace ospreypost::simulator
