// Tests of the fleet model: a fit finds the figures of the fleet that produced the reports, a simulated run
// is deterministic, and figures have bounds for events that the record leaves open.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <numeric>

#include "program/support.h"
#include "simulation/evaluation.h"
#include "simulation/evidence.h"
#include "terms/deployment.h"

namespace ospreypost::simulation {
namespace {

using namespace std::chrono_literals;

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

// --- Evidence of failures

// A simple estimate for comparison, which spreads each report's failures evenly over the report's span.
double even_failure_ratio(const std::vector<ReplicaReport>& reports, std::size_t bin) {
  double attempts = 0, failed = 0;
  for (const auto& report : reports) {
    const Nanos from = std::max(report.from, static_cast<Nanos::rep>(bin) * kBin);
    const Nanos to = std::min(report.to, static_cast<Nanos::rep>(bin + 1) * kBin);
    if (to <= from) continue;
    const double share = seconds(to - from) / seconds(report.to - report.from);
    attempts += share * report.attempts, failed += share * report.failed;
  }
  return attempts > 0 ? failed / attempts : 0;
}

RC_GTEST_PROP(Evidence, KeepsTheNumberOfAttemptsAndValidRatios, ()) {
  std::vector<ReplicaReport> reports;
  double attempts = 0;
  for (int n = *rc::gen::inRange(0, 40); n > 0; --n) {
    const Nanos from = *rc::gen::inRange(0, 9000) * 1ms;
    const double total = *rc::gen::inRange(0, 50), failed = *rc::gen::inRange(0, static_cast<int>(total) + 1);
    reports.push_back({from, from + *rc::gen::inRange(1, 1000) * 1ms, total, failed, total - failed, {}});
    attempts += total;
  }
  const auto evidence = evidence_of(reports, 10s);
  double found = 0;
  for (const auto& bin : evidence) {
    RC_ASSERT(bin.failure_ratio >= 0 && bin.failure_ratio <= 1);
    found += bin.attempts;
  }
  RC_ASSERT(std::abs(found - attempts) < 1e-6 * std::max(1.0, attempts));
}

// Five proxies, whose report spans begin at different times, report a replica that fails from 5 s on.
TEST(Evidence, FindsTheStartOfAFailureFromOverlappingSpans) {
  std::vector<ReplicaReport> reports;
  for (int proxy = 0; proxy < 5; ++proxy) {
    for (Nanos from = proxy * 200ms; from < 9s; from += 1s) {
      const double healthy_share = std::clamp(seconds(5s - from), 0.0, 1.0);
      reports.push_back({from, from + 1s, 20, 20 * (1 - healthy_share), 1, {}});
    }
  }
  const auto evidence = evidence_of(reports, 10s);
  double error = 0, even_spread_error = 0;
  for (std::size_t bin = 10; bin < 40; ++bin) {
    const double truth = bin < 25 ? 0 : 1;
    error += std::abs(evidence[bin].failure_ratio - truth);
    even_spread_error += std::abs(even_failure_ratio(reports, bin) - truth);
  }
  EXPECT_LT(error, even_spread_error / 2);
}

// --- A generated record and fleet

// The small configuration, with the text `original` replaced by `replacement`.
Deployment deployment(const std::string& original = "", const std::string& replacement = "") {
  auto text = test::small_config_text();
  if (!original.empty()) text = test::replace_first(text, original, replacement);
  return terms::deployment_of(config::parse_config(text, "small"));
}

// A record of four replicas and two proxies, with one report per proxy and second. `delay` is added to the
// arrival of the first proxy's reports from 10 s to 20 s, so that they arrive out of order with those of the
// other proxy.
History generated_history(Nanos length, std::uint32_t operations, Nanos delay = {}) {
  History history;
  history.length = length;
  history.lives = {{0s, length}};
  history.replicas = {"east-1", "east-2", "west-1", "west-2"};
  ListEvent list{1ms, EndpointListKind::cached, false, {}};
  for (std::uint32_t n = 0; n < 4; ++n)
    list.entries.push_back(
        {ReplicaId{n}, ZoneId{static_cast<std::uint16_t>(n / 2)}, {}, {}, EndpointPhase::ready, 1, {}});
  history.lists.push_back(list);
  for (std::uint16_t proxy = 0; proxy < 2; ++proxy) {
    history.memberships.push_back({2ms, ProxyId{proxy}, true, ZoneId{proxy}, 10, true});
    for (Nanos from = 1s; from + 1s <= length; from += 1s) {
      const bool delayed = proxy == 0 && from >= 10s && from < 20s;
      history.reports.push_back({ProxyId{proxy},
                                 from,
                                 from + 1s,
                                 from + 1s + (delayed ? delay : 0s),
                                 {},
                                 {{ClassId{0}, operations, 0}, {ClassId{1}, operations / 2, 0}}});
    }
  }
  std::stable_sort(history.reports.begin(), history.reports.end(),
                   [](const auto& a, const auto& b) { return a.arrived < b.arrived; });
  return history;
}

Fleet generated_fleet() {
  Fleet fleet;
  for (std::uint16_t n = 0; n < 4; ++n) {
    ReplicaModel replica;
    replica.zone = ZoneId{static_cast<std::uint16_t>(n / 2)};
    replica.slowness = n == 1 ? 1.6 : 0.8;
    replica.cores = 3;
    fleet.replicas.push_back(replica);
  }
  fleet.work = {0.1, 0.06};
  fleet.variation = 0.5;
  fleet.repeats = {0, 0};
  fleet.push_time = 50ms;
  return fleet;
}

double total(const std::vector<double>& values) { return std::accumulate(values.begin(), values.end(), 0.0); }

TEST(Fit, FindsTheFleetThatProducedTheReports) {
  auto history = generated_history(60s, 20);
  auto truth = generated_fleet();
  truth.replicas[2].spells = {{20s, 26s, 1, 1, 0, 0}};
  history.reports = simulate(history, deployment(), truth, 3).reports;
  const auto found = fit(history, deployment(), Assumption::middle);
  for (std::size_t n = 0; n < 4; ++n) {
    const double slowness = truth.replicas[n].slowness;
    EXPECT_NEAR(found.replicas[n].slowness / found.replicas[0].slowness, slowness / 0.8, 0.2 * slowness / 0.8)
        << n;
    EXPECT_NEAR(found.replicas[n].cores, 3, 1) << n;
  }
  ASSERT_FALSE(found.replicas[2].spells.empty());
  EXPECT_NEAR(seconds(found.replicas[2].spells.front().from), 20, 1.2);
  for (const std::size_t healthy : {0U, 1U, 3U}) {
    for (const auto& spell : found.replicas[healthy].spells) EXPECT_LT(spell.failure_ratio, 0.2) << healthy;
  }
}

TEST(Fit, DistinguishesHangingFromImmediateFailures) {
  for (const double hang_ratio : {0.0, 1.0}) {
    auto history = generated_history(40s, 30);
    auto truth = generated_fleet();
    truth.replicas[2].spells = {{20s, 25s, 1, 1, 0, hang_ratio}};
    history.reports = simulate(history, deployment(), truth, 5).reports;
    const auto found = fit(history, deployment(), Assumption::middle);
    ASSERT_FALSE(found.replicas[2].spells.empty());
    const auto& spell = found.replicas[2].spells.front();
    EXPECT_EQ(spell.hang_ratio > 0.5, hang_ratio > 0.5);
    EXPECT_NEAR(seconds(spell.from), 20, 1.2);
  }
}

// A replica receives no attempts after its last failure. The bounds are a fault that ended at once, and a
// fault that lasted to the end of the record.
TEST(Fit, BoundsAFaultWithoutLaterAttempts) {
  auto history = generated_history(40s, 20);
  for (auto& report : history.reports) {
    if (report.to > 10s && report.to <= 12s) report.replica_lines = {{ReplicaId{2}, 9, 9, {}, {}}};
  }
  const auto fault_end = [&](Assumption assume) {
    const auto fleet = fit(history, deployment(), assume);
    return fleet.replicas[2].spells.empty() ? 0 : seconds(fleet.replicas[2].spells.back().to);
  };
  EXPECT_NEAR(fault_end(Assumption::optimistic), 12, 0.5);
  EXPECT_NEAR(fault_end(Assumption::pessimistic), 40, 0.5);
  EXPECT_GT(fault_end(Assumption::middle), 20);
  EXPECT_LT(fault_end(Assumption::middle), 35);
  EXPECT_GT(fit(history, deployment(), Assumption::middle).unseen, 0.1);
}

TEST(Fit, RejectsARecordOutsideItsLimits) {
  auto history = generated_history(10s, 1);
  history.length = 24h * 365;
  EXPECT_THROW(fit(history, deployment(), Assumption::middle), std::invalid_argument);
  history = generated_history(10s, 1);
  history.reports.front().proxy = ProxyId{77};
  EXPECT_THROW(simulate(history, deployment(), generated_fleet(), 1), std::invalid_argument);
}

// --- A simulated run

TEST(SimulatedRun, IsDeterministicAndDependsOnTheSeed) {
  const auto history = generated_history(30s, 20, 4s);
  auto fleet = generated_fleet();
  fleet.replicas[0].spells = {{8s, 12s, 0.7, 1, 0.3, 0.5}};
  const auto first = simulate(history, deployment(), fleet, 1),
             again = simulate(history, deployment(), fleet, 1);
  EXPECT_EQ(first.service, again.service);
  EXPECT_EQ(first.messages, again.messages);
  ASSERT_EQ(first.shares.size(), again.shares.size());
  for (std::size_t n = 0; n < first.shares.size(); ++n)
    EXPECT_EQ(first.shares[n].by_replica, again.shares[n].by_replica);
  const auto other = simulate(history, deployment(), fleet, 2);
  EXPECT_NE(total(first.service), total(other.service));
}

// Reports arrive at their recorded times: delayed, and after reports of later spans.
TEST(SimulatedRun, DeliversReportsAtTheirRecordedTimes) {
  const auto history = generated_history(30s, 10, 4s);
  const auto run = simulate(history, deployment(), generated_fleet(), 1);
  ASSERT_EQ(run.reports.size(), history.reports.size());
  bool out_of_order = false;
  for (std::size_t n = 0; n < run.reports.size(); ++n) {
    EXPECT_EQ(run.reports[n].arrived, history.reports[n].arrived);
    EXPECT_EQ(run.reports[n].to, history.reports[n].to);
    out_of_order |= n > 0 && run.reports[n].to < run.reports[n - 1].to;
  }
  EXPECT_TRUE(out_of_order);
}

// With another report interval in the configuration, the controller starts other timers and receives other
// reports.
TEST(SimulatedRun, DividesReportsAnewForAnotherInterval) {
  const auto history = generated_history(31s, 10);
  const auto run =
      simulate(history, deployment("every=\"1 s\" load", "every=\"3 s\" load"), generated_fleet(), 1);
  EXPECT_EQ(run.reports.size(), 2 * 10U);
  for (const auto& report : run.reports) EXPECT_EQ(report.to - report.from, 3s);
  std::uint64_t operations = 0;
  for (const auto& report : run.reports) {
    for (const auto& line : report.demand_lines) operations += line.operations;
  }
  EXPECT_EQ(operations, 2 * 30 * (10 + 5U));
}

TEST(SimulatedRun, EjectsAFailingReplicaAndServesFromTheOthers) {
  const auto history = generated_history(40s, 20);
  auto fleet = generated_fleet();
  fleet.replicas[2].spells = {{10s, 30s, 1, 1, 0, 0}};
  const auto run = simulate(history, deployment(), fleet, 1);
  const auto ejection = std::find_if(
      run.withdrawals.begin(), run.withdrawals.end(),
      [](const auto& withdrawal) { return withdrawal.out && withdrawal.replica == ReplicaId{2}; });
  ASSERT_NE(ejection, run.withdrawals.end());
  EXPECT_GT(ejection->at, 10s);
  EXPECT_LT(ejection->at, 16s);
  EXPECT_GT(run.service[35], 0.9);
  EXPECT_TRUE(run.verdict.kept());
}

// The invariant checker receives the simulated run: with a limit that no controller can keep, a rule is
// broken.
TEST(SimulatedRun, IsCheckedForInvariants) {
  auto history = generated_history(30s, 20);
  history.lists.push_back({10500ms,
                           EndpointListKind::changes,
                           false,
                           {{ReplicaId{0}, {}, {}, {}, EndpointPhase::draining, 1, {}}}});
  auto checked = deployment();
  for (const auto& rule : simulate(history, checked, generated_fleet(), 1).verdict.rules)
    EXPECT_TRUE(rule.kept) << rule.name << ": " << rule.figures;
  checked.limits.drain_grace = 1ns;
  EXPECT_FALSE(simulate(history, checked, generated_fleet(), 1).verdict.kept());
}

// --- Evaluations

TEST(Evaluation, KeepsItsFigureWithinItsBounds) {
  auto history = generated_history(30s, 20);
  auto truth = generated_fleet();
  truth.replicas[0].spells = {{8s, 12s, 1, 1, 0, 0.5}};
  history.reports = simulate(history, deployment(), truth, 1).reports;
  EvaluationOptions options;
  options.draws = 2;
  const auto evaluation = evaluate(history, fit_all_assumptions(history, deployment()), deployment(),
                                   deployment(), "own", options);
  EXPECT_LE(evaluation.service.least, evaluation.service.figure);
  EXPECT_GE(evaluation.service.most, evaluation.service.figure);
  for (const auto& rule : evaluation.rules) EXPECT_EQ(rule.days, 6U);
}

// The measured error is small if the model produced the record, and large if the record contradicts the
// model.
TEST(Evaluation, MeasuresTheErrorOfTheModel) {
  auto history = generated_history(60s, 20);
  auto truth = generated_fleet();
  truth.replicas[0].spells = {{12s, 18s, 1, 1, 0, 0}};
  truth.replicas[3].spells = {{40s, 46s, 1, 1, 0, 0}};
  history.reports = simulate(history, deployment(), truth, 1).reports;
  EvaluationOptions options;
  options.draws = 2;
  const auto small = measure_model_error(history, deployment(), options);
  EXPECT_LT(small.root_mean_square, 0.06);
  EXPECT_GT(small.stretches, 8U);
  // Requests without an answer although no attempt failed: the model can't produce such a record.
  for (auto& report : history.reports) {
    for (auto& line : report.demand_lines) line.unanswered = line.operations / 2;
  }
  EXPECT_GT(measure_model_error(history, deployment(), options).root_mean_square, 0.3);
}

TEST(Evaluation, RejectsAConfigurationWithOtherNames) {
  const auto history = generated_history(10s, 5);
  EXPECT_THROW(evaluate(history, fit_all_assumptions(history, deployment()), deployment(),
                        deployment("\"forwarder-3\"", "\"forwarder-9\""), "x", {}),
               std::invalid_argument);
  EXPECT_THROW(evaluate(history, fit_all_assumptions(history, deployment()), deployment(),
                        deployment("\"read-status\"", "\"look\""), "x", {}),
               std::invalid_argument);
}

}  // namespace
}  // namespace ospreypost::simulation
