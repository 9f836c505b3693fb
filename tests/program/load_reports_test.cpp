// Reports are told apart by their spans.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "load_reports/load_report_processor.h"
#include "program/support.h"

namespace ospreypost {
namespace {

using namespace std::chrono_literals;
using load_reports::Span;
using load_reports::SpanVerdict;

// However spans overlap, repeat and come out of order: no moment is counted twice, and what touches nothing
// that was counted counts.
RC_GTEST_PROP(ReportSpans, CountNoMomentTwice, ()) {
  load_reports::ReportSpans spans(30s);
  std::set<int> counted;  // tenths of a second
  for (int n = *rc::gen::inRange(1, 80); n > 0; --n) {
    const int start = *rc::gen::inRange(0, 150), length = *rc::gen::inRange(1, 30);
    const Span span{1000s + start * 100ms, 1000s + (start + length) * 100ms};
    bool overlaps = false;
    for (int at = start; at < start + length; ++at) overlaps = overlaps || counted.contains(at);
    const auto judged = spans.take(5020s, "replica a", span);
    RC_ASSERT(judged == (overlaps ? SpanVerdict::repeated : SpanVerdict::counts));
    for (int at = start; at < start + length && !overlaps; ++at) counted.insert(at);
  }
}

TEST(ReportSpans, AreOfOneSubjectAndOfSoundLength) {
  load_reports::ReportSpans spans(30s);
  EXPECT_EQ(spans.take(10s, "a", {1s, 2s}), SpanVerdict::counts);
  EXPECT_EQ(spans.take(10s, "b", {1s, 2s}), SpanVerdict::counts);
  EXPECT_EQ(spans.take(10s, "a", {2s, 2s}), SpanVerdict::malformed);
  EXPECT_EQ(spans.take(10s, "a", {2s, 60s}), SpanVerdict::malformed);
}

TEST(ReportSpans, TooOldIsRefusedUntilTheSendersClockIsSeenToHaveBeenSet) {
  load_reports::ReportSpans spans(30s);
  EXPECT_EQ(spans.take(1000s, "a", {999s, 1000s}), SpanVerdict::counts);
  EXPECT_EQ(spans.take(1040s, "a", {1000s, 1001s}), SpanVerdict::too_old);
  // One late report repeated proves no new clock; a row of reports that go on does.
  EXPECT_EQ(spans.take(1041s, "a", {1000s, 1001s}), SpanVerdict::too_old);
  EXPECT_EQ(spans.take(1042s, "a", {500s, 501s}), SpanVerdict::too_old);
  EXPECT_EQ(spans.take(1043s, "a", {501s, 502s}), SpanVerdict::too_old);
  EXPECT_EQ(spans.take(1044s, "a", {502s, 503s}), SpanVerdict::counts);
  EXPECT_EQ(spans.take(1045s, "a", {503s, 504s}), SpanVerdict::counts);
}

struct Heard : load_reports::LoadReportListener {
  std::optional<ReplicaId> find_replica(std::string_view name) const override {
    if (name == "unit-1") return ReplicaId{4};
    return std::nullopt;
  }
  void on_replica_load_report(const ReplicaLoadReport& sum, const record::Origin& origin) override {
    sums.push_back(sum);
    origins.push_back(origin);
  }
  void on_demand_report(const DemandReport& demand, const record::Origin&) override {
    demands.push_back(demand);
  }
  void on_report(ProxyId proxy) override { reporters.push_back(proxy); }
  std::vector<ReplicaLoadReport> sums;
  std::vector<record::Origin> origins;
  std::vector<DemandReport> demands;
  std::vector<ProxyId> reporters;
};

TEST(LoadReportProcessor, TakesAReportOnceAndMakesNobodyUp) {
  const auto config = test::small_config();
  Heard heard;
  load_reports::LoadReportProcessor intake(config, heard);
  load_reports::MetricsReport report;
  report.proxy = "forwarder-2";
  report.replicas.push_back({"unit-1", {100s, 101s}, 10, 4, 3.0, {{"util", 0.5}}});
  report.replicas.push_back({"unit-9", {100s, 101s}, 10, 4, 3.0, {}});
  report.classes.push_back({"sign-job", {100s, 101s}, 20, 2});
  report.classes.push_back({"dance", {100s, 101s}, 20, 2});
  const auto parsed = load_reports::parse_metrics(load_reports::write_metrics(report));
  const auto first = intake.process(101s, parsed);
  EXPECT_EQ(first.taken, 2U);
  EXPECT_EQ(first.unknown, 2U);
  EXPECT_EQ(intake.process(102s, parsed).repeated, 2U);
  ASSERT_EQ(heard.sums.size(), 1U);
  EXPECT_EQ(heard.sums[0].replica, ReplicaId{4});
  EXPECT_EQ(heard.sums[0].zone, ZoneId{1});
  EXPECT_EQ(heard.sums[0].failed, 4U);
  EXPECT_EQ(heard.sums[0].mean_latency, 500ms);
  EXPECT_EQ(heard.sums[0].load, std::vector<float>{0.5F});
  ASSERT_EQ(heard.demands.size(), 1U);
  EXPECT_EQ(heard.demands[0].operations, 20U);
  report.proxy = "stranger";
  EXPECT_EQ(intake.process(103s, {report}).unknown, 4U);
  EXPECT_EQ(heard.reporters.size(), 2U);
}

TEST(Otlp, RefusesWhatIsNoRequestAndLeavesForeignMetricsAlone) {
  EXPECT_THROW(load_reports::parse_metrics("{"), net::Error);
  EXPECT_THROW(load_reports::parse_metrics("[1]"), net::Error);
  EXPECT_THROW(load_reports::parse_metrics(R"({"resourceMetrics": 3})"), net::Error);
  const auto reports = load_reports::parse_metrics(R"({"resourceMetrics":[{"scopeMetrics":[{"metrics":[
      {"name":"ospreypost.tries","sum":{"aggregationTemporality":2,"dataPoints":[{"asInt":"3"}]}},
      {"name":"cpu","gauge":{"dataPoints":[{"asDouble":0.5}]}}, 7]}]}]})");
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].points, 2U);
  EXPECT_EQ(reports[0].foreign, 2U);
  EXPECT_TRUE(reports[0].replicas.empty());
}

}  // namespace
}  // namespace ospreypost
