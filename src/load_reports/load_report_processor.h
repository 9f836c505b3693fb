/// Processes parsed load reports: rejects data points whose time span was counted before or is too old,
/// replaces names by ids, and passes the accepted data points to a listener. Does no I/O.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "config/config.h"
#include "discovery/name_table.h"
#include "load_reports/otlp_metrics.h"
#include "load_reports/report_spans.h"
#include "record/origin.h"

namespace ospreypost::load_reports {

/// Receives the accepted data points of load reports.
class LoadReportListener {
 public:
  virtual ~LoadReportListener() = default;
  /// Returns the id of a replica; empty if the name is unknown.
  virtual std::optional<ReplicaId> find_replica(std::string_view name) const = 0;
  virtual void on_replica_load_report(const ReplicaLoadReport& report, const record::Origin& origin) = 0;
  virtual void on_demand_report(const DemandReport& report, const record::Origin& origin) = 0;
  /// Called for each report of a known proxy, before its data points are checked.
  virtual void on_report(ProxyId proxy) = 0;
};

/// Number of data points of a request or since the start, by result.
struct ReportCounts {
  std::size_t accepted = 0, repeated = 0, too_old = 0, malformed = 0, unknown = 0;
};

/// Checks and translates the load reports of all proxies. Thread-safe.
class LoadReportProcessor {
 public:
  /// `config` and `listener` must outlive this object.
  LoadReportProcessor(const config::Config& config, LoadReportListener& listener);
  /// Processes the reports of one request and returns the counts of their data points.
  /// `received` is the wall clock time of this host at which the request arrived.
  /// May be called from several threads; two reports of one proxy are processed one after the other.
  ReportCounts process(Nanos received, const std::vector<load_reports::MetricsReport>& reports);
  /// Returns the counts of all data points since the start.
  ReportCounts totals() const;

 private:
  void process(Nanos received, const load_reports::MetricsReport& report, ReportCounts& counts);
  // Counts the verdict; returns true if the data point is accepted.
  bool count_verdict(SpanVerdict verdict, ReportCounts& counts) const;

  // A proxy that sends reports: the spans counted for it, and the mutex that guards them.
  struct Sender {
    std::mutex mutex;
    ReportSpans spans;
    explicit Sender(Nanos oldest) : spans(oldest) {}
  };
  const config::Config& config_;
  LoadReportListener& listener_;
  discovery::NameTable<ProxyId> proxies_;
  discovery::NameTable<ClassId> classes_;
  std::vector<std::string> columns_;  // names of the load columns, in the order of `Settings::load_columns`
  std::vector<std::unique_ptr<Sender>> senders_;  // indexed by proxy id
  mutable std::mutex totals_mutex_;
  ReportCounts totals_;
};

}  // namespace ospreypost::load_reports
