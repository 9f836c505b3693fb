#include "simulation/evidence.h"

#include <algorithm>

namespace ospreypost::simulation {
namespace {

constexpr int kIterations = 12;  // more iterations would amplify noise

// Calls `visit` for each bin that the report's span overlaps, with the bin's share of the span.
template <typename Visit>
void for_each_bin(const ReplicaReport& report, std::size_t bins, Visit visit) {
  const Nanos from = std::max(report.from, Nanos{});
  const double span = static_cast<double>((report.to - from).count());
  if (span <= 0) return;
  for (auto bin = static_cast<std::size_t>(from / kBin); bin < bins; ++bin) {
    const Nanos begin = std::max<Nanos>(from, static_cast<Nanos::rep>(bin) * kBin);
    const Nanos end = std::min<Nanos>(report.to, static_cast<Nanos::rep>(bin + 1) * kBin);
    if (end <= begin) return;
    visit(bin, static_cast<double>((end - begin).count()) / span);
  }
}

}  // namespace

std::vector<Evidence> evidence_of(const std::vector<ReplicaReport>& reports, Nanos length) {
  const auto bins = static_cast<std::size_t>(length / kBin) + 1;
  std::vector<Evidence> evidence(bins);
  std::vector<double> failed(bins);
  for (const auto& report : reports) {
    for_each_bin(report, bins, [&](std::size_t bin, double share) {
      auto& sums = evidence[bin];
      sums.attempts += report.attempts * share;
      sums.handled += (report.attempts - report.failed) * share;
      sums.handled_seconds += report.handled_seconds * share;
      failed[bin] += report.failed * share;
      if (report.util) sums.util += *report.util * share, sums.utils += share;
    });
  }
  for (std::size_t bin = 0; bin < bins; ++bin)
    evidence[bin].failure_ratio = evidence[bin].any() ? failed[bin] / evidence[bin].attempts : 0;
  std::vector<double> scaled(bins), weight(bins);
  for (int iteration = 0; iteration < kIterations; ++iteration) {
    std::fill(scaled.begin(), scaled.end(), 0);
    std::fill(weight.begin(), weight.end(), 0);
    for (const auto& report : reports) {
      if (report.attempts <= 0) continue;
      double expected = 0;
      for_each_bin(report, bins, [&](std::size_t bin, double share) {
        expected += report.attempts * share * evidence[bin].failure_ratio;
      });
      const double correction = expected > 1e-12 ? report.failed / expected : 1;
      for_each_bin(report, bins, [&](std::size_t bin, double share) {
        scaled[bin] += report.attempts * share * correction;
        weight[bin] += report.attempts * share;
      });
    }
    for (std::size_t bin = 0; bin < bins; ++bin) {
      if (weight[bin] > 0)
        evidence[bin].failure_ratio =
            std::clamp(evidence[bin].failure_ratio * scaled[bin] / weight[bin], 0.0, 1.0);
    }
  }
  return evidence;
}

}  // namespace ospreypost::simulation
