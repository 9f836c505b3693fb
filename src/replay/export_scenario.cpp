#include "replay/export_scenario.h"

#include <algorithm>
#include <map>
#include <optional>
#include <stdexcept>

#include "replay/replica_faults.h"
#include "replay/replica_names.h"
#include "replay/scenario_source.h"
#include "replay/scenario_xml.h"
#include "replay/service_faults.h"
#include "simulation/history_check.h"

namespace ospreypost::replay {
namespace {

constexpr Nanos kMaxScenarioLength = std::chrono::hours(1);
// Minimum written value of a rate and of a work time; smaller values would be rounded to 0, which is neither
// a valid rate nor a valid work time.
constexpr double kMinDecimal = 0.001;

bool has_requests(const simulation::Report& report) {
  return std::any_of(report.demand_lines.begin(), report.demand_lines.end(),
                     [](const simulation::DemandLine& asked) { return asked.operations > 0; });
}

// Returns the time of the first requests in the record. The time of a scenario starts when its proxies have
// their tables; the time of a record already starts with the control plane.
Nanos scenario_begin(const simulation::History& history) {
  std::optional<Nanos> begin;
  for (const auto& report : history.reports) {
    if (!has_requests(report)) continue;
    if (!begin || report.from < *begin) begin = std::max(report.from, Nanos{});
  }
  return begin.value_or(Nanos{});
}

void check_length(const simulation::History& history, Nanos length) {
  if (length > kMaxScenarioLength)
    throw std::invalid_argument("the record is longer than the hour that a day may last: cut it");
  if (length <= Nanos{} || history.replicas.empty())
    throw std::invalid_argument("the record tells of no fleet");
}

std::string fleet_text(const ScenarioSource& source, const ReplicaNames& names) {
  std::string text = "  <fleet>\n";
  for (const auto& group : names.groups()) {
    const auto& replica = source.fleet.replicas[group.front()];
    const auto kind = static_cast<std::size_t>(replica.kind);
    text += "    <replicas" + attribute("zone", source.zone_name(replica.zone));
    if (kind < source.kinds.size()) text += attribute("kind", source.kinds[kind]);
    text += attribute("count", std::to_string(group.size()));
    text += attribute("cores", decimal_text(replica.cores));
    text += attribute("speed", decimal_text(1 / replica.slowness)) + "/>\n";
  }
  return text + "  </fleet>\n";
}

// Returns the longest time that the reports of a single proxy cover.
double max_reported_seconds(const simulation::History& history) {
  std::map<ProxyId, double> reported_seconds;
  for (const auto& report : history.reports) reported_seconds[report.proxy] += report.seconds();
  double longest = 0;
  for (const auto& [proxy, seconds] : reported_seconds) longest = std::max(longest, seconds);
  return longest;
}

// Returns the number of requests by class, without the estimated repeats of failed requests.
std::vector<double> first_requests(const ScenarioSource& source) {
  std::vector<double> requests(source.deployment.classes.size());
  for (const auto& report : source.history.reports) {
    for (const auto& asked : report.demand_lines) {
      const auto cls = static_cast<std::size_t>(asked.cls);
      requests[cls] += std::max(0.0, asked.operations - source.fleet.repeats[cls] * asked.unanswered);
    }
  }
  return requests;
}

std::string traffic_text(const ScenarioSource& source) {
  const std::vector<double> requests = first_requests(source);
  const double seconds = max_reported_seconds(source.history);
  std::string text = "  <traffic>\n";
  for (std::size_t cls = 0; cls < requests.size(); ++cls) {
    if (requests[cls] <= 0) continue;
    const double requests_per_second = std::max(kMinDecimal, requests[cls] / seconds);
    const double work_milliseconds = std::max(kMinDecimal, source.fleet.work[cls] * 1e3);
    text += "    <class" + attribute("name", source.deployment.classes[cls]);
    text += attribute("rate", decimal_text(requests_per_second));
    text += attribute("work", decimal_text(work_milliseconds) + " ms") + "/>\n";
  }
  return text + "  </traffic>\n";
}

std::string head_text(const ReplicaNames& names) {
  std::string text =
      "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<!-- Made of a record. Speeds, cores and failures are the "
      "model's; a failure that nobody saw end is\n     taken to have ended half way to the next look. "
      "Replicas go by other names here:\n";
  for (const auto& [recorded, scenario_name] : names.by_recorded_name())
    text += "     " + comment_text(recorded) + " is " + scenario_name + "\n";
  return text + "-->\n";
}

std::string faults_text(const ScenarioSource& source, const ReplicaNames& names) {
  FaultElements faults(source.begin, source.history.length);
  add_replica_faults(source, names, faults);
  add_connection_faults(source, faults);
  add_bursts(source, faults);
  return faults.text();
}

}  // namespace

ExportedScenario export_scenario(const simulation::History& history, const simulation::Deployment& deployment,
                                 const simulation::Fleet& fleet, const std::vector<std::string>& kinds,
                                 const std::string& name, const std::string& configuration_file) {
  simulation::check_history(history, deployment);
  const ScenarioSource source{history, deployment, fleet, kinds, scenario_begin(history)};
  const Nanos length = history.length - source.begin;
  check_length(history, length);
  const ReplicaNames names(source);
  std::string text = head_text(names);
  text += "<day" + attribute("name", name) + attribute("length", duration_text(length)) +
          attribute("governor", configuration_file) + ">\n";
  text += fleet_text(source, names);
  text += traffic_text(source);
  text += faults_text(source, names);
  return {text + "</day>\n", history.configuration};
}

}  // namespace ospreypost::replay
