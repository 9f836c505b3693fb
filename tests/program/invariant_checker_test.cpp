// The judge must say so when a rule is broken: on made traces, and on real runs in which a guard was taken
// out.
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

// A governor, a warm replica and a proxy that is served with it from the first second on.
struct Quiet : Trace {
  Quiet() {
    add(GovernorStatus{0s, true});
    add(Listed{0s, "r", EndpointPhase::ready});
    add(Started{0s, "r", 2, 1, 0s});
    add(Answered{1s, "p", "sign-job", 1, {"r"}, true});
    add(Sent{2s, "p", "r", 1});
    add(Effect{2s, "r", 1});
    add(Operation{2s, 1, "sign-job", 2500ms});
  }
};

std::string broken(const Trace& trace, double waiting = 0) {
  std::string names;
  for (const auto& rule : check_invariants(trace, limits(), 60s, waiting).rules)
    names += rule.kept ? "" : rule.name + ";";
  return names;
}

TEST(Judge, FindsNothingWhereNothingIsWrong) {
  const Quiet trace;
  EXPECT_EQ(broken(trace), "");
  EXPECT_DOUBLE_EQ(check_invariants(trace, limits(), 60s, 0).service.score(), 1);
}

TEST(Judge, SeesABareProxy) {
  Quiet trace;
  trace.add(Answered{10s, "p", "sign-job", 2, {}, true});
  trace.add(Answered{14s, "p", "sign-job", 3, {"r"}, true});
  EXPECT_EQ(broken(trace), "");
  trace.add(Answered{20s, "p", "sign-job", 4, {}, true});
  EXPECT_EQ(broken(trace), "no proxy bare;");
  // Nobody is bare while nobody is there to be had.
  trace.add(Listed{19s, "r", EndpointPhase::draining});
  EXPECT_EQ(broken(trace), "");
}

TEST(Judge, SeesAnEffectThatHappenedTwice) {
  Quiet trace;
  trace.add(Effect{3s, "r2", 1});
  EXPECT_EQ(broken(trace), "no effect twice;");
}

TEST(Judge, SeesADrainThatWasNotKept) {
  Quiet trace;
  trace.add(Listed{10s, "r", EndpointPhase::draining});
  trace.add(Sent{12900ms, "p", "r", 2});
  EXPECT_EQ(broken(trace), "");
  trace.add(Sent{13100ms, "p", "r", 3});
  EXPECT_EQ(broken(trace), "drains kept;");
  // Neither while no governor runs, nor while the proxy is cut off from it.
  trace.add(GovernorStatus{11s, false});
  EXPECT_EQ(broken(trace), "");
  trace.add(GovernorStatus{11500ms, true});
  EXPECT_EQ(broken(trace), "");
  trace.add(Sent{14600ms, "p", "r", 4});
  EXPECT_EQ(broken(trace), "drains kept;");
  trace.add(Cut{14s, "p", true});
  EXPECT_EQ(broken(trace), "");
}

TEST(Judge, SeesAColdReplicaPushedOver) {
  Quiet trace;
  trace.add(Started{10s, "c", 2, 0.2, 10s});
  trace.add(Listed{10100ms, "c", EndpointPhase::ready});
  // It can do 0.4 to 0.9 seconds of work a second then.
  std::uint64_t id = 100;
  const auto send = [&](nanoseconds at) {
    trace.add(Sent{at, "p", "c", ++id});
    trace.add(Arrived{at, "c", id, 0.1});
  };
  for (int n = 0; n < 60; ++n) send(10200ms + n * 50ms);
  // Nobody can have known yet.
  EXPECT_EQ(broken(trace), "");
  trace.add(Answered{10150ms, "p", "sign-job", 2, {"r", "c"}, true});
  EXPECT_EQ(broken(trace), "no cold replica pushed over;");
}

TEST(Judge, SeesAQueueThatIsTooLong) {
  Quiet trace;
  EXPECT_EQ(broken(trace, 101), "the queue short;");
  trace.add(Answered{9s, "p", "sign-job", 2, {"r"}, true});
  trace.add(Answered{10900ms, "p", "sign-job", 2, {"r"}, true});
  EXPECT_EQ(broken(trace), "");
  trace.add(Answered{10950ms, "p", "sign-job", 3, {"r"}, true});
  EXPECT_EQ(broken(trace), "the queue short;");
}

// --- Real runs, each with one guard out

const std::string kThreeRooms = R"(<replicas zone="klein-windhoek" count="2"/>
    <replicas zone="southern-ind" count="2"/><replicas zone="eros-park" count="2"/>)";

scenario::Scenario script(const std::string& troubles, const std::string& fleet) {
  const std::string text = R"(<day name="rigged" length="9 s" seed="5" governor="windhoek.xml">
    <fleet>)" + fleet + R"(</fleet>
    <traffic><class name="sign-job" rate="100" work="60 ms"/><class name="read-status" rate="20" work="60 ms"/></traffic>
    <troubles>)" + troubles +
                           "</troubles></day>";
  return scenario::parse_scenario(text, "rigged", OSPREYPOST_EXAMPLES);
}

std::string broken_in(const std::string& troubles, const fakes::InjectedDefects& defects,
                      std::function<std::string(std::string)> rig = {},
                      const std::string& fleet = kThreeRooms) {
  scenario::RunOptions options;
  options.program = OSPREYPOST_PROGRAM_PATH;
  options.defects = defects;
  options.change_configuration = std::move(rig);
  std::string names;
  for (const auto& rule : scenario::run_scenario(script(troubles, fleet), options).check_result.rules) {
    names += rule.kept ? "" : rule.name + ";";
    std::cout << rule.name << ": " << rule.figures << '\n';
  }
  return names;
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  if (at == std::string::npos) throw std::runtime_error("nothing to rig: " + from);
  return text.replace(at, from.size(), to);
}

TEST(RiggedRun, AGovernorThatReadsAnotherListLeavesProxiesBare) {
  const auto rig = [](std::string text) {
    const auto beside = testing::TempDir() + "/rigged-roll.json";
    std::ofstream(beside)
        << R"({"backends":[{"name":"x","zone":"eros-park","address":"127.0.0.1:9","phase":"draining"}]})";
    const auto from = text.find("<roll path=\"") + 12;
    return text.replace(from, text.find('"', from) - from, beside);
  };
  EXPECT_EQ(broken_in("", {}, rig), "no proxy bare;");
}

TEST(RiggedRun, AProxyThatRepeatsAfterATimeOutRunsThingsTwice) {
  fakes::InjectedDefects defects;
  defects.repeats_after_time_out = true;
  EXPECT_EQ(
      broken_in(R"(<slow at="2 s" for="5 s" factor="40" replicas="klein-windhoek-1 eros-park-1"/>)", defects),
      "no effect twice;");
}

TEST(RiggedRun, AFrontThatKeepsADrainedLineBreaksTheDrain) {
  fakes::InjectedDefects defects;
  defects.keeps_old_lines = true;
  EXPECT_EQ(broken_in(R"(<drain at="3 s" leaves="6 s" for="6 s" replicas="klein-windhoek-1"/>)", defects),
            "drains kept;");
}

TEST(RiggedRun, AProxyThatPrefersWhatIsNewPushesAColdReplicaOver) {
  fakes::InjectedDefects defects;
  defects.prefers_new = true;
  // The governor holds back what is cold when tries fail around it; that guard is out as well.
  const auto rig = [](std::string text) {
    return replaced(std::move(text), "fall-multiple=\"2.5\"", "fall-multiple=\"1000\"");
  };
  const auto named = broken_in(R"(<crash at="2 s" for="2 s" notice="200 ms" replicas="klein-windhoek-1"/>)",
                               defects, rig, R"(<replicas zone="klein-windhoek" count="6"/>)");
  EXPECT_NE(named.find("no cold replica pushed over;"), std::string::npos) << named;
}

TEST(RiggedRun, AGovernorThatCountsNoMessagesSendsTooMany) {
  fakes::InjectedDefects defects;
  defects.asks_often = true;
  std::string troubles;
  for (int n = 0; n < 14; ++n) {
    troubles += "<drain at=\"" + std::to_string(500 + n * 500) +
                " ms\" for=\"250 ms\" leaves=\"240 ms\" replicas=\"" +
                (n % 2 ? "klein-windhoek-1" : "southern-ind-1") + "\"/>";
  }
  const auto rig = [](std::string text) {
    return replaced(std::move(text), "allowed=\"12\"", "allowed=\"0\"");
  };
  EXPECT_EQ(broken_in(troubles, defects), "");
  EXPECT_EQ(broken_in(troubles, defects, rig), "the queue short;");
}

}  // namespace
}  // namespace ospreypost::checker
