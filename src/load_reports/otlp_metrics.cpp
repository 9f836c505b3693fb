#include "load_reports/otlp_metrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

#include "net/socket.h"

namespace ospreypost::load_reports {
namespace {

using nlohmann::json;

constexpr int kDelta = 1;  // AGGREGATION_TEMPORALITY_DELTA

const json& list_in(const json& object, const char* key) {
  static const json none = json::array();
  if (!object.is_object()) throw net::Error("an element that is no object");
  const auto at = object.find(key);
  if (at == object.end() || at->is_null()) return none;
  if (!at->is_array()) throw net::Error(std::string(key) + " is no list");
  return *at;
}

// 64-bit whole numbers are text in this encoding; numbers are taken as well, as the protocol asks.
std::optional<std::int64_t> whole(const json& object, const char* key) {
  const auto at = object.find(key);
  if (at == object.end()) return std::nullopt;
  if (at->is_number_integer()) return at->get<std::int64_t>();
  if (!at->is_string()) return std::nullopt;
  const auto& text = at->get_ref<const std::string&>();
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<double> value_of(const json& point) {
  if (const auto integer = whole(point, "asInt")) return static_cast<double>(*integer);
  const auto at = point.find("asDouble");
  if (at == point.end() || !at->is_number()) return std::nullopt;
  return at->get<double>();
}

std::string attribute(const json& holder, const char* name) {
  for (const auto& pair : list_in(holder, "attributes")) {
    if (!pair.is_object() || pair.value("key", json()) != name) continue;
    const auto value = pair.find("value");
    if (value == pair.end() || !value->is_object()) return "";
    const auto text = value->find("stringValue");
    return text != value->end() && text->is_string() ? text->get<std::string>() : "";
  }
  return "";
}

std::optional<load_reports::Span> span_of(const json& point) {
  const auto start = whole(point, "startTimeUnixNano"), end = whole(point, "timeUnixNano");
  if (!start || !end || *start < 0 || *end < 0) return std::nullopt;
  return load_reports::Span{Nanos(*start), Nanos(*end)};
}

std::uint32_t count_of(double value) { return static_cast<std::uint32_t>(std::min(value, 4e9)); }

using Key = std::tuple<std::string, Nanos, Nanos>;

// Points of one replica or class and span, in the order of the names.
struct Gathered {
  std::map<Key, ReplicaPoint> replicas;
  std::map<Key, ClassPoint> classes;
  std::map<std::string, std::map<std::string, double>> loads;

  bool add(const std::string& metric, const json& point, bool gauge) {
    const auto value = value_of(point);
    if (!value || !std::isfinite(*value) || *value < 0) return false;
    const auto replica = attribute(point, "replica");
    if (gauge) {
      const auto column = attribute(point, "column");
      if (metric != "ospreypost.load" || replica.empty() || column.empty()) return false;
      loads[replica][column] = *value;
      return true;
    }
    const auto span = span_of(point);
    if (!span) return false;
    const auto cls = attribute(point, "class");
    const bool of_class = metric == "ospreypost.operations" || metric == "ospreypost.unanswered";
    const bool of_replica =
        metric == "ospreypost.tries" || metric == "ospreypost.failed" || metric == "ospreypost.handled.time";
    if (of_class && !cls.empty()) {
      auto& at = classes[{cls, span->start, span->end}];
      at.cls = cls;
      at.span = *span;
      (metric == "ospreypost.operations" ? at.operations : at.unanswered) = count_of(*value);
      return true;
    }
    if (!of_replica || replica.empty()) return false;
    auto& at = replicas[{replica, span->start, span->end}];
    at.replica = replica;
    at.span = *span;
    if (metric == "ospreypost.tries") at.attempts = count_of(*value);
    if (metric == "ospreypost.failed") at.failed = count_of(*value);
    if (metric == "ospreypost.handled.time") at.handled_seconds = *value;
    return true;
  }
};

void gather(const json& metric, Gathered& gathered, MetricsReport& report) {
  const auto name = metric.is_object() ? metric.value("name", json()) : json();
  for (const char* kind : {"sum", "gauge"}) {
    const auto at = metric.is_object() ? metric.find(kind) : metric.end();
    if (!metric.is_object() || at == metric.end()) continue;
    const bool gauge = std::string_view(kind) == "gauge";
    const bool delta = gauge || at->value("aggregationTemporality", json()) == kDelta ||
                       at->value("aggregationTemporality", json()) == "AGGREGATION_TEMPORALITY_DELTA";
    for (const auto& point : list_in(*at, "dataPoints")) {
      ++report.points;
      const bool ours = delta && name.is_string() && point.is_object() &&
                        gathered.add(name.get<std::string>(), point, gauge);
      report.foreign += !ours;
    }
  }
}

json text_attribute(const char* key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json point_of(load_reports::Span span, const char* key, const std::string& name) {
  return {{"startTimeUnixNano", std::to_string(span.start.count())},
          {"timeUnixNano", std::to_string(span.end.count())},
          {"attributes", json::array({text_attribute(key, name)})}};
}

json sum_metric(const char* name, json points) {
  return {{"name", name},
          {"sum",
           {{"aggregationTemporality", kDelta}, {"isMonotonic", true}, {"dataPoints", std::move(points)}}}};
}

}  // namespace

std::vector<MetricsReport> parse_metrics(std::string_view text) {
  const auto request = json::parse(text, nullptr, false);
  if (request.is_discarded() || !request.is_object()) throw net::Error("no JSON object");
  std::vector<MetricsReport> reports;
  for (const auto& resource : list_in(request, "resourceMetrics")) {
    auto& report = reports.emplace_back();
    if (!resource.is_object()) throw net::Error("a resource that is no object");
    const auto described = resource.find("resource");
    if (described != resource.end()) report.proxy = attribute(*described, "service.instance.id");
    Gathered gathered;
    for (const auto& scope : list_in(resource, "scopeMetrics")) {
      for (const auto& metric : list_in(scope, "metrics")) gather(metric, gathered, report);
    }
    for (auto& [key, point] : gathered.replicas) {
      const auto load = gathered.loads.find(point.replica);
      if (load != gathered.loads.end()) point.load = load->second;
      report.replicas.push_back(std::move(point));
    }
    for (auto& [key, point] : gathered.classes) report.classes.push_back(std::move(point));
  }
  return reports;
}

std::string write_metrics(const MetricsReport& report) {
  json attempts = json::array(), failed = json::array(), time = json::array(), load = json::array();
  for (const auto& point : report.replicas) {
    auto at = point_of(point.span, "replica", point.replica);
    at["asInt"] = std::to_string(point.attempts);
    attempts.push_back(at);
    at["asInt"] = std::to_string(point.failed);
    failed.push_back(at);
    at.erase("asInt");
    at["asDouble"] = point.handled_seconds;
    time.push_back(at);
    for (const auto& [column, value] : point.load) {
      load.push_back({{"timeUnixNano", std::to_string(point.span.end.count())},
                      {"attributes", json::array({text_attribute("replica", point.replica),
                                                  text_attribute("column", column)})},
                      {"asDouble", value}});
    }
  }
  json operations = json::array(), unanswered = json::array();
  for (const auto& point : report.classes) {
    auto at = point_of(point.span, "class", point.cls);
    at["asInt"] = std::to_string(point.operations);
    operations.push_back(at);
    at["asInt"] = std::to_string(point.unanswered);
    unanswered.push_back(at);
  }
  json metrics = json::array(
      {sum_metric("ospreypost.tries", attempts), sum_metric("ospreypost.failed", failed),
       sum_metric("ospreypost.handled.time", time), sum_metric("ospreypost.operations", operations),
       sum_metric("ospreypost.unanswered", unanswered)});
  if (!load.empty()) metrics.push_back({{"name", "ospreypost.load"}, {"gauge", {{"dataPoints", load}}}});
  const json request = {
      {"resourceMetrics",
       json::array({{{"resource",
                      {{"attributes", json::array({text_attribute("service.instance.id", report.proxy)})}}},
                     {"scopeMetrics",
                      json::array({{{"scope", {{"name", "ospreypost"}}}, {"metrics", metrics}}})}}})}};
  return request.dump();
}

}  // namespace ospreypost::load_reports
