/// Reads the history of a fleet from a record, with all times on one clock, one id for each replica name, and
/// complete reports.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "discovery/name_table.h"
#include "record/reader.h"
#include "replay/report_assembler.h"
#include "simulation/history.h"

namespace ospreypost::replay {

/// Builds a history from entries of any source. Callers pass all entries in order, then call `finish`.
class HistoryReader : public record::RecordVisitor {
 public:
  /// Ignores entries with implausible numbers and entries before the first start.
  void on_entry(const kept::Entry& entry) override;
  void on_gap(std::uint64_t) override {}
  /// Returns the history; must be the last call. Throws `record::FormatError` if the entries contain no start
  /// of a control plane instance.
  simulation::History finish(const record::Corruption& corruption);

 private:
  void begin_incarnation(const kept::Entry& entry);
  void add_event(Nanos now, const kept::Entry& entry);
  void add_endpoint_list(Nanos now, const kept::Entry& entry);
  void add_proxy_joined(Nanos now, const kept::Entry& entry);
  void add_proxy_left(Nanos now, const kept::Entry& entry);
  void add_replica_load_report(Nanos now, const kept::Entry& entry);
  void add_demand_report(Nanos now, const kept::Entry& entry);
  void add_peer_message(Nanos now, const kept::Entry& entry);
  ReplicaId replica_id(std::uint32_t recorded_id);

  simulation::History history_;
  std::int64_t first_wall_time_ = 0;  // time of the first start, nanoseconds since 1970
  Nanos clock_offset_{};              // time of the record minus time on the incarnation's clock
  discovery::NameTable<ReplicaId> names_;
  std::map<std::uint32_t, ReplicaId> replica_ids_;  // ids in the history by the id in the current incarnation
  ReportAssembler reports_;
  std::uint64_t implausible_entries_ = 0;
};

/// Returns the history of the fleet in the record. Throws `record::StorageError` if a file cannot be read,
/// and `record::FormatError` if a file is not a record or is a record of a newer schema, or if the files
/// contain no start of a control plane instance.
simulation::History read_history(const std::vector<std::string>& files);

}  // namespace ospreypost::replay
