#include "policy/load_feedback.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace ospreypost::policy {
namespace {

constexpr unsigned kIterationsBetweenSteps = 6;
/// Relative deviation from the mean load up to which a replica's weight is not corrected.
constexpr double kStepBand = 0.2;
/// Maximum factor by which one step raises or lowers a replica's load correction.
constexpr double kMaxStepFactor = 1.25;
// Range of the load correction, as a factor of the listed weight.
constexpr double kMinLoadCorrection = 0.5;
constexpr double kMaxLoadCorrection = 1.25;

/// Minimum number of successes, after their decay, for a mean latency to count.
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
  // Utilization cannot exceed 1 while a queue keeps growing. Among full replicas only the latency shows which
  // replica has the longer queue.
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
    replica->load_correction *= std::clamp(std::sqrt(1 / relative_load), 1 / kMaxStepFactor, kMaxStepFactor);
    replica->load_correction = std::clamp(replica->load_correction, kMinLoadCorrection, kMaxLoadCorrection);
  }
}

}  // namespace ospreypost::policy
