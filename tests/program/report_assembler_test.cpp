#include "replay/report_assembler.h"

#include <gtest/gtest.h>

namespace ospreypost::replay {
namespace {

using namespace std::chrono_literals;

constexpr ProxyId kProxy{1};

LineOrigin origin_at(Nanos arrived, Nanos span = 1s) { return {arrived, kProxy, 5ms, span}; }

simulation::ReplicaLine attempts_at(std::uint32_t replica) { return {ReplicaId{replica}, 9, 1, 80ms, {}}; }

simulation::DemandLine demand_of(std::uint16_t cls) { return {ClassId{cls}, 10, 1}; }

TEST(ReportAssemblerTest, JoinsLinesThatArriveTogetherIntoOneReport) {
  ReportAssembler assembler;
  assembler.add_replica_line(origin_at(10s), attempts_at(1));
  assembler.add_replica_line(origin_at(10s + 20ms), attempts_at(2));
  assembler.add_demand_line(origin_at(10s + 40ms), demand_of(0));
  const auto reports = assembler.take_reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].proxy, kProxy);
  EXPECT_EQ(reports[0].arrived, 10s);
  EXPECT_EQ(reports[0].to, 10s - 5ms);
  EXPECT_EQ(reports[0].from, 9s - 5ms);
  EXPECT_EQ(reports[0].replica_lines.size(), 2U);
  EXPECT_EQ(reports[0].demand_lines.size(), 1U);
}

TEST(ReportAssemblerTest, BeginsAReportAfterAPauseOrWithAnotherSpan) {
  ReportAssembler assembler;
  assembler.add_replica_line(origin_at(10s), attempts_at(1));
  assembler.add_replica_line(origin_at(10s + 51ms), attempts_at(2));
  assembler.add_replica_line(origin_at(10s + 52ms, 2s), attempts_at(3));
  EXPECT_EQ(assembler.take_reports().size(), 3U);
}

TEST(ReportAssemblerTest, BeginsAReportWhereAReplicaOrClassRepeats) {
  ReportAssembler assembler;
  assembler.add_replica_line(origin_at(10s), attempts_at(1));
  assembler.add_replica_line(origin_at(10s), attempts_at(1));
  assembler.add_demand_line(origin_at(10s), demand_of(0));
  assembler.add_demand_line(origin_at(10s), demand_of(0));
  EXPECT_EQ(assembler.take_reports().size(), 3U);
}

TEST(ReportAssemblerTest, BeginsAReportWithAReplicaAfterTheDemand) {
  ReportAssembler assembler;
  assembler.add_demand_line(origin_at(10s), demand_of(0));
  assembler.add_replica_line(origin_at(10s), attempts_at(1));
  EXPECT_EQ(assembler.take_reports().size(), 2U);
}

TEST(ReportAssemblerTest, BeginsAReportInANewIncarnation) {
  ReportAssembler assembler;
  assembler.add_replica_line(origin_at(10s), attempts_at(1));
  assembler.begin_incarnation();
  assembler.add_replica_line(origin_at(10s), attempts_at(2));
  EXPECT_EQ(assembler.take_reports().size(), 2U);
}

TEST(ReportAssemblerTest, AttributesLinesJustBeforeADemandOfTheSameSpan) {
  ReportAssembler assembler;
  assembler.add_unattributed_line(9s, 1s, attempts_at(1));
  assembler.add_unattributed_line(10s, 2s, attempts_at(2));
  assembler.add_unattributed_line(10s, 1s, attempts_at(3));
  assembler.add_demand_line(origin_at(10s + 10ms), demand_of(0));
  EXPECT_EQ(assembler.attributed_lines(), 1U);
  const auto reports = assembler.take_reports();
  ASSERT_EQ(reports.size(), 1U);
  ASSERT_EQ(reports[0].replica_lines.size(), 1U);
  EXPECT_EQ(reports[0].replica_lines[0].replica, ReplicaId{3});
}

}  // namespace
}  // namespace ospreypost::replay
