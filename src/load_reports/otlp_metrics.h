// Reports as OTLP metrics in the JSON encoding, by the published protocol. Names of metrics and attributes:
//
//   resource  service.instance.id               the proxy's name
//   ospreypost.tries, .failed     sum, delta    {replica}          tries, and those without a good answer
//   ospreypost.handled.time       sum, delta    {replica}          seconds, of the handled ones together
//   ospreypost.operations, .unanswered  sum, delta  {class}        that came; that were let in and got no
//   answer ospreypost.load               gauge         {replica, column}  the newest load report among the
//   answers
//
// Points of one replica or class with the same start and end belong together.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "load_reports/report_spans.h"

namespace ospreypost::load_reports {

struct ReplicaPoint {
  std::string replica;
  load_reports::Span span;
  std::uint32_t attempts = 0, failed = 0;
  double handled_seconds = 0;
  std::map<std::string, double> load;  // by column
};
struct ClassPoint {
  std::string cls;
  load_reports::Span span;
  std::uint32_t operations = 0, unanswered = 0;
};
struct MetricsReport {
  std::string proxy;
  std::vector<ReplicaPoint> replicas;
  std::vector<ClassPoint> classes;
  std::size_t points = 0;   // as sent
  std::size_t foreign = 0;  // of metrics that are not ours, or without what ours need; left alone
};

// One report for each resource. Throws net::Error if it is no such request.
std::vector<MetricsReport> parse_metrics(std::string_view json);
// The request that carries a report; for senders.
std::string write_metrics(const MetricsReport& report);

}  // namespace ospreypost::load_reports
