// Reports on their way to the module: each line judged by its span, its names turned into ids. No I/O.
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

class LoadReportListener {
 public:
  virtual ~LoadReportListener() = default;
  virtual std::optional<ReplicaId> find_replica(std::string_view name) const = 0;
  virtual void on_replica_load_report(const ReplicaLoadReport& sum, const record::Origin& origin) = 0;
  virtual void on_demand_report(const DemandReport& demand, const record::Origin& origin) = 0;
  virtual void on_report(ProxyId proxy) = 0;
};

// What became of the points of a request.
struct ReportCounts {
  std::size_t taken = 0, repeated = 0, too_old = 0, malformed = 0, unknown = 0;
};

class LoadReportProcessor {
 public:
  LoadReportProcessor(const config::Config& config, LoadReportListener& receiver);
  // `received` is on our wall clock. From several threads; reports of one proxy go one after the other.
  ReportCounts process(Nanos received, const std::vector<load_reports::MetricsReport>& reports);
  ReportCounts totals() const;

 private:
  void process(Nanos received, const load_reports::MetricsReport& report, ReportCounts& outcome);
  bool counts(SpanVerdict judgement, ReportCounts& outcome) const;

  struct Sender {
    std::mutex lock;
    ReportSpans spans;
    explicit Sender(Nanos oldest) : spans(oldest) {}
  };
  const config::Config& config_;
  LoadReportListener& receiver_;
  discovery::NameTable<ProxyId> proxies_;
  discovery::NameTable<ClassId> classes_;
  std::vector<std::string> columns_;  // in the order of the settings
  std::vector<std::unique_ptr<Sender>> senders_;
  mutable std::mutex totals_lock_;
  ReportCounts totals_;
};

}  // namespace ospreypost::load_reports
