/// How much work is admitted, of which classes, and whether attempts may be retried.
#pragma once

#include "policy/fleet_statistics.h"
#include "policy/numeric.h"
#include "policy/request_classes.h"
#include "policy/settings.h"

namespace ospreypost::policy {

class AdmissionController {
 public:
  explicit AdmissionController(const Settings& settings);
  /// Guards against congestion that feeds itself: what is admitted shrinks at once and grows slowly.
  void update(const FleetStatistics& fleet);

  RetryMode retry_mode() const { return retry_mode_; }
  /// By class, from 0 to 1. The class with the least priority for its work is shed first.
  Values admitted_fractions(const RequestClasses& classes, Nanos evidence_time) const;

 private:
  const bool may_shed_;
  // No other mode allows more for classes of every idempotency.
  RetryMode retry_mode_ = RetryMode::after_rejection_proof;
  double admitted_work_ = 1;  // as a fraction of the work that is asked for
};

}  // namespace ospreypost::policy
