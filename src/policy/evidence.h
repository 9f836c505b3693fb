/// Recent observations: decaying sums, the clock by which they decay, and the outcomes of one replica.
#pragma once

#include <cstdint>
#include <optional>

#include "policy/types.h"

namespace ospreypost::policy {

/// Half-life of observations of replicas.
inline constexpr Nanos kEvidenceHalfLife = std::chrono::seconds(2);
/// Half-life of observations of demand.
inline constexpr Nanos kDemandHalfLife = std::chrono::seconds(4);

/// A sum in which each addition decays exponentially with the given half-life.
class DecayingSum {
 public:
  explicit DecayingSum(Nanos half_life) : half_life_(half_life) {}
  void add(Nanos now, double amount);
  double read(Nanos now) const;

 private:
  Nanos half_life_;
  Nanos updated_{};
  double value_ = 0;
};

/// Keeps the current time and the evidence time, which is the time by which observations decay.
/// The larger the fleet, the rarer are the load reports and the longer are the spans that they cover.
/// Evidence time is dilated (runs slower than real time) so that no half-life is shorter than a report's
/// span.
class EvidenceClock {
 public:
  EvidenceClock(Nanos now, Nanos control_interval) : control_interval_(control_interval), now_(now) {}
  void advance(Nanos now);
  /// Adjusts the dilation of evidence time to the span of a load report.
  void add_report(std::uint32_t attempts, Nanos span);

  Nanos now() const { return now_; }
  /// Returns the time to pass to decaying sums when reading them or adding to them.
  Nanos evidence_time() const { return evidence_time_; }
  /// Returns the mean span of recent load reports in seconds. Reports are weighted by their attempts, because
  /// a report with few attempts covers a long span only while its attempts are collected.
  double report_span_seconds() const;

 private:
  Nanos control_interval_;
  Nanos now_;
  Nanos evidence_time_{};
  double dilation_ = 1;
  DecayingSum span_seconds_{kDemandHalfLife};
  DecayingSum attempts_{kDemandHalfLife};
};

/// Recent outcomes of the proxies' attempts at one replica.
struct OutcomeStatistics {
  DecayingSum attempts{kEvidenceHalfLife};
  DecayingSum failed{kEvidenceHalfLife};
  DecayingSum latency_seconds{kEvidenceHalfLife};  ///< sum of the latencies of successes
  DecayingSum latency_weight{kEvidenceHalfLife};   ///< number of successes in latency_seconds
  DecayingSum load{kEvidenceHalfLife};
  DecayingSum load_samples{kEvidenceHalfLife};
  double successes = 0;  ///< number of all successes, without decay

  /// Returns the mean latency in seconds.
  /// Empty if the number of successes, after their decay, is below `min_weight`.
  std::optional<double> mean_latency(Nanos evidence_time, double min_weight) const;
};

}  // namespace ospreypost::policy
