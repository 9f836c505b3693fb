#include "record/action_encoder.h"

#include <string>
#include <variant>

#include "record.pb.h"
#include "record/id_number.h"

namespace ospreypost::record {
namespace {

void encode(const SetTableEntry& action, kept::Order& encoded_action) {
  auto& encoded = *encoded_action.mutable_set_line();
  encoded.set_table(id_number(action.table));
  encoded.set_replica(id_number(action.replica));
  encoded.set_weight(action.weight);
}

void encode(const ClearTable& action, kept::Order& encoded_action) {
  encoded_action.set_clear_table(id_number(action.table));
}

void encode(const BindProxy& action, kept::Order& encoded_action) {
  auto& encoded = *encoded_action.mutable_bind();
  encoded.set_proxy(id_number(action.proxy));
  encoded.set_table(id_number(action.table));
  encoded.set_classes(action.classes);
}

void encode(const SetEjected& action, kept::Order& encoded_action) {
  auto& encoded = *encoded_action.mutable_withdraw();
  encoded.set_replica(id_number(action.replica));
  encoded.set_out(action.ejected);
}

void encode(const SetAdmittedFraction& action, kept::Order& encoded_action) {
  auto& encoded = *encoded_action.mutable_set_level();
  encoded.set_table(id_number(action.table));
  encoded.set_classes(action.classes);
  encoded.set_level(action.fraction);
  encoded.set_retry(id_number(action.retry));
}

void encode(const RequestAcknowledgement& action, kept::Order& encoded_action) {
  auto& encoded = *encoded_action.mutable_mark();
  encoded.set_mark(id_number(action.request));
  encoded.set_reach_all(action.all_proxies);
}

void encode(const StartTimer& action, kept::Order& encoded_action) {
  auto& encoded = *encoded_action.mutable_arm();
  encoded.set_from_now(action.delay.count());
  encoded.set_timer(id_number(action.timer));
}

void encode(const WatchEndpointList& action, kept::Order& encoded_action) {
  encoded_action.set_watch_list(action.enabled);
}

void encode(const RefreshEndpointList&, kept::Order& encoded_action) {
  encoded_action.set_look_up_list(true);
}

void encode(const RequestHealthCheck& action, kept::Order& encoded_action) {
  encoded_action.set_probe(id_number(action.replica));
}

void encode(const SendToPeer& action, kept::Order& encoded_action) {
  auto& encoded = *encoded_action.mutable_tell();
  if (action.peer) encoded.set_peer(id_number(*action.peer));
  encoded.set_message(std::string(action.message));
}

void encode(const LogLine& action, kept::Order& encoded_action) {
  encoded_action.set_log(std::string(action.text));
}

}  // namespace

void encode_action(const Action& action, kept::Entry& entry) {
  auto& encoded_action = *entry.add_orders();
  std::visit([&encoded_action](const auto& typed_action) { encode(typed_action, encoded_action); }, action);
}

}  // namespace ospreypost::record
