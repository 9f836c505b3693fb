#include "load_reports/load_report_processor.h"

#include <cmath>

namespace ospreypost::load_reports {
namespace {

// Absent columns read as none at all: half a load report would be taken for an idle replica.
std::vector<float> load_of(const std::map<std::string, double>& load,
                           const std::vector<std::string>& columns) {
  std::vector<float> values;
  for (const auto& column : columns) {
    const auto at = load.find(column);
    if (at == load.end()) return {};
    values.push_back(static_cast<float>(at->second));
  }
  return values;
}

}  // namespace

LoadReportProcessor::LoadReportProcessor(const config::Config& config, LoadReportListener& receiver)
    : config_(config), receiver_(receiver) {
  for (const auto& proxy : config.proxies.known) {
    proxies_.id_of(proxy.name);
    senders_.push_back(std::make_unique<Sender>(config.reports.oldest));
  }
  for (const auto& cls : config.classes) classes_.id_of(cls);
  for (const auto column : config.settings.load_columns) columns_.emplace_back(config::name_of(column));
}

bool LoadReportProcessor::counts(SpanVerdict judgement, ReportCounts& outcome) const {
  switch (judgement) {
    case SpanVerdict::counts:
      ++outcome.taken;
      return true;
    case SpanVerdict::repeated:
      ++outcome.repeated;
      return false;
    case SpanVerdict::too_old:
      ++outcome.too_old;
      return false;
    case SpanVerdict::malformed:
      ++outcome.malformed;
      return false;
  }
  return false;
}

void LoadReportProcessor::process(Nanos received, const load_reports::MetricsReport& report,
                                  ReportCounts& outcome) {
  outcome.malformed += report.foreign;
  const auto proxy = proxies_.find(report.proxy);
  if (!proxy) {
    outcome.unknown += report.replicas.size() + report.classes.size();
    return;
  }
  receiver_.on_report(*proxy);
  auto& sender = *senders_[static_cast<std::size_t>(*proxy)];
  const std::lock_guard held(sender.lock);
  for (const auto& point : report.replicas) {
    const auto replica = receiver_.find_replica(point.replica);
    if (!replica) {
      ++outcome.unknown;
      continue;
    }
    if (!counts(sender.spans.take(received, "replica " + point.replica, point.span), outcome)) continue;
    ReplicaLoadReport sum;
    sum.zone = config_.proxies.known[static_cast<std::size_t>(*proxy)].zone;
    sum.replica = *replica;
    sum.attempts = point.attempts;
    sum.failed = std::min(point.failed, point.attempts);
    const auto handled = sum.attempts - sum.failed;
    if (handled > 0)
      sum.mean_latency = Nanos(std::llround(std::min(point.handled_seconds / handled, 1e6) * 1e9));
    sum.span = point.span.end - point.span.start;
    sum.load = load_of(point.load, columns_);
    receiver_.on_replica_load_report(sum, {*proxy, sender.spans.late(received, point.span)});
  }
  for (const auto& point : report.classes) {
    const auto cls = classes_.find(point.cls);
    if (!cls) {
      ++outcome.unknown;
      continue;
    }
    if (!counts(sender.spans.take(received, "class " + point.cls, point.span), outcome)) continue;
    receiver_.on_demand_report({*cls, point.operations, point.unanswered, point.span.end - point.span.start},
                               {*proxy, sender.spans.late(received, point.span)});
  }
}

ReportCounts LoadReportProcessor::process(Nanos received,
                                          const std::vector<load_reports::MetricsReport>& reports) {
  ReportCounts outcome;
  for (const auto& report : reports) process(received, report, outcome);
  const std::lock_guard held(totals_lock_);
  totals_.taken += outcome.taken;
  totals_.repeated += outcome.repeated;
  totals_.too_old += outcome.too_old;
  totals_.malformed += outcome.malformed;
  totals_.unknown += outcome.unknown;
  return outcome;
}

ReportCounts LoadReportProcessor::totals() const {
  const std::lock_guard held(totals_lock_);
  return totals_;
}

}  // namespace ospreypost::load_reports
