#include "load_reports/otlp_metrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

#include "json/untrusted_json.h"
#include "net/socket.h"

namespace ospreypost::load_reports {
namespace {

using nlohmann::json;

constexpr int kDeltaTemporality = 1;  // AGGREGATION_TEMPORALITY_DELTA

const json& array_member(const json& object, const char* key) {
  static const json empty = json::array();
  if (!object.is_object()) throw net::Error("expected an object");
  const auto member = object.find(key);
  if (member == object.end() || member->is_null()) return empty;
  if (!member->is_array()) throw net::Error(std::string(key) + ": expected an array");
  return *member;
}

// Returns the integer under `key`.
// The JSON encoding of OTLP writes 64-bit integers as strings, and requires receivers to accept numbers too.
std::optional<std::int64_t> integer_member(const json& object, const char* key) {
  const auto member = object.find(key);
  if (member == object.end()) return std::nullopt;
  if (member->is_number_integer()) return member->get<std::int64_t>();
  if (!member->is_string()) return std::nullopt;
  const auto& text = member->get_ref<const std::string&>();
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<double> value_of(const json& point) {
  if (const auto integer = integer_member(point, "asInt")) return static_cast<double>(*integer);
  const auto member = point.find("asDouble");
  if (member == point.end() || !member->is_number()) return std::nullopt;
  return member->get<double>();
}

std::string string_attribute(const json& holder, const char* name) {
  for (const auto& pair : array_member(holder, "attributes")) {
    if (!pair.is_object() || pair.value("key", json()) != name) continue;
    const auto value = pair.find("value");
    if (value == pair.end() || !value->is_object()) return "";
    const auto text = value->find("stringValue");
    return text != value->end() && text->is_string() ? text->get<std::string>() : "";
  }
  return "";
}

std::optional<load_reports::Span> span_of(const json& point) {
  const auto start = integer_member(point, "startTimeUnixNano"), end = integer_member(point, "timeUnixNano");
  if (!start || !end || *start < 0 || *end < 0) return std::nullopt;
  return load_reports::Span{Nanos(*start), Nanos(*end)};
}

std::uint32_t count_of(double value) { return static_cast<std::uint32_t>(std::min(value, 4e9)); }

using Key = std::tuple<std::string, Nanos, Nanos>;

// The data points of one resource, combined by replica or request class and span, in the order of the names.
struct CollectedPoints {
  std::map<Key, ReplicaPoint> replicas;
  std::map<Key, ClassPoint> classes;
  std::map<std::string, std::map<std::string, double>> loads;

  bool add(const std::string& metric, const json& point, bool gauge) {
    const auto value = value_of(point);
    if (!value || !std::isfinite(*value) || *value < 0) return false;
    const auto replica = string_attribute(point, "replica");
    if (gauge) {
      const auto column = string_attribute(point, "column");
      if (metric != "ospreypost.load" || replica.empty() || column.empty()) return false;
      loads[replica][column] = *value;
      return true;
    }
    const auto span = span_of(point);
    if (!span) return false;
    const auto cls = string_attribute(point, "class");
    const bool is_class_metric = metric == "ospreypost.operations" || metric == "ospreypost.unanswered";
    const bool is_replica_metric =
        metric == "ospreypost.tries" || metric == "ospreypost.failed" || metric == "ospreypost.handled.time";
    if (is_class_metric && !cls.empty()) {
      auto& class_point = classes[{cls, span->start, span->end}];
      class_point.cls = cls;
      class_point.span = *span;
      (metric == "ospreypost.operations" ? class_point.operations : class_point.unanswered) =
          count_of(*value);
      return true;
    }
    if (!is_replica_metric || replica.empty()) return false;
    auto& replica_point = replicas[{replica, span->start, span->end}];
    replica_point.replica = replica;
    replica_point.span = *span;
    if (metric == "ospreypost.tries") replica_point.attempts = count_of(*value);
    if (metric == "ospreypost.failed") replica_point.failed = count_of(*value);
    if (metric == "ospreypost.handled.time") replica_point.handled_seconds = *value;
    return true;
  }
};

void collect_points(const json& metric, CollectedPoints& collected, MetricsReport& report) {
  const auto name = metric.is_object() ? metric.value("name", json()) : json();
  for (const char* kind : {"sum", "gauge"}) {
    const auto data = metric.is_object() ? metric.find(kind) : metric.end();
    if (!metric.is_object() || data == metric.end()) continue;
    const bool gauge = std::string_view(kind) == "gauge";
    const bool delta = gauge || data->value("aggregationTemporality", json()) == kDeltaTemporality ||
                       data->value("aggregationTemporality", json()) == "AGGREGATION_TEMPORALITY_DELTA";
    for (const auto& point : array_member(*data, "dataPoints")) {
      ++report.points;
      const bool supported = delta && name.is_string() && point.is_object() &&
                             collected.add(name.get<std::string>(), point, gauge);
      report.unsupported += !supported;
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
           {{"aggregationTemporality", kDeltaTemporality},
            {"isMonotonic", true},
            {"dataPoints", std::move(points)}}}};
}

}  // namespace

std::vector<MetricsReport> parse_metrics(std::string_view text) {
  const auto request = json_input::parse_untrusted(text);
  if (request.is_discarded() || !request.is_object())
    throw net::Error("the request is no JSON object, or has too many small values");
  std::vector<MetricsReport> reports;
  for (const auto& resource : array_member(request, "resourceMetrics")) {
    auto& report = reports.emplace_back();
    if (!resource.is_object()) throw net::Error("resourceMetrics: expected an array of objects");
    const auto description = resource.find("resource");
    if (description != resource.end()) report.proxy = string_attribute(*description, "service.instance.id");
    CollectedPoints collected;
    for (const auto& scope : array_member(resource, "scopeMetrics")) {
      for (const auto& metric : array_member(scope, "metrics")) collect_points(metric, collected, report);
    }
    for (auto& [key, point] : collected.replicas) {
      const auto load = collected.loads.find(point.replica);
      if (load != collected.loads.end()) point.load = load->second;
      report.replicas.push_back(std::move(point));
    }
    for (auto& [key, point] : collected.classes) report.classes.push_back(std::move(point));
  }
  return reports;
}

std::string write_metrics(const MetricsReport& report) {
  json attempts = json::array(), failed = json::array(), time = json::array(), load = json::array();
  for (const auto& point : report.replicas) {
    auto data_point = point_of(point.span, "replica", point.replica);
    data_point["asInt"] = std::to_string(point.attempts);
    attempts.push_back(data_point);
    data_point["asInt"] = std::to_string(point.failed);
    failed.push_back(data_point);
    data_point.erase("asInt");
    data_point["asDouble"] = point.handled_seconds;
    time.push_back(data_point);
    for (const auto& [column, value] : point.load) {
      load.push_back({{"timeUnixNano", std::to_string(point.span.end.count())},
                      {"attributes", json::array({text_attribute("replica", point.replica),
                                                  text_attribute("column", column)})},
                      {"asDouble", value}});
    }
  }
  json operations = json::array(), unanswered = json::array();
  for (const auto& point : report.classes) {
    auto data_point = point_of(point.span, "class", point.cls);
    data_point["asInt"] = std::to_string(point.operations);
    operations.push_back(data_point);
    data_point["asInt"] = std::to_string(point.unanswered);
    unanswered.push_back(data_point);
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
