#include "replay/service_faults.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace ospreypost::replay {
namespace {

using namespace std::chrono_literals;

// Minimum delay of a report that counts as late.
constexpr Nanos kMinLateness = 500ms;
constexpr Nanos kBurstSpan = 2s;
// Minimum number of requests in a burst, as a multiple of the median number.
constexpr double kMinBurstFactor = 1.4;
// Minimum excess of a burst over the median, in standard deviations; random variation stays below.
constexpr double kMinBurstDeviations = 4;

void add_restarts(const ScenarioSource& source, FaultElements& faults) {
  const auto& incarnations = source.history.lives;
  for (std::size_t n = 1; n < incarnations.size(); ++n)
    faults.add(incarnations[n - 1].to, incarnations[n].from, "governor-killed", "");
}

// A proxy that left and joined again in the same incarnation was unreachable in between.
void add_unreachable_proxies(const ScenarioSource& source, FaultElements& faults) {
  std::map<ProxyId, Nanos> left_at;
  for (const auto& membership : source.history.memberships) {
    if (!membership.joined) {
      left_at[membership.proxy] = membership.at;
      continue;
    }
    const auto found = left_at.find(membership.proxy);
    if (found == left_at.end()) continue;
    faults.add(found->second, membership.at, "cut",
               attribute("proxies", source.proxy_name(membership.proxy)));
    left_at.erase(found);
  }
}

// A span of time in which the reports of a proxy were late.
struct LateSpan {
  Nanos from{};
  Nanos duration{};
  Nanos max_lateness{};
};

void add_late_span(const ScenarioSource& source, ProxyId proxy, const LateSpan& span, FaultElements& faults) {
  faults.add(
      span.from, span.from + span.duration, "report-late",
      attribute("by", duration_text(span.max_lateness)) + attribute("proxies", source.proxy_name(proxy)));
}

void add_late_reports(const ScenarioSource& source, FaultElements& faults) {
  std::map<ProxyId, LateSpan> open_spans;
  for (const auto& report : source.history.reports) {
    const Nanos lateness = report.arrived - report.to;
    const auto found = open_spans.find(report.proxy);
    if (lateness >= kMinLateness) {
      LateSpan& span = open_spans.try_emplace(report.proxy, LateSpan{report.to, 0ns, 0ns}).first->second;
      span.duration = std::max(span.duration, report.to - span.from + 1ms);
      span.max_lateness = std::max(span.max_lateness, lateness);
    } else if (found != open_spans.end()) {
      add_late_span(source, report.proxy, found->second, faults);
      open_spans.erase(found);
    }
  }
  for (const auto& [proxy, span] : open_spans) add_late_span(source, proxy, span, faults);
}

// Returns the number of requests in each span of the scenario, without the estimated repeats of failed
// requests.
std::vector<double> requests_by_span(const ScenarioSource& source) {
  const Nanos length = source.history.length - source.begin;
  std::vector<double> requests(static_cast<std::size_t>(length / kBurstSpan));
  for (const auto& report : source.history.reports) {
    const Nanos last_moment = std::max(report.to - source.begin - 1ns, 0ns);
    const auto span = static_cast<std::size_t>(last_moment / kBurstSpan);
    if (span >= requests.size()) continue;
    for (const auto& asked : report.demand_lines) {
      const double repeats = source.fleet.repeats[static_cast<std::size_t>(asked.cls)] * asked.unanswered;
      requests[span] += std::max(0.0, asked.operations - repeats);
    }
  }
  return requests;
}

double median_of(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace

void add_connection_faults(const ScenarioSource& source, FaultElements& faults) {
  add_restarts(source, faults);
  add_unreachable_proxies(source, faults);
  add_late_reports(source, faults);
}

void add_bursts(const ScenarioSource& source, FaultElements& faults) {
  const std::vector<double> requests = requests_by_span(source);
  const double usual = median_of(requests);
  const double max_by_chance = usual + kMinBurstDeviations * std::sqrt(usual + 1);
  for (std::size_t n = 0; n < requests.size(); ++n) {
    if (requests[n] < kMinBurstFactor * usual || requests[n] < max_by_chance) continue;
    const Nanos from = source.begin + static_cast<Nanos::rep>(n) * kBurstSpan;
    const double factor = requests[n] / std::max(1.0, usual);
    faults.add(from, from + kBurstSpan, "burst",
               attribute("factor", decimal_text(factor)) + attribute("rise", "0.2 s"));
  }
}

}  // namespace ospreypost::replay
