#include "record/action_encoder.h"

#include "record.pb.h"

namespace ospreypost::record {
namespace {

template <typename Id>
auto number(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace

void ActionEncoder::set_table_entry(TableId table, ReplicaId replica, double weight) {
  auto& to = *entry_.add_orders()->mutable_set_line();
  to.set_table(number(table));
  to.set_replica(number(replica));
  to.set_weight(weight);
}
void ActionEncoder::clear_table(TableId table) { entry_.add_orders()->set_clear_table(number(table)); }
void ActionEncoder::bind(ProxyId proxy, TableId table, ClassMask classes) {
  auto& to = *entry_.add_orders()->mutable_bind();
  to.set_proxy(number(proxy));
  to.set_table(number(table));
  to.set_classes(classes);
}
void ActionEncoder::set_ejected(ReplicaId replica, bool out) {
  auto& to = *entry_.add_orders()->mutable_withdraw();
  to.set_replica(number(replica));
  to.set_out(out);
}
void ActionEncoder::set_admitted_fraction(TableId table, ClassMask classes, double level, RetryMode retry) {
  auto& to = *entry_.add_orders()->mutable_set_level();
  to.set_table(number(table));
  to.set_classes(classes);
  to.set_level(level);
  to.set_retry(number(retry));
}
void ActionEncoder::request_acknowledgement(AckRequestId mark, bool reach_all) {
  auto& to = *entry_.add_orders()->mutable_mark();
  to.set_mark(number(mark));
  to.set_reach_all(reach_all);
}
void ActionEncoder::start_timer(Nanos from_now, TimerId timer) {
  auto& to = *entry_.add_orders()->mutable_arm();
  to.set_from_now(from_now.count());
  to.set_timer(number(timer));
}
void ActionEncoder::watch_endpoint_list(bool on) { entry_.add_orders()->set_watch_list(on); }
void ActionEncoder::refresh_endpoint_list() { entry_.add_orders()->set_look_up_list(true); }
void ActionEncoder::request_health_check(ReplicaId replica) {
  entry_.add_orders()->set_probe(number(replica));
}
void ActionEncoder::send_to_peer(std::optional<PeerId> peer, std::string_view message) {
  auto& to = *entry_.add_orders()->mutable_tell();
  if (peer) to.set_peer(number(*peer));
  to.set_message(std::string(message));
}
void ActionEncoder::log(std::string_view line) { entry_.add_orders()->set_log(std::string(line)); }

}  // namespace ospreypost::record
