#include "record/orders.h"

#include "record.pb.h"

namespace ospreypost::record {
namespace {

template <typename Id>
auto number(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace

void OrderNotes::set_line(TableId table, ReplicaId replica, double weight) {
  auto& to = *entry_.add_orders()->mutable_set_line();
  to.set_table(number(table));
  to.set_replica(number(replica));
  to.set_weight(weight);
}
void OrderNotes::clear_table(TableId table) { entry_.add_orders()->set_clear_table(number(table)); }
void OrderNotes::bind(ProxyId proxy, TableId table, ClassMask classes) {
  auto& to = *entry_.add_orders()->mutable_bind();
  to.set_proxy(number(proxy));
  to.set_table(number(table));
  to.set_classes(classes);
}
void OrderNotes::withdraw(ReplicaId replica, bool out) {
  auto& to = *entry_.add_orders()->mutable_withdraw();
  to.set_replica(number(replica));
  to.set_out(out);
}
void OrderNotes::set_level(TableId table, ClassMask classes, double level, Retry retry) {
  auto& to = *entry_.add_orders()->mutable_set_level();
  to.set_table(number(table));
  to.set_classes(classes);
  to.set_level(level);
  to.set_retry(number(retry));
}
void OrderNotes::mark(MarkId mark, bool reach_all) {
  auto& to = *entry_.add_orders()->mutable_mark();
  to.set_mark(number(mark));
  to.set_reach_all(reach_all);
}
void OrderNotes::arm(Nanos from_now, TimerId timer) {
  auto& to = *entry_.add_orders()->mutable_arm();
  to.set_from_now(from_now.count());
  to.set_timer(number(timer));
}
void OrderNotes::watch_list(bool on) { entry_.add_orders()->set_watch_list(on); }
void OrderNotes::look_up_list() { entry_.add_orders()->set_look_up_list(true); }
void OrderNotes::probe(ReplicaId replica) { entry_.add_orders()->set_probe(number(replica)); }
void OrderNotes::tell(std::optional<PeerId> peer, std::string_view message) {
  auto& to = *entry_.add_orders()->mutable_tell();
  if (peer) to.set_peer(number(*peer));
  to.set_message(std::string(message));
}
void OrderNotes::log(std::string_view line) { entry_.add_orders()->set_log(std::string(line)); }

}  // namespace ospreypost::record
