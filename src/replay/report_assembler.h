/// Puts the reports of proxies together again from the lines that a record stores.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "simulation/history.h"

namespace ospreypost::replay {

/// Where and when a line of a report came from, in the record's time.
struct LineOrigin {
  Nanos arrived{};
  ProxyId proxy{};
  Nanos late{};  ///< as in `record::Origin`
  Nanos span{};  ///< that the report covers
};

/// Hand it each line in the order recorded.
class ReportAssembler {
 public:
  /// What the proxy met at one replica.
  void add_replica_line(const LineOrigin& origin, simulation::ReplicaLine met);
  /// The same, of a record before schema 2: it does not tell the proxy.
  void add_unattributed_line(Nanos arrived, Nanos span, simulation::ReplicaLine met);
  /// The proxy's demand of one class. Unattributed lines just before it are taken for the same proxy's.
  void add_demand_line(const LineOrigin& origin, const simulation::DemandLine& asked);
  /// Lines from now on are of another incarnation, and go on with no report of the one before.
  void begin_incarnation() { last_reports_.clear(); }

  /// Lines that were attributed by their order.
  std::uint64_t attributed_lines() const { return attributed_lines_; }
  /// All reports, by arrival. Call it last.
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
  std::map<ProxyId, std::size_t> last_reports_;  // positions in reports_
  std::vector<UnattributedLine> unattributed_lines_;
  std::uint64_t attributed_lines_ = 0;
};

}  // namespace ospreypost::replay
