#include "record/action_encoder.h"

#include <string>
#include <type_traits>

#include "record.pb.h"

namespace ospreypost::record {
namespace {

template <typename Id>
auto number(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

void encode(const SetTableEntry& action, kept::Order& order) {
  auto& encoded = *order.mutable_set_line();
  encoded.set_table(number(action.table));
  encoded.set_replica(number(action.replica));
  encoded.set_weight(action.weight);
}

void encode(const ClearTable& action, kept::Order& order) { order.set_clear_table(number(action.table)); }

void encode(const BindProxy& action, kept::Order& order) {
  auto& encoded = *order.mutable_bind();
  encoded.set_proxy(number(action.proxy));
  encoded.set_table(number(action.table));
  encoded.set_classes(action.classes);
}

void encode(const SetEjected& action, kept::Order& order) {
  auto& encoded = *order.mutable_withdraw();
  encoded.set_replica(number(action.replica));
  encoded.set_out(action.ejected);
}

void encode(const SetAdmittedFraction& action, kept::Order& order) {
  auto& encoded = *order.mutable_set_level();
  encoded.set_table(number(action.table));
  encoded.set_classes(action.classes);
  encoded.set_level(action.fraction);
  encoded.set_retry(number(action.retry));
}

void encode(const RequestAcknowledgement& action, kept::Order& order) {
  auto& encoded = *order.mutable_mark();
  encoded.set_mark(number(action.request));
  encoded.set_reach_all(action.reach_all);
}

void encode(const StartTimer& action, kept::Order& order) {
  auto& encoded = *order.mutable_arm();
  encoded.set_from_now(action.delay.count());
  encoded.set_timer(number(action.timer));
}

void encode(const WatchEndpointList& action, kept::Order& order) { order.set_watch_list(action.enabled); }

void encode(const RefreshEndpointList&, kept::Order& order) { order.set_look_up_list(true); }

void encode(const RequestHealthCheck& action, kept::Order& order) { order.set_probe(number(action.replica)); }

void encode(const SendToPeer& action, kept::Order& order) {
  auto& encoded = *order.mutable_tell();
  if (action.peer) encoded.set_peer(number(*action.peer));
  encoded.set_message(std::string(action.message));
}

void encode(const LogLine& action, kept::Order& order) { order.set_log(std::string(action.text)); }

}  // namespace

void encode_action(const Action& action, kept::Entry& entry) {
  auto& order = *entry.add_orders();
  std::visit([&order](const auto& typed_action) { encode(typed_action, order); }, action);
}

}  // namespace ospreypost::record
