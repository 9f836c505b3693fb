/// Reads and writes load reports as OTLP metrics in the JSON encoding. Names of metrics and attributes:
///
///   resource attribute service.instance.id        the proxy's name
///   ospreypost.tries          sum, delta  {replica}  number of attempts
///   ospreypost.failed         sum, delta  {replica}  number of attempts without a usable response
///   ospreypost.handled.time   sum, delta  {replica}  total latency of the successful attempts in seconds
///   ospreypost.operations     sum, delta  {class}    number of requests that arrived
///   ospreypost.unanswered     sum, delta  {class}    number of admitted requests without a response
///   ospreypost.load           gauge       {replica, column}  newest load value among the replica's responses
///
/// Data points of one replica or request class that have the same start and end are combined.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "load_reports/report_spans.h"

namespace ospreypost::load_reports {

/// The attempts of a proxy at one replica during one span.
struct ReplicaPoint {
  std::string replica;
  load_reports::Span span;
  std::uint32_t attempts = 0, failed = 0;
  double handled_seconds = 0;
  std::map<std::string, double> load;  ///< load value by column name
};
/// The requests of one class that a proxy received during one span.
struct ClassPoint {
  std::string cls;
  load_reports::Span span;
  std::uint32_t operations = 0, unanswered = 0;
};
/// The data points that one proxy sent in one request.
struct MetricsReport {
  std::string proxy;
  std::vector<ReplicaPoint> replicas;
  std::vector<ClassPoint> classes;
  std::size_t points = 0;  ///< number of data points in the request
  /// Number of data points that were skipped: other metrics, or missing attributes or values.
  std::size_t unsupported = 0;
};

/// Returns one report for each resource of the request. Throws `net::Error` if `json` is not a valid request.
std::vector<MetricsReport> parse_metrics(std::string_view json);
/// Returns the request body that carries `report`; used by senders.
std::string write_metrics(const MetricsReport& report);

}  // namespace ospreypost::load_reports
