// Reads of a record what it tells of the fleet: times on one clock, one id for each name, reports put
// together again from their lines.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "discovery/name_table.h"
#include "record/reader.h"
#include "simulation/history.h"

namespace ospreypost::replay {

// Entry by entry, for whoever has them.
class HistoryReader : public record::RecordVisitor {
 public:
  void on_entry(const kept::Entry& entry) override;
  void on_gap(std::uint64_t) override {}
  // Throws net::Error if no governor has started.
  simulation::History finish(const record::Corruption& corruption);

 private:
  void begin(const kept::Entry& entry);
  void take(Nanos at, const kept::Entry& entry);
  void list(Nanos at, const kept::Entry& entry);
  void on_replica_load_report(Nanos at, const kept::Entry& entry);
  void on_demand_report(Nanos at, const kept::Entry& entry);
  ReplicaId replica(std::uint32_t number);
  simulation::Report& report(Nanos at, ProxyId proxy, Nanos late, Nanos span, bool starts_anew);

  // A line of an older record, that does not say whose it is.
  struct Nameless {
    Nanos at{}, span{};
    simulation::Met met;
  };
  simulation::History history_;
  std::int64_t first_wall_ = 0;
  Nanos offset_{};  // from the life's clock to the record's
  discovery::NameTable<ReplicaId> names_;
  std::map<std::uint32_t, ReplicaId> ids_;  // of the present life
  std::map<ProxyId, std::size_t> open_;     // the last report of each
  std::vector<Nameless> nameless_;
  std::uint64_t absurd_ = 0;
};

// Throws net::Error if a file cannot be read, is no record, of a newer schema, or holds no start.
simulation::History read_history(const std::vector<std::string>& files);

}  // namespace ospreypost::replay
