#include "simulation/evidence.h"

#include <algorithm>

namespace ospreypost::simulation {
namespace {

constexpr int kRounds = 12;  // more sharpen noise

// Calls `with` for each bin that a line covers, with the share of the line's span in it.
template <typename With>
void spread(const ReplicaReport& line, std::size_t bins, With with) {
  const Nanos from = std::max(line.from, Nanos{});
  const double span = static_cast<double>((line.to - from).count());
  if (span <= 0) return;
  for (auto bin = static_cast<std::size_t>(from / kBin); bin < bins; ++bin) {
    const Nanos begin = std::max<Nanos>(from, static_cast<Nanos::rep>(bin) * kBin);
    const Nanos end = std::min<Nanos>(line.to, static_cast<Nanos::rep>(bin + 1) * kBin);
    if (end <= begin) return;
    with(bin, static_cast<double>((end - begin).count()) / span);
  }
}

}  // namespace

std::vector<Evidence> evidence_of(const std::vector<ReplicaReport>& lines, Nanos length) {
  const auto bins = static_cast<std::size_t>(length / kBin) + 1;
  std::vector<Evidence> evidence(bins);
  std::vector<double> failed(bins);
  for (const auto& line : lines) {
    spread(line, bins, [&](std::size_t bin, double share) {
      auto& at = evidence[bin];
      at.attempts += line.attempts * share;
      at.handled += (line.attempts - line.failed) * share;
      at.handled_seconds += line.handled_seconds * share;
      failed[bin] += line.failed * share;
      if (line.util) at.util += *line.util * share, at.utils += share;
    });
  }
  for (std::size_t bin = 0; bin < bins; ++bin)
    evidence[bin].failure_ratio = evidence[bin].any() ? failed[bin] / evidence[bin].attempts : 0;
  std::vector<double> scaled(bins), weight(bins);
  for (int round = 0; round < kRounds; ++round) {
    std::fill(scaled.begin(), scaled.end(), 0);
    std::fill(weight.begin(), weight.end(), 0);
    for (const auto& line : lines) {
      if (line.attempts <= 0) continue;
      double expected = 0;
      spread(line, bins, [&](std::size_t bin, double share) {
        expected += line.attempts * share * evidence[bin].failure_ratio;
      });
      const double more = expected > 1e-12 ? line.failed / expected : 1;
      spread(line, bins, [&](std::size_t bin, double share) {
        scaled[bin] += line.attempts * share * more;
        weight[bin] += line.attempts * share;
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
