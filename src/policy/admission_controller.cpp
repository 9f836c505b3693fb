#include "policy/admission_controller.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace ospreypost::policy {
namespace {

/// Maximum fraction of the admitted work that one update sheds.
constexpr double kMaxShedFraction = 0.3;
/// Maximum fraction of the demanded work that one update admits again.
constexpr double kMaxReadmitFraction = 0.5;
/// Attempts per success in any zone above which proxies may not retry.
constexpr double kNoRetryAttempts = 1.6;
/// Minimum fraction of the demanded work that is admitted.
constexpr double kMinAdmittedWork = 0.25;
/// Minimum fraction of the requests of each class that is admitted.
constexpr double kMinAdmittedFraction = 0.1;

std::vector<std::size_t> by_falling_priority(const Values& priorities) {
  std::vector<std::size_t> order(priorities.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t left, std::size_t right) { return priorities[left] > priorities[right]; });
  return order;
}

}  // namespace

AdmissionController::AdmissionController(const Settings& settings)
    : may_shed_(settings.admission == AdmissionMode::share && settings.slices == 0) {}

void AdmissionController::update(const FleetStatistics& fleet) {
  const auto& attempts = fleet.attempts_per_success;
  const double worst_zone = *std::max_element(attempts.begin(), attempts.end());
  retry_mode_ = worst_zone > kNoRetryAttempts ? RetryMode::none : RetryMode::after_rejection_proof;
  if (!may_shed_) return;
  if (fleet.pressure > 1) {
    admitted_work_ *= 1 - kMaxShedFraction * std::min(1.0, fleet.pressure - 1);
  } else {
    admitted_work_ += kMaxReadmitFraction * (1 - std::max(0.0, fleet.pressure));
  }
  admitted_work_ = std::clamp(admitted_work_, kMinAdmittedWork, 1.0);
}

Values AdmissionController::admitted_fractions(const RequestClasses& classes, Nanos evidence_time) const {
  Values fractions(classes.count(), 1.0);
  if (admitted_work_ >= 1) return fractions;
  const auto order = by_falling_priority(classes.priority_by_work());
  double budget = 0;
  for (const auto cls : order) {
    budget += admitted_work_ * classes.demand_of(cls, evidence_time) * classes.work_of(cls);
  }
  for (const auto cls : order) {
    const double work = std::max(kTiny, classes.demand_of(cls, evidence_time) * classes.work_of(cls));
    fractions[cls] = std::clamp(budget / work, kMinAdmittedFraction, 1.0);
    budget = std::max(0.0, budget - work);
  }
  return fractions;
}

}  // namespace ospreypost::policy
