/// Decides how much work is admitted, which classes are shed first, and whether attempts may be retried.
#pragma once

#include "policy/fleet_statistics.h"
#include "policy/numeric.h"
#include "policy/request_classes.h"
#include "policy/settings.h"

namespace ospreypost::policy {

class AdmissionController {
 public:
  explicit AdmissionController(const Settings& settings);
  /// Adjusts the admitted work and the retry mode to the state of the fleet.
  /// Admitted work falls at once under overload and rises slowly afterwards, because a fast rise would let
  /// failed and retried attempts sustain the congestion.
  void update(const FleetStatistics& fleet);

  RetryMode retry_mode() const { return retry_mode_; }
  /// Returns the admitted fraction of the work demanded.
  double admitted_work() const { return admitted_work_; }
  /// Returns the admitted fraction of each class, from 0 to 1.
  /// The class with the lowest priority per unit of work is shed first.
  Values admitted_fractions(const RequestClasses& classes, Nanos evidence_time) const;

 private:
  const bool may_shed_;
  // after_rejection_proof is the most permissive mode that is safe for every class, idempotent or not.
  RetryMode retry_mode_ = RetryMode::after_rejection_proof;
  double admitted_work_ = 1;  // admitted fraction of the work demanded
};

}  // namespace ospreypost::policy
