#include "policy/load_feedback.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace ospreypost::policy {
namespace {

constexpr unsigned kIterationsBetweenSteps = 6;
/// Off the mean, as a fraction of it, from which a step is made.
constexpr double kStepBand = 0.2;
/// The largest factor of one step.
constexpr double kMaxStepFactor = 1.25;
// Of the listed weight.
constexpr double kMinLoadStep = 0.5;
constexpr double kMaxLoadStep = 1.25;

/// Successes, after their decay, that a mean latency needs.
constexpr double kMinLatencyWeight = 0.2;
constexpr double kMinLoad = 1e-6;

struct LoadSample {
  Replica* replica = nullptr;
  double load = 0;
};

}  // namespace

std::optional<double> LoadFeedback::comparable_load(const Replica& replica, Nanos evidence_time) const {
  const auto latency = replica.outcomes.mean_latency(evidence_time, kMinLatencyWeight);
  if (!signal_.is_reported()) return latency;
  const auto load = signal_.reported_load(replica, evidence_time);
  // Utilization stops at full while a queue goes on growing; only the latency tells then which has the longer
  // one.
  if (!load || signal_.is_count() || !latency || *latency <= 0) return load;
  return *load * std::sqrt(*latency);
}

void LoadFeedback::adjust(ReplicaMap& replicas, Nanos evidence_time, unsigned iteration) const {
  if (iteration % kIterationsBetweenSteps != 0) return;
  std::vector<LoadSample> samples;
  double total = 0;
  for (auto& [id, replica] : replicas) {
    if (!replica.is_ready() || !replica.breaker.is_closed()) continue;
    const auto load = comparable_load(replica, evidence_time);
    if (!load) continue;
    samples.push_back({&replica, *load});
    total += *load;
  }
  if (samples.size() < 2) return;
  const auto count = static_cast<double>(samples.size());
  for (const auto& [replica, load] : samples) {
    const double relative_load = std::max(load, kMinLoad) * count / std::max(total, kMinLoad);
    if (std::abs(relative_load - 1) <= kStepBand) continue;
    replica->load_step *= std::clamp(std::sqrt(1 / relative_load), 1 / kMaxStepFactor, kMaxStepFactor);
    replica->load_step = std::clamp(replica->load_step, kMinLoadStep, kMaxLoadStep);
  }
}

}  // namespace ospreypost::policy
