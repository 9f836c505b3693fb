// Notes the module's orders in an entry, as a record has them: for the tap that keeps them, and for the
// replay that compares.
#pragma once

#include "policy/controller.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

class ActionEncoder : public ActionSink {
 public:
  // The entry must outlive this; orders are added to those that it has.
  explicit ActionEncoder(kept::Entry& entry) : entry_(entry) {}
  void set_table_entry(TableId table, ReplicaId replica, double weight) override;
  void clear_table(TableId table) override;
  void bind(ProxyId proxy, TableId table, ClassMask classes) override;
  void set_ejected(ReplicaId replica, bool out) override;
  void set_admitted_fraction(TableId table, ClassMask classes, double level, RetryMode retry) override;
  void request_acknowledgement(AckRequestId mark, bool reach_all) override;
  void start_timer(Nanos from_now, TimerId timer) override;
  void watch_endpoint_list(bool on) override;
  void refresh_endpoint_list() override;
  void request_health_check(ReplicaId replica) override;
  void send_to_peer(std::optional<PeerId> peer, std::string_view message) override;
  void log(std::string_view line) override;

 private:
  kept::Entry& entry_;
};

}  // namespace ospreypost::record
