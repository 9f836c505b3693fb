/// What was observed lately: sums that decay, the clock by which they do, and a replica's outcomes.
#pragma once

#include <cstdint>
#include <optional>

#include "policy/types.h"

namespace ospreypost::policy {

/// Half-life of what is known of replicas.
inline constexpr Nanos kEvidenceHalfLife = std::chrono::seconds(2);
/// Half-life of what is known of demand.
inline constexpr Nanos kDemandHalfLife = std::chrono::seconds(4);

/// A sum whose past additions halve with each half-life.
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

/// The time and the evidence time. The more replicas and proxies there are, the more rarely each report
/// comes; evidence time then runs slower, so that no half-life is shorter than the span of a report.
class EvidenceClock {
 public:
  EvidenceClock(Nanos now, Nanos control_interval) : control_interval_(control_interval), now_(now) {}
  void advance(Nanos now);
  /// Counts the span of a report for the dilation of evidence time.
  void add_report(std::uint32_t attempts, Nanos span);

  Nanos now() const { return now_; }
  /// The time by which decaying sums are read and added to.
  Nanos evidence_time() const { return evidence_time_; }
  /// Seconds that a report covers now, weighted by attempts, as a thin report waits longer for them.
  double report_span_seconds() const;

 private:
  Nanos control_interval_;
  Nanos now_;
  Nanos evidence_time_{};
  double dilation_ = 1;
  DecayingSum span_seconds_{kDemandHalfLife};
  DecayingSum attempts_{kDemandHalfLife};
};

/// What proxies saw of one replica lately.
struct OutcomeStatistics {
  DecayingSum attempts{kEvidenceHalfLife};
  DecayingSum failed{kEvidenceHalfLife};
  DecayingSum latency_seconds{kEvidenceHalfLife};  ///< weighted by successes
  DecayingSum latency_weight{kEvidenceHalfLife};
  DecayingSum load{kEvidenceHalfLife};
  DecayingSum load_samples{kEvidenceHalfLife};
  double successes = 0;  ///< all of them, without decay

  /// Mean latency in seconds; empty if fewer successes than `min_weight` tell of it.
  std::optional<double> mean_latency(Nanos evidence_time, double min_weight) const;
};

}  // namespace ospreypost::policy
