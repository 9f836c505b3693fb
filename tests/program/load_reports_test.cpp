// Tests of load reports: the check of their time spans, their processing, and their OTLP encoding.
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

// Spans arrive in any order, repeat and overlap: a span is accepted if and only if it overlaps no span
// accepted before, so no time is counted twice.
RC_GTEST_PROP(ReportSpans, CountNoTimeTwice, ()) {
  load_reports::ReportSpans spans(30s);
  std::set<int> counted;  // unit: tenths of a second
  for (int n = *rc::gen::inRange(1, 80); n > 0; --n) {
    const int start = *rc::gen::inRange(0, 150), length = *rc::gen::inRange(1, 30);
    const Span span{1000s + start * 100ms, 1000s + (start + length) * 100ms};
    bool overlaps = false;
    for (int tenth = start; tenth < start + length; ++tenth) overlaps = overlaps || counted.contains(tenth);
    const auto verdict = spans.add(5020s, "replica a", span);
    RC_ASSERT(verdict == (overlaps ? SpanVerdict::repeated : SpanVerdict::accepted));
    for (int tenth = start; tenth < start + length && !overlaps; ++tenth) counted.insert(tenth);
  }
}

TEST(ReportSpans, KeepSubjectsApartAndRejectInvalidLengths) {
  load_reports::ReportSpans spans(30s);
  EXPECT_EQ(spans.add(10s, "a", {1s, 2s}), SpanVerdict::accepted);
  EXPECT_EQ(spans.add(10s, "b", {1s, 2s}), SpanVerdict::accepted);
  EXPECT_EQ(spans.add(10s, "a", {2s, 2s}), SpanVerdict::malformed);
  EXPECT_EQ(spans.add(10s, "a", {2s, 60s}), SpanVerdict::malformed);
}

TEST(ReportSpans, RejectOldSpansUntilTheSendersClockIsFoundToBeReset) {
  load_reports::ReportSpans spans(30s);
  EXPECT_EQ(spans.add(1000s, "a", {999s, 1000s}), SpanVerdict::accepted);
  EXPECT_EQ(spans.add(1040s, "a", {1000s, 1001s}), SpanVerdict::too_old);
  // A repeated late report does not show that the clock was reset; 3 consecutive spans on another clock do.
  EXPECT_EQ(spans.add(1041s, "a", {1000s, 1001s}), SpanVerdict::too_old);
  EXPECT_EQ(spans.add(1042s, "a", {500s, 501s}), SpanVerdict::too_old);
  EXPECT_EQ(spans.add(1043s, "a", {501s, 502s}), SpanVerdict::too_old);
  EXPECT_EQ(spans.add(1044s, "a", {502s, 503s}), SpanVerdict::accepted);
  EXPECT_EQ(spans.add(1045s, "a", {503s, 504s}), SpanVerdict::accepted);
}

// Guards against a sender whose ever new short spans fill the memory. None of them is counted twice for that.
TEST(ReportSpans, RememberFewOfManyShortSpans) {
  load_reports::ReportSpans spans(30s);
  const auto span = [](int number) { return Span{1000s + number * 10us, 1000s + number * 10us + 1us}; };
  for (int number = 0; number < 10'000; ++number)
    ASSERT_EQ(spans.add(1001s, "a", span(number)), SpanVerdict::accepted);
  EXPECT_LE(spans.remembered_spans(), 100U);
  for (int number = 0; number < 10'000; ++number)
    ASSERT_EQ(spans.add(1001s, "a", span(number)), SpanVerdict::repeated);
}

// Guards against memory that grows with each replica that ever existed.
TEST(ReportSpans, ForgetReplicasThatAreGone) {
  load_reports::ReportSpans spans(30s);
  for (int second = 0; second < 10'000; ++second) {
    const Nanos end = 1000s + second * 1s;
    ASSERT_EQ(spans.add(end, "replica " + std::to_string(second), {end - 1s, end}), SpanVerdict::accepted);
  }
  EXPECT_LE(spans.remembered_spans(), 300U);
}

struct RecordingListener : load_reports::LoadReportListener {
  std::optional<ReplicaId> find_replica(std::string_view name) const override {
    if (name == "unit-1") return ReplicaId{4};
    return std::nullopt;
  }
  void on_replica_load_report(const ReplicaLoadReport& report, const record::Origin& origin) override {
    replica_reports.push_back(report);
    origins.push_back(origin);
  }
  void on_demand_report(const DemandReport& report, const record::Origin&) override {
    demand_reports.push_back(report);
  }
  void on_report(ProxyId proxy) override { reporters.push_back(proxy); }
  std::vector<ReplicaLoadReport> replica_reports;
  std::vector<record::Origin> origins;
  std::vector<DemandReport> demand_reports;
  std::vector<ProxyId> reporters;
};

TEST(LoadReportProcessor, CountsAReportOnceAndRejectsUnknownNames) {
  const auto config = test::small_config();
  RecordingListener listener;
  load_reports::LoadReportProcessor processor(config, listener);
  load_reports::MetricsReport report;
  report.proxy = "forwarder-2";
  report.replicas.push_back({"unit-1", {100s, 101s}, 10, 4, 3.0, {{"util", 0.5}}});
  report.replicas.push_back({"unit-9", {100s, 101s}, 10, 4, 3.0, {}});
  report.classes.push_back({"sign-job", {100s, 101s}, 20, 2});
  report.classes.push_back({"unknown-class", {100s, 101s}, 20, 2});
  const auto parsed = load_reports::parse_metrics(load_reports::write_metrics(report));
  const auto first = processor.process(101s, parsed);
  EXPECT_EQ(first.accepted, 2U);
  EXPECT_EQ(first.unknown, 2U);
  EXPECT_EQ(processor.process(102s, parsed).repeated, 2U);
  ASSERT_EQ(listener.replica_reports.size(), 1U);
  EXPECT_EQ(listener.replica_reports[0].replica, ReplicaId{4});
  EXPECT_EQ(listener.replica_reports[0].zone, ZoneId{1});
  EXPECT_EQ(listener.replica_reports[0].failed, 4U);
  EXPECT_EQ(listener.replica_reports[0].mean_latency, 500ms);
  EXPECT_EQ(listener.replica_reports[0].load, std::vector<float>{0.5F});
  ASSERT_EQ(listener.demand_reports.size(), 1U);
  EXPECT_EQ(listener.demand_reports[0].operations, 20U);
  report.proxy = "unknown-proxy";
  EXPECT_EQ(processor.process(103s, {report}).unknown, 4U);
  EXPECT_EQ(listener.reporters.size(), 2U);
}

TEST(Otlp, RejectsInvalidRequestsAndSkipsUnsupportedMetrics) {
  EXPECT_THROW(load_reports::parse_metrics("{"), net::Error);
  EXPECT_THROW(load_reports::parse_metrics("[1]"), net::Error);
  EXPECT_THROW(load_reports::parse_metrics(R"({"resourceMetrics": 3})"), net::Error);
  const auto reports = load_reports::parse_metrics(R"({"resourceMetrics":[{"scopeMetrics":[{"metrics":[
      {"name":"ospreypost.tries","sum":{"aggregationTemporality":2,"dataPoints":[{"asInt":"3"}]}},
      {"name":"cpu","gauge":{"dataPoints":[{"asDouble":0.5}]}}, 7]}]}]})");
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].points, 2U);
  EXPECT_EQ(reports[0].unsupported, 2U);
  EXPECT_TRUE(reports[0].replicas.empty());
}

}  // namespace
}  // namespace ospreypost
