#include "replay/report_assembler.h"

#include <algorithm>
#include <utility>

namespace ospreypost::replay {
namespace {

// Maximum time between the first and the last recorded line of one report.
constexpr Nanos kMaxReportSpread = std::chrono::milliseconds(50);

bool has_replica(const simulation::Report& report, ReplicaId replica) {
  return std::any_of(report.replica_lines.begin(), report.replica_lines.end(),
                     [&](const simulation::ReplicaLine& met) { return met.replica == replica; });
}

bool has_class(const simulation::Report& report, ClassId cls) {
  return std::any_of(report.demand_lines.begin(), report.demand_lines.end(),
                     [&](const simulation::DemandLine& asked) { return asked.cls == cls; });
}

}  // namespace

void ReportAssembler::add_replica_line(const LineOrigin& origin, simulation::ReplicaLine met) {
  simulation::Report* report = &current_report(origin);
  // A report lists each replica once, and all replicas before the demand. A line that breaks this order
  // begins a new report.
  if (has_replica(*report, met.replica) || !report->demand_lines.empty()) report = &begin_report(origin);
  report->replica_lines.push_back(std::move(met));
}

void ReportAssembler::add_unattributed_line(Nanos arrived, Nanos span, simulation::ReplicaLine met) {
  unattributed_lines_.push_back({arrived, span, std::move(met)});
}

void ReportAssembler::add_demand_line(const LineOrigin& origin, const simulation::DemandLine& asked) {
  simulation::Report* report = &current_report(origin);
  if (has_class(*report, asked.cls)) report = &begin_report(origin);
  report->demand_lines.push_back(asked);
  for (auto& line : unattributed_lines_) {
    if (line.span != origin.span || origin.arrived - line.arrived > kMaxReportSpread) continue;
    report->replica_lines.push_back(std::move(line.met));
    ++attributed_lines_;
  }
  unattributed_lines_.clear();
}

std::vector<simulation::Report> ReportAssembler::take_reports() {
  std::stable_sort(reports_.begin(), reports_.end(),
                   [](const simulation::Report& left, const simulation::Report& right) {
                     return left.arrived < right.arrived;
                   });
  return std::exchange(reports_, {});
}

// Returns the last report of the proxy if the report covers the same span and arrived just before the line;
// otherwise begins a new report.
simulation::Report& ReportAssembler::current_report(const LineOrigin& origin) {
  const auto last_report = last_reports_.find(origin.proxy);
  if (last_report == last_reports_.end()) return begin_report(origin);
  simulation::Report& report = reports_[last_report->second];
  const bool has_same_span = report.to - report.from == origin.span;
  const bool came_just_before = origin.arrived - report.arrived <= kMaxReportSpread;
  return has_same_span && came_just_before ? report : begin_report(origin);
}

simulation::Report& ReportAssembler::begin_report(const LineOrigin& origin) {
  last_reports_[origin.proxy] = reports_.size();
  const Nanos ended = origin.arrived - origin.late;
  reports_.push_back({origin.proxy, ended - origin.span, ended, origin.arrived, {}, {}});
  return reports_.back();
}

}  // namespace ospreypost::replay
