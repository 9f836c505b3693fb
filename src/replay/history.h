/// Reads from a record what it tells of the fleet: times on one clock, one id for each name, and whole
/// reports.
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

/// Makes a history of entries, whoever has them: hand it each, then call `finish`.
class HistoryReader : public record::RecordVisitor {
 public:
  /// Entries with implausible numbers, and those before the first start, are left out.
  void on_entry(const kept::Entry& entry) override;
  void on_gap(std::uint64_t) override {}
  /// Call it last. Throws `record::FormatError` if no start of a control plane was among the entries.
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
  std::int64_t first_wall_time_ = 0;  // of the first start, nanoseconds since 1970
  Nanos clock_offset_{};              // from the present incarnation's clock to the record's time
  discovery::NameTable<ReplicaId> names_;
  std::map<std::uint32_t, ReplicaId> replica_ids_;  // by the present incarnation's ids
  ReportAssembler reports_;
  std::uint64_t implausible_entries_ = 0;
};

/// Throws `record::StorageError` if a file cannot be read, and `record::FormatError` if one is no record or
/// of a newer schema, or they hold no start of a control plane.
simulation::History read_history(const std::vector<std::string>& files);

}  // namespace ospreypost::replay
