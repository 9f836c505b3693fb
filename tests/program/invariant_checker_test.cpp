// The invariant checker must find each broken rule: in constructed traces, and in real runs with an injected
// defect in the proxies or in the configuration of the control plane.
#include "checker/invariant_checker.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iostream>

#include "scenario/run.h"

namespace ospreypost::checker {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

Limits limits() {
  Limits limits;
  limits.drain_grace = 3s;
  limits.max_time_without_endpoints = 5s;
  limits.overload_multiple = 2.5;
  limits.overload_duration = 3s;
  limits.max_messages_per_window = 2;
  limits.message_window = 10s;
  limits.max_queued_entries = 100;
  limits.classes["sign-job"] = {true, 1s, 2s, 4, 0.5};
  limits.vouched = {"p"};
  return limits;
}

// Trace without a broken rule: a control plane, a warm replica, and a proxy that has the replica in its table
// from 1 s on.
struct ValidTrace : Trace {
  ValidTrace() {
    add(GovernorStatus{0s, true});
    add(Listed{0s, "r", EndpointPhase::ready});
    add(Started{0s, "r", 2, 1, 0s});
    add(Answered{1s, "p", "sign-job", 1, {"r"}, true});
    add(Sent{2s, "p", "r", 1});
    add(Effect{2s, "r", 1});
    add(Operation{2s, 1, "sign-job", 2500ms});
  }
};

std::string broken_rules(const Trace& trace, double queued_entries = 0) {
  std::string names;
  for (const auto& rule : check_invariants(trace, limits(), 60s, queued_entries).rules)
    names += rule.kept ? "" : rule.name + ";";
  return names;
}

TEST(InvariantChecker, AcceptsAValidTrace) {
  const ValidTrace trace;
  EXPECT_EQ(broken_rules(trace), "");
  EXPECT_DOUBLE_EQ(check_invariants(trace, limits(), 60s, 0).service.score(), 1);
}

TEST(InvariantChecker, FindsAProxyWithoutEndpoints) {
  ValidTrace trace;
  trace.add(Answered{10s, "p", "sign-job", 2, {}, true});
  trace.add(Answered{14s, "p", "sign-job", 3, {"r"}, true});
  EXPECT_EQ(broken_rules(trace), "");
  trace.add(Answered{20s, "p", "sign-job", 4, {}, true});
  EXPECT_EQ(broken_rules(trace), "no proxy bare;");
  // Time without endpoints doesn't count while no replica is listed as ready.
  trace.add(Listed{19s, "r", EndpointPhase::draining});
  EXPECT_EQ(broken_rules(trace), "");
}

TEST(InvariantChecker, FindsAnOperationExecutedTwice) {
  ValidTrace trace;
  trace.add(Effect{3s, "r2", 1});
  EXPECT_EQ(broken_rules(trace), "no effect twice;");
}

TEST(InvariantChecker, FindsAttemptsAtADrainingReplica) {
  ValidTrace trace;
  trace.add(Listed{10s, "r", EndpointPhase::draining});
  trace.add(Sent{12900ms, "p", "r", 2});
  EXPECT_EQ(broken_rules(trace), "");
  trace.add(Sent{13100ms, "p", "r", 3});
  EXPECT_EQ(broken_rules(trace), "drains kept;");
  // The grace period doesn't run while no control plane runs, or while the proxy is cut off from the control
  // plane.
  trace.add(GovernorStatus{11s, false});
  EXPECT_EQ(broken_rules(trace), "");
  trace.add(GovernorStatus{11500ms, true});
  EXPECT_EQ(broken_rules(trace), "");
  trace.add(Sent{14600ms, "p", "r", 4});
  EXPECT_EQ(broken_rules(trace), "drains kept;");
  trace.add(Cut{14s, "p", true});
  EXPECT_EQ(broken_rules(trace), "");
}

TEST(InvariantChecker, FindsAnOverloadedColdReplica) {
  ValidTrace trace;
  trace.add(Started{10s, "c", 2, 0.2, 10s});
  trace.add(Listed{10100ms, "c", EndpointPhase::ready});
  // While it warms up, replica "c" can do 0.4 to 0.9 seconds of work per second.
  std::uint64_t id = 100;
  const auto send = [&](nanoseconds at) {
    trace.add(Sent{at, "p", "c", ++id});
    trace.add(Arrived{at, "c", id, 0.1});
  };
  for (int n = 0; n < 60; ++n) send(10200ms + n * 50ms);
  // The proxy has received no table since the replica was listed, so the overload doesn't count.
  EXPECT_EQ(broken_rules(trace), "");
  trace.add(Answered{10150ms, "p", "sign-job", 2, {"r", "c"}, true});
  EXPECT_EQ(broken_rules(trace), "no cold replica pushed over;");
}

TEST(InvariantChecker, FindsTooManyQueuedEntriesAndMessages) {
  ValidTrace trace;
  EXPECT_EQ(broken_rules(trace, 101), "the queue short;");
  trace.add(Answered{9s, "p", "sign-job", 2, {"r"}, true});
  trace.add(Answered{10900ms, "p", "sign-job", 2, {"r"}, true});
  EXPECT_EQ(broken_rules(trace), "");
  trace.add(Answered{10950ms, "p", "sign-job", 3, {"r"}, true});
  EXPECT_EQ(broken_rules(trace), "the queue short;");
}

// --- Real runs, each with one injected defect

const std::string kThreeZones = R"(<replicas zone="klein-windhoek" count="2"/>
    <replicas zone="southern-ind" count="2"/><replicas zone="eros-park" count="2"/>)";

scenario::Scenario scenario_with(const std::string& faults, const std::string& fleet) {
  const std::string text = R"(<day name="rigged" length="9 s" seed="5" governor="windhoek.xml">
    <fleet>)" + fleet + R"(</fleet>
    <traffic><class name="sign-job" rate="100" work="60 ms"/><class name="read-status" rate="20" work="60 ms"/></traffic>
    <troubles>)" + faults + "</troubles></day>";
  return scenario::parse_scenario(text, "rigged", OSPREYPOST_EXAMPLES);
}

std::string broken_rules_of_run(const std::string& faults, const fakes::InjectedDefects& defects,
                                std::function<std::string(std::string)> change_configuration = {},
                                const std::string& fleet = kThreeZones) {
  scenario::RunOptions options;
  options.program = OSPREYPOST_PROGRAM_PATH;
  options.defects = defects;
  options.change_configuration = std::move(change_configuration);
  std::string names;
  for (const auto& rule : scenario::run_scenario(scenario_with(faults, fleet), options).check_result.rules) {
    names += rule.kept ? "" : rule.name + ";";
    std::cout << rule.name << ": " << rule.figures << '\n';
  }
  return names;
}

std::string replaced(std::string text, const std::string& old_part, const std::string& new_part) {
  const auto position = text.find(old_part);
  if (position == std::string::npos)
    throw std::runtime_error("text to replace not found in the configuration: " + old_part);
  return text.replace(position, old_part.size(), new_part);
}

TEST(RunWithDefect, ControlPlaneWithAnotherListLeavesProxiesWithoutEndpoints) {
  const auto change_configuration = [](std::string text) {
    const auto list_path = testing::TempDir() + "/rigged-roll.json";
    std::ofstream(list_path)
        << R"({"backends":[{"name":"x","zone":"eros-park","address":"127.0.0.1:9","phase":"draining"}]})";
    const auto from = text.find("<roll path=\"") + 12;
    return text.replace(from, text.find('"', from) - from, list_path);
  };
  EXPECT_EQ(broken_rules_of_run("", {}, change_configuration), "no proxy bare;");
}

TEST(RunWithDefect, ProxyThatRetriesAfterATimeoutExecutesOperationsTwice) {
  fakes::InjectedDefects defects;
  defects.retries_after_timeout = true;
  EXPECT_EQ(broken_rules_of_run(
                R"(<slow at="2 s" for="5 s" factor="40" replicas="klein-windhoek-1 eros-park-1"/>)", defects),
            "no effect twice;");
}

TEST(RunWithDefect, ProxyThatKeepsRemovedEntriesSendsToADrainingReplica) {
  fakes::InjectedDefects defects;
  defects.keeps_removed_entries = true;
  EXPECT_EQ(
      broken_rules_of_run(R"(<drain at="3 s" leaves="6 s" for="6 s" replicas="klein-windhoek-1"/>)", defects),
      "drains kept;");
}

TEST(RunWithDefect, ProxyThatPrefersNewTargetsOverloadsAColdReplica) {
  fakes::InjectedDefects defects;
  defects.prefers_new_targets = true;
  // When attempts fail in a zone, the control plane holds back its cold replicas. The high fall-multiple
  // disables this protection.
  const auto change_configuration = [](std::string text) {
    return replaced(std::move(text), "fall-multiple=\"2.5\"", "fall-multiple=\"1000\"");
  };
  const auto broken =
      broken_rules_of_run(R"(<crash at="2 s" for="2 s" notice="200 ms" replicas="klein-windhoek-1"/>)",
                          defects, change_configuration, R"(<replicas zone="klein-windhoek" count="6"/>)");
  EXPECT_NE(broken.find("no cold replica pushed over;"), std::string::npos) << broken;
}

TEST(RunWithDefect, ControlPlaneWithoutMessageLimitSendsTooManyMessages) {
  fakes::InjectedDefects defects;
  defects.ignores_ttl = true;
  std::string faults;
  for (int n = 0; n < 14; ++n) {
    faults += "<drain at=\"" + std::to_string(500 + n * 500) +
              " ms\" for=\"250 ms\" leaves=\"240 ms\" replicas=\"" +
              (n % 2 ? "klein-windhoek-1" : "southern-ind-1") + "\"/>";
  }
  const auto change_configuration = [](std::string text) {
    return replaced(std::move(text), "allowed=\"12\"", "allowed=\"0\"");
  };
  EXPECT_EQ(broken_rules_of_run(faults, defects), "");
  EXPECT_EQ(broken_rules_of_run(faults, defects, change_configuration), "the queue short;");
}

}  // namespace
}  // namespace ospreypost::checker
