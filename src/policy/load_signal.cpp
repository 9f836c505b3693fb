#include "policy/load_signal.h"

#include <algorithm>

namespace ospreypost::policy {
namespace {

/// Minimum number of samples, after their decay, for a reported load to count.
constexpr double kMinLoadSamples = 0.2;

}  // namespace

LoadSignal::LoadSignal(const Settings& settings) {
  if (settings.reporting == ReportingMode::none) return;
  const bool by_health_check = settings.reporting == ReportingMode::by_health_check;
  if (by_health_check && !settings.health_checks_allowed) return;
  const auto& columns = settings.load_columns;
  for (const auto wanted : {LoadMetric::util, LoadMetric::inflight, LoadMetric::queue}) {
    const auto found = std::find(columns.begin(), columns.end(), wanted);
    if (found == columns.end()) continue;
    column_ = static_cast<std::size_t>(found - columns.begin());
    is_count_ = wanted != LoadMetric::util;
    needs_health_checks_ = by_health_check;
    return;
  }
}

void LoadSignal::record(Replica& replica, const std::vector<float>& load, const EvidenceClock& clock) const {
  if (!column_ || *column_ >= load.size() || clock.now() < replica.reports_accepted_from) return;
  replica.outcomes.load.add(clock.evidence_time(), load[*column_]);
  replica.outcomes.load_samples.add(clock.evidence_time(), 1);
}

std::optional<double> LoadSignal::reported_load(const Replica& replica, Nanos evidence_time) const {
  const double samples = replica.outcomes.load_samples.read(evidence_time);
  if (!column_ || samples < kMinLoadSamples) return std::nullopt;
  const double mean = replica.outcomes.load.read(evidence_time) / samples;
  const double load = mean / (is_count_ ? replica.endpoint.weight : 1);
  // Invalid reports, such as negative values or NaN, are ignored.
  if (load >= 0) return load;
  return std::nullopt;
}

}  // namespace ospreypost::policy
