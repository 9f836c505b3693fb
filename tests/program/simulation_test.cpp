// The model of a fleet: that a fit finds what made the reports, that a played day is the same every time, and
// that what a record cannot tell comes with bounds.
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

// --- When a replica failed

// The plain model: each line's failures spread evenly over its span.
double plain_fails(const std::vector<ReplicaReport>& lines, std::size_t bin) {
  double attempts = 0, failed = 0;
  for (const auto& line : lines) {
    const Nanos from = std::max(line.from, static_cast<Nanos::rep>(bin) * kBin);
    const Nanos to = std::min(line.to, static_cast<Nanos::rep>(bin + 1) * kBin);
    if (to <= from) continue;
    const double share = seconds(to - from) / seconds(line.to - line.from);
    attempts += share * line.attempts, failed += share * line.failed;
  }
  return attempts > 0 ? failed / attempts : 0;
}

RC_GTEST_PROP(Evidence, KeepsTriesAndSharesOfThem, ()) {
  std::vector<ReplicaReport> lines;
  double attempts = 0;
  for (int n = *rc::gen::inRange(0, 40); n > 0; --n) {
    const Nanos from = *rc::gen::inRange(0, 9000) * 1ms;
    const double all = *rc::gen::inRange(0, 50), failed = *rc::gen::inRange(0, static_cast<int>(all) + 1);
    lines.push_back({from, from + *rc::gen::inRange(1, 1000) * 1ms, all, failed, all - failed, {}});
    attempts += all;
  }
  const auto evidence = evidence_of(lines, 10s);
  double found = 0;
  for (const auto& bin : evidence) {
    RC_ASSERT(bin.failure_ratio >= 0 && bin.failure_ratio <= 1);
    found += bin.attempts;
  }
  RC_ASSERT(std::abs(found - attempts) < 1e-6 * std::max(1.0, attempts));
}

// Five proxies whose spans begin at different moments see a replica fail from 5 s on.
TEST(Evidence, FindsTheMomentThatSpansOverlap) {
  std::vector<ReplicaReport> lines;
  for (int proxy = 0; proxy < 5; ++proxy) {
    for (Nanos from = proxy * 200ms; from < 9s; from += 1s) {
      const double well = std::clamp(seconds(5s - from), 0.0, 1.0);
      lines.push_back({from, from + 1s, 20, 20 * (1 - well), 1, {}});
    }
  }
  const auto evidence = evidence_of(lines, 10s);
  double off = 0, plain_off = 0;
  for (std::size_t bin = 10; bin < 40; ++bin) {
    const double truth = bin < 25 ? 0 : 1;
    off += std::abs(evidence[bin].failure_ratio - truth);
    plain_off += std::abs(plain_fails(lines, bin) - truth);
  }
  EXPECT_LT(off, plain_off / 2);
}

// --- A made day

Deployment deployment(const std::string& from = "", const std::string& to = "") {
  auto text = test::small_config_text();
  if (!from.empty()) text = test::replace_first(text, from, to);
  return terms::deployment_of(config::parse_config(text, "small"));
}

// Four replicas and two proxies for so long, with a report of each proxy a second; `late` delays those of the
// first from 10 s to 20 s, so that they come together and out of order with the others.
History made_history(Nanos length, std::uint32_t operations, Nanos late = {}) {
  History history;
  history.length = length;
  history.lives = {{0s, length}};
  history.replicas = {"east-1", "east-2", "west-1", "west-2"};
  ListEvent list{1ms, EndpointListKind::cached, false, {}};
  for (std::uint32_t n = 0; n < 4; ++n)
    list.entries.push_back(
        {ReplicaId{n}, ZoneId{static_cast<std::uint16_t>(n / 2)}, {}, {}, EndpointPhase::ready, 1, {}});
  history.lists.push_back(list);
  for (std::uint16_t p = 0; p < 2; ++p) {
    history.memberships.push_back({2ms, ProxyId{p}, true, ZoneId{p}, 10, true});
    for (Nanos from = 1s; from + 1s <= length; from += 1s) {
      const bool delayed = p == 0 && from >= 10s && from < 20s;
      history.reports.push_back({ProxyId{p},
                                 from,
                                 from + 1s,
                                 from + 1s + (delayed ? late : 0s),
                                 {},
                                 {{ClassId{0}, operations, 0}, {ClassId{1}, operations / 2, 0}}});
    }
  }
  std::stable_sort(history.reports.begin(), history.reports.end(),
                   [](const auto& a, const auto& b) { return a.arrived < b.arrived; });
  return history;
}

Fleet made_fleet() {
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

TEST(Fit, FindsWhatMadeTheReports) {
  auto history = made_history(60s, 20);
  auto truth = made_fleet();
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
  for (const std::size_t well : {0U, 1U, 3U}) {
    for (const auto& spell : found.replicas[well].spells) EXPECT_LT(spell.failure_ratio, 0.2) << well;
  }
}

TEST(Fit, TellsHangingFromFailingAtOnce) {
  for (const double hangs : {0.0, 1.0}) {
    auto history = made_history(40s, 30);
    auto truth = made_fleet();
    truth.replicas[2].spells = {{20s, 25s, 1, 1, 0, hangs}};
    history.reports = simulate(history, deployment(), truth, 5).reports;
    const auto found = fit(history, deployment(), Assumption::middle);
    ASSERT_FALSE(found.replicas[2].spells.empty());
    const auto& spell = found.replicas[2].spells.front();
    EXPECT_EQ(spell.hang_ratio > 0.5, hangs > 0.5);
    EXPECT_NEAR(seconds(spell.from), 20, 1.2);
  }
}

// Nobody tried it after its last failure: that it was well at once, or ill to the end, are the two bounds.
TEST(Fit, BoundsWhatNobodySaw) {
  auto history = made_history(40s, 20);
  for (auto& report : history.reports) {
    if (report.to > 10s && report.to <= 12s) report.replica_lines = {{ReplicaId{2}, 9, 9, {}, {}}};
  }
  const auto ill_until = [&](Assumption assume) {
    const auto fleet = fit(history, deployment(), assume);
    return fleet.replicas[2].spells.empty() ? 0 : seconds(fleet.replicas[2].spells.back().to);
  };
  EXPECT_NEAR(ill_until(Assumption::optimistic), 12, 0.5);
  EXPECT_NEAR(ill_until(Assumption::pessimistic), 40, 0.5);
  EXPECT_GT(ill_until(Assumption::middle), 20);
  EXPECT_LT(ill_until(Assumption::middle), 35);
  EXPECT_GT(fit(history, deployment(), Assumption::middle).unseen, 0.1);
}

TEST(Fit, RefusesWhatItCannotHold) {
  auto history = made_history(10s, 1);
  history.length = 24h * 365;
  EXPECT_THROW(fit(history, deployment(), Assumption::middle), std::invalid_argument);
  history = made_history(10s, 1);
  history.reports.front().proxy = ProxyId{77};
  EXPECT_THROW(simulate(history, deployment(), made_fleet(), 1), std::invalid_argument);
}

// --- A played day

TEST(Played, IsTheSameEveryTimeAndAnotherByAnotherSeed) {
  const auto history = made_history(30s, 20, 4s);
  auto fleet = made_fleet();
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

// Reports come when they came: late, together and after younger ones.
TEST(Played, DeliversReportsExactlyAsTheyCame) {
  const auto history = made_history(30s, 10, 4s);
  const auto day = simulate(history, deployment(), made_fleet(), 1);
  ASSERT_EQ(day.reports.size(), history.reports.size());
  bool out_of_order = false;
  for (std::size_t n = 0; n < day.reports.size(); ++n) {
    EXPECT_EQ(day.reports[n].arrived, history.reports[n].arrived);
    EXPECT_EQ(day.reports[n].to, history.reports[n].to);
    out_of_order |= n > 0 && day.reports[n].to < day.reports[n - 1].to;
  }
  EXPECT_TRUE(out_of_order);
}

// A setting with another reporting interval makes the module arm other timers, and gets other reports.
TEST(Played, DealsReportsAnewForAnotherInterval) {
  const auto history = made_history(31s, 10);
  const auto day = simulate(history, deployment("every=\"1 s\" load", "every=\"3 s\" load"), made_fleet(), 1);
  EXPECT_EQ(day.reports.size(), 2 * 10U);
  for (const auto& report : day.reports) EXPECT_EQ(report.to - report.from, 3s);
  std::uint64_t operations = 0;
  for (const auto& report : day.reports) {
    for (const auto& of : report.demand_lines) operations += of.operations;
  }
  EXPECT_EQ(operations, 2 * 30 * (10 + 5U));
}

TEST(Played, WithdrawsAReplicaThatFailsAndServesByTheOthers) {
  const auto history = made_history(40s, 20);
  auto fleet = made_fleet();
  fleet.replicas[2].spells = {{10s, 30s, 1, 1, 0, 0}};
  const auto day = simulate(history, deployment(), fleet, 1);
  const auto out = std::find_if(day.withdrawals.begin(), day.withdrawals.end(),
                                [](const auto& of) { return of.out && of.replica == ReplicaId{2}; });
  ASSERT_NE(out, day.withdrawals.end());
  EXPECT_GT(out->at, 10s);
  EXPECT_LT(out->at, 16s);
  EXPECT_GT(day.service[35], 0.9);
  EXPECT_TRUE(day.verdict.kept());
}

// The judge sees what is played: by a limit that nobody could keep, a rule is broken.
TEST(Played, IsJudged) {
  auto history = made_history(30s, 20);
  history.lists.push_back({10500ms,
                           EndpointListKind::changes,
                           false,
                           {{ReplicaId{0}, {}, {}, {}, EndpointPhase::draining, 1, {}}}});
  auto limits = deployment();
  for (const auto& rule : simulate(history, limits, made_fleet(), 1).verdict.rules)
    EXPECT_TRUE(rule.kept) << rule.name << ": " << rule.figures;
  limits.limits.drain_grace = 1ns;
  EXPECT_FALSE(simulate(history, limits, made_fleet(), 1).verdict.kept());
}

// --- Answers

TEST(Answer, HasItsFigureWithinItsBounds) {
  auto history = made_history(30s, 20);
  auto truth = made_fleet();
  truth.replicas[0].spells = {{8s, 12s, 1, 1, 0, 0.5}};
  history.reports = simulate(history, deployment(), truth, 1).reports;
  EvaluationOptions options;
  options.draws = 2;
  const auto answered = evaluate(history, fit_all_assumptions(history, deployment()), deployment(),
                                 deployment(), "own", options);
  EXPECT_LE(answered.service.least, answered.service.figure);
  EXPECT_GE(answered.service.most, answered.service.figure);
  for (const auto& rule : answered.rules) EXPECT_EQ(rule.days, 6U);
}

// The error is small where the model is the truth, and large where the record says something else.
TEST(Answer, TellsHowFarTheModelIsOff) {
  auto history = made_history(60s, 20);
  auto truth = made_fleet();
  truth.replicas[0].spells = {{12s, 18s, 1, 1, 0, 0}};
  truth.replicas[3].spells = {{40s, 46s, 1, 1, 0, 0}};
  history.reports = simulate(history, deployment(), truth, 1).reports;
  EvaluationOptions options;
  options.draws = 2;
  const auto small = measure_model_error(history, deployment(), options);
  EXPECT_LT(small.root_mean_square, 0.06);
  EXPECT_GT(small.stretches, 8U);
  // Operations that nobody answered though no try failed: nothing in the model does that.
  for (auto& report : history.reports) {
    for (auto& of : report.demand_lines) of.unanswered = of.operations / 2;
  }
  EXPECT_GT(measure_model_error(history, deployment(), options).root_mean_square, 0.3);
}

TEST(Answer, RefusesASettingOfOtherNames) {
  const auto history = made_history(10s, 5);
  EXPECT_THROW(evaluate(history, fit_all_assumptions(history, deployment()), deployment(),
                        deployment("\"forwarder-3\"", "\"forwarder-9\""), "x", {}),
               std::invalid_argument);
  EXPECT_THROW(evaluate(history, fit_all_assumptions(history, deployment()), deployment(),
                        deployment("\"read-status\"", "\"look\""), "x", {}),
               std::invalid_argument);
}

}  // namespace
}  // namespace ospreypost::simulation
