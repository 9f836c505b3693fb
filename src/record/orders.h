// Notes the module's orders in an entry, as a record has them: for the tap that keeps them, and for the
// replay that compares.
#pragma once

#include "rules.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

class OrderNotes : public Host {
 public:
  // The entry must outlive this; orders are added to those that it has.
  explicit OrderNotes(kept::Entry& entry) : entry_(entry) {}
  void set_line(TableId table, ReplicaId replica, double weight) override;
  void clear_table(TableId table) override;
  void bind(ProxyId proxy, TableId table, ClassMask classes) override;
  void withdraw(ReplicaId replica, bool out) override;
  void set_level(TableId table, ClassMask classes, double level, Retry retry) override;
  void mark(MarkId mark, bool reach_all) override;
  void arm(Nanos from_now, TimerId timer) override;
  void watch_list(bool on) override;
  void look_up_list() override;
  void probe(ReplicaId replica) override;
  void tell(std::optional<PeerId> peer, std::string_view message) override;
  void log(std::string_view line) override;

 private:
  kept::Entry& entry_;
};

}  // namespace ospreypost::record
