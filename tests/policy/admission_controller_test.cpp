#include "policy/admission_controller.h"

#include <gtest/gtest.h>

#include "policy/controller_fixture.h"

namespace ospreypost::policy {
namespace {

using test::small_settings;
using namespace std::chrono_literals;

FleetStatistics fleet_with(double pressure, double attempts_per_success = 1) {
  FleetStatistics fleet(3);
  fleet.pressure = pressure;
  fleet.attempts_per_success[1] = attempts_per_success;
  return fleet;
}

/// Returns two classes with equal demand, of which class 1 has more priority per unit of work.
RequestClasses classes_with_equal_demand() {
  Settings settings = small_settings();
  settings.classes[1].priority_weight = 5;
  RequestClasses classes(settings);
  classes.add_demand(0, 10, 0s);
  classes.add_demand(1, 10, 0s);
  return classes;
}

TEST(AdmissionControllerTest, AdmitsEverythingWithoutOverload) {
  AdmissionController admission(small_settings());
  admission.update(fleet_with(1.0));
  EXPECT_EQ(admission.admitted_fractions(classes_with_equal_demand(), 0s), (Values{1, 1}));
}

TEST(AdmissionControllerTest, ShedsTheClassWithTheLowestPriorityFirst) {
  AdmissionController admission(small_settings());
  admission.update(fleet_with(2.0));
  const auto fractions = admission.admitted_fractions(classes_with_equal_demand(), 0s);
  // 0.7 of the total work is admitted: all of class 1, and 0.4 of class 0.
  EXPECT_NEAR(fractions[0], 0.4, 1e-9);
  EXPECT_EQ(fractions[1], 1);
}

TEST(AdmissionControllerTest, NeverShedsAllOfAClass) {
  AdmissionController admission(small_settings());
  for (int updates = 0; updates < 20; ++updates) admission.update(fleet_with(5.0));
  const auto fractions = admission.admitted_fractions(classes_with_equal_demand(), 0s);
  EXPECT_DOUBLE_EQ(fractions[0], 0.1);
  EXPECT_NEAR(fractions[1], 0.5, 1e-9) << "a quarter of the total work is admitted";
}

TEST(AdmissionControllerTest, AdmittedWorkRisesSlowlyOnceThereIsCapacity) {
  AdmissionController admission(small_settings());
  for (int updates = 0; updates < 20; ++updates) admission.update(fleet_with(5.0));
  admission.update(fleet_with(0.9));
  const auto fractions = admission.admitted_fractions(classes_with_equal_demand(), 0s);
  EXPECT_NEAR(fractions[1], 0.6, 1e-9) << "0.05 more of the total work is admitted";
  for (int updates = 0; updates < 20; ++updates) admission.update(fleet_with(0.5));
  EXPECT_EQ(admission.admitted_fractions(classes_with_equal_demand(), 0s), (Values{1, 1}));
}

TEST(AdmissionControllerTest, ShedsOnlyWhereProxiesAdmitByFraction) {
  Settings settings = small_settings();
  settings.admission = AdmissionMode::ignored;
  AdmissionController admission(settings);
  admission.update(fleet_with(5.0));
  EXPECT_EQ(admission.admitted_fractions(classes_with_equal_demand(), 0s), (Values{1, 1}));
}

TEST(AdmissionControllerTest, RetriesAreDisabledWhileAnyZoneIsCongested) {
  AdmissionController admission(small_settings());
  EXPECT_EQ(admission.retry_mode(), RetryMode::after_rejection_proof);
  admission.update(fleet_with(0.5, 1.7));
  EXPECT_EQ(admission.retry_mode(), RetryMode::none);
  admission.update(fleet_with(0.5, 1.5));
  EXPECT_EQ(admission.retry_mode(), RetryMode::after_rejection_proof);
}

}  // namespace
}  // namespace ospreypost::policy
