/// Reassembles the reports of proxies from the lines that a record stores. A line is one recorded entry,
/// which contains the part of a report about one replica or one request class.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "simulation/history.h"

namespace ospreypost::replay {

/// The proxy and the times of a report line, in the time of the record.
struct LineOrigin {
  Nanos arrived{};
  ProxyId proxy{};
  Nanos late{};  ///< delay of the report, as in `record::Origin`
  Nanos span{};  ///< length of the time that the report covers
};

/// Joins report lines to reports. Callers pass all lines in the order of the record.
class ReportAssembler {
 public:
  /// Adds a line with the results of the proxy's attempts at one replica.
  void add_replica_line(const LineOrigin& origin, simulation::ReplicaLine met);
  /// Adds a line about one replica from a record before schema 2, which does not store the proxy.
  void add_unattributed_line(Nanos arrived, Nanos span, simulation::ReplicaLine met);
  /// Adds a line with the demand of the proxy for one request class. Unattributed lines of the same span that
  /// were recorded just before are attributed to the same proxy.
  void add_demand_line(const LineOrigin& origin, const simulation::DemandLine& asked);
  /// Begins another incarnation: later lines never extend a report of an earlier incarnation.
  void begin_incarnation() { last_reports_.clear(); }

  /// Number of lines that were attributed to a proxy by their order.
  std::uint64_t attributed_lines() const { return attributed_lines_; }
  /// Returns all reports, sorted by arrival; must be the last call.
  std::vector<simulation::Report> take_reports();

 private:
  struct UnattributedLine {
    Nanos arrived{};
    Nanos span{};
    simulation::ReplicaLine met;
  };

  simulation::Report& current_report(const LineOrigin& origin);
  simulation::Report& begin_report(const LineOrigin& origin);

  std::vector<simulation::Report> reports_;
  std::map<ProxyId, std::size_t> last_reports_;  // position of the last report of each proxy in reports_
  std::vector<UnattributedLine> unattributed_lines_;
  std::uint64_t attributed_lines_ = 0;
};

}  // namespace ospreypost::replay
