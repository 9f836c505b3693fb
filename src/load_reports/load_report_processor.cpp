#include "load_reports/load_report_processor.h"

#include <cmath>

namespace ospreypost::load_reports {
namespace {

// Returns the load values in the order of `columns`; empty if a column is missing, because a load report with
// missing columns would make its replica look idle.
std::vector<float> load_of(const std::map<std::string, double>& load,
                           const std::vector<std::string>& columns) {
  std::vector<float> values;
  for (const auto& column : columns) {
    const auto value = load.find(column);
    if (value == load.end()) return {};
    values.push_back(static_cast<float>(value->second));
  }
  return values;
}

}  // namespace

LoadReportProcessor::LoadReportProcessor(const config::Config& config, LoadReportListener& listener)
    : config_(config), listener_(listener) {
  for (const auto& proxy : config.proxies.known) {
    proxies_.id_of(proxy.name);
    senders_.push_back(std::make_unique<Sender>(config.reports.oldest));
  }
  for (const auto& cls : config.classes) classes_.id_of(cls);
  for (const auto column : config.settings.load_columns) columns_.emplace_back(config::name_of(column));
}

bool LoadReportProcessor::count_verdict(SpanVerdict verdict, ReportCounts& counts) const {
  switch (verdict) {
    case SpanVerdict::accepted:
      ++counts.accepted;
      return true;
    case SpanVerdict::repeated:
      ++counts.repeated;
      return false;
    case SpanVerdict::too_old:
      ++counts.too_old;
      return false;
    case SpanVerdict::malformed:
      ++counts.malformed;
      return false;
  }
  return false;
}

void LoadReportProcessor::process(Nanos received, const load_reports::MetricsReport& report,
                                  ReportCounts& counts) {
  counts.malformed += report.unsupported;
  const auto proxy = proxies_.find(report.proxy);
  if (!proxy) {
    counts.unknown += report.replicas.size() + report.classes.size();
    return;
  }
  listener_.on_report(*proxy);
  auto& sender = *senders_[static_cast<std::size_t>(*proxy)];
  const std::lock_guard lock(sender.mutex);
  for (const auto& point : report.replicas) {
    const auto replica = listener_.find_replica(point.replica);
    if (!replica) {
      ++counts.unknown;
      continue;
    }
    if (!count_verdict(sender.spans.add(received, "replica " + point.replica, point.span), counts)) continue;
    ReplicaLoadReport load_report;
    load_report.zone = config_.proxies.known[static_cast<std::size_t>(*proxy)].zone;
    load_report.replica = *replica;
    load_report.attempts = point.attempts;
    load_report.failed = std::min(point.failed, point.attempts);
    const auto succeeded = load_report.attempts - load_report.failed;
    if (succeeded > 0)
      load_report.mean_latency = Nanos(std::llround(std::min(point.handled_seconds / succeeded, 1e6) * 1e9));
    load_report.span = point.span.end - point.span.start;
    load_report.load = load_of(point.load, columns_);
    listener_.on_replica_load_report(load_report, {*proxy, sender.spans.extra_delay(received, point.span)});
  }
  for (const auto& point : report.classes) {
    const auto cls = classes_.find(point.cls);
    if (!cls) {
      ++counts.unknown;
      continue;
    }
    if (!count_verdict(sender.spans.add(received, "class " + point.cls, point.span), counts)) continue;
    listener_.on_demand_report({*cls, point.operations, point.unanswered, point.span.end - point.span.start},
                               {*proxy, sender.spans.extra_delay(received, point.span)});
  }
}

ReportCounts LoadReportProcessor::process(Nanos received,
                                          const std::vector<load_reports::MetricsReport>& reports) {
  ReportCounts counts;
  for (const auto& report : reports) process(received, report, counts);
  const std::lock_guard lock(totals_mutex_);
  totals_.accepted += counts.accepted;
  totals_.repeated += counts.repeated;
  totals_.too_old += counts.too_old;
  totals_.malformed += counts.malformed;
  totals_.unknown += counts.unknown;
  return counts;
}

ReportCounts LoadReportProcessor::totals() const {
  const std::lock_guard lock(totals_mutex_);
  return totals_;
}

}  // namespace ospreypost::load_reports
