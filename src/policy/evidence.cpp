#include "policy/evidence.h"

#include <algorithm>
#include <cmath>

#include "policy/numeric.h"

namespace ospreypost::policy {

void DecayingSum::add(Nanos now, double amount) {
  value_ = read(now) + amount;
  updated_ = now;
}

double DecayingSum::read(Nanos now) const {
  return value_ * std::exp2(-to_seconds(now - updated_) / to_seconds(half_life_));
}

void EvidenceClock::advance(Nanos now) {
  evidence_time_ += from_seconds(to_seconds(now - now_) / dilation_);
  now_ = now;
}

void EvidenceClock::add_report(std::uint32_t attempts, Nanos span) {
  span_seconds_.add(evidence_time_, attempts * to_seconds(span));
  attempts_.add(evidence_time_, attempts);
  dilation_ = std::max(1.0, report_span_seconds() / to_seconds(kEvidenceHalfLife));
}

double EvidenceClock::report_span_seconds() const {
  const double mean_span = span_seconds_.read(evidence_time_) / std::max(1.0, attempts_.read(evidence_time_));
  return std::max(2 * to_seconds(control_interval_), mean_span);
}

std::optional<double> OutcomeStatistics::mean_latency(Nanos evidence_time, double min_weight) const {
  const double weight = latency_weight.read(evidence_time);
  if (weight < min_weight) return std::nullopt;
  return latency_seconds.read(evidence_time) / weight;
}

}  // namespace ospreypost::policy
