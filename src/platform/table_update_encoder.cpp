#include "platform/table_update_encoder.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/table_push.h"
#include "policy/controller.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::platform {
namespace {

using routing_state::RoutingTable;
using routing_state::TableEntry;
using Entries = std::vector<TableEntry>;  // by ascending replica

// The changes that turn the one into the other.
std::vector<WeightChange> differences(const Entries& written, const Entries& published) {
  std::vector<WeightChange> changes;
  auto old = written.begin();
  for (const auto& entry : published) {
    for (; old != written.end() && old->replica < entry.replica; ++old) changes.push_back({old->replica, 0});
    const bool was_written = old != written.end() && old->replica == entry.replica;
    if (!was_written || old->weight != entry.weight) changes.push_back({entry.replica, entry.weight});
    if (was_written) ++old;
  }
  for (; old != written.end(); ++old) changes.push_back({old->replica, 0});
  return changes;
}

const Entries& entries_of(const std::shared_ptr<const RoutingTable>& table) {
  static const Entries no_entries;
  return table ? table->entries : no_entries;
}

bool have_same_entries(const std::shared_ptr<const RoutingTable>& one,
                       const std::shared_ptr<const RoutingTable>& other) {
  return one == other || entries_of(one) == entries_of(other);
}

bool has_entry(const RoutingTable& table, ReplicaId replica) {
  const auto entry =
      std::lower_bound(table.entries.begin(), table.entries.end(), replica,
                       [](const TableEntry& one, ReplicaId wanted) { return one.replica < wanted; });
  return entry != table.entries.end() && entry->replica == replica;
}

// Where the entries of just these classes go, their policy goes along.
void add_policy(TablePush policy_push, std::vector<TablePush>& pushes) {
  const auto companion = std::find_if(pushes.begin(), pushes.end(), [&](const TablePush& push) {
    return !push.policy && push.classes == policy_push.classes;
  });
  if (companion == pushes.end()) {
    pushes.push_back(std::move(policy_push));
  } else {
    companion->policy = policy_push.policy;
  }
}

}  // namespace

TableUpdateEncoder::TableUpdateEncoder(std::vector<std::string> class_names, RetryMode default_retry)
    : class_names_(std::move(class_names)), default_policy_{1, default_retry} {}

void TableUpdateEncoder::on_proxy_joined(ProxyId proxy) {
  auto& stream = streams_[proxy];
  stream = {};
  stream.written.assign(class_names_.size(), WrittenTable{false, nullptr, default_policy_});
  due_.erase(proxy);
}

void TableUpdateEncoder::on_proxy_left(ProxyId proxy) {
  streams_.erase(proxy);
  due_.erase(proxy);
}

void TableUpdateEncoder::on_published(ProxyId proxy,
                                      std::shared_ptr<const routing_state::ProxySnapshot> snapshot) {
  const auto known = streams_.find(proxy);
  if (known == streams_.end() || !snapshot) return;
  known->second.published = std::move(snapshot);
  known->second.replicas_to_drop.clear();
  due_.insert(proxy);
}

void TableUpdateEncoder::drop_replicas(const std::vector<ReplicaId>& replicas) {
  if (replicas.empty()) return;
  for (auto& [proxy, stream] : streams_) {
    if (stream.published) continue;
    auto& to_drop = stream.replicas_to_drop;
    for (const auto replica : replicas) {
      if (std::find(to_drop.begin(), to_drop.end(), replica) == to_drop.end()) to_drop.push_back(replica);
    }
    due_.insert(proxy);
  }
}

void TableUpdateEncoder::request_acknowledgement(ProxyId proxy, AckRequestId request, bool even_alone) {
  const auto known = streams_.find(proxy);
  if (known == streams_.end()) return;
  known->second.new_requests.push_back(request);
  known->second.must_request = known->second.must_request || even_alone;
  due_.insert(proxy);
}

TableUpdateMessage TableUpdateEncoder::next_message(ProxyId proxy, const EndpointNames& name_of) {
  due_.erase(proxy);
  const auto known = streams_.find(proxy);
  if (known == streams_.end()) return {};
  auto& stream = known->second;
  auto pushes = take_pushes(stream);
  const bool nothing_to_push = pushes.empty();
  if (nothing_to_push && !stream.must_request) stream.new_requests.clear();
  stream.must_request = false;
  if (nothing_to_push && stream.new_requests.empty()) return {};
  if (nothing_to_push) pushes.emplace_back();  // carries the request

  TablePushEncoder encoder(class_names_, name_of);
  for (const auto& push : pushes) encoder.add(push);
  if (!stream.new_requests.empty()) {
    ++last_nonce_;
    encoder.request_acknowledgement(last_nonce_);
    stream.pending.push_back({last_nonce_, std::exchange(stream.new_requests, {})});
  }
  return encoder.finish();
}

// What is to be written; it counts as written from then on.
std::vector<TablePush> TableUpdateEncoder::take_pushes(ProxyStream& stream) const {
  std::vector<TablePush> pushes;
  if (stream.published) {
    push_entries(stream, pushes);
    push_policies(stream, pushes);
  } else if (!stream.replicas_to_drop.empty()) {
    pushes.push_back(take_dropped_replicas(stream));
  }
  return pushes;
}

// Classes that have the same entries and are to have the same ones share a push.
void TableUpdateEncoder::push_entries(ProxyStream& stream, std::vector<TablePush>& pushes) const {
  std::vector<bool> done(class_names_.size());
  for (std::size_t cls = 0; cls < class_names_.size(); ++cls) {
    const auto& table = stream.published->routing_tables[cls];
    if (done[cls] || !table) continue;
    TablePush push;
    push.classes = classes_alike(stream, cls);
    push.complete = !stream.written[cls].is_from_here;
    push.changes =
        differences(push.complete ? Entries{} : entries_of(stream.written[cls].table), table->entries);
    for (const auto member : push.classes) {
      auto& written = stream.written[member];
      // A complete table brings its classes back to the default policy.
      if (push.complete) written.policy = default_policy_;
      written.is_from_here = true;
      written.table = table;
      done[member] = true;
    }
    if (push.complete || !push.changes.empty()) pushes.push_back(std::move(push));
  }
}

// The class, and those after it with the same entries as written and as published.
std::vector<std::size_t> TableUpdateEncoder::classes_alike(const ProxyStream& stream,
                                                           std::size_t first) const {
  const auto& published = stream.published->routing_tables;
  const auto& first_written = stream.written[first];
  std::vector<std::size_t> alike;
  for (std::size_t cls = first; cls < class_names_.size(); ++cls) {
    const auto& written = stream.written[cls];
    const bool same_published = published[cls] && have_same_entries(published[cls], published[first]);
    const bool same_written = written.is_from_here == first_written.is_from_here &&
                              have_same_entries(written.table, first_written.table);
    if (same_published && same_written) alike.push_back(cls);
  }
  return alike;
}

void TableUpdateEncoder::push_policies(ProxyStream& stream, std::vector<TablePush>& pushes) const {
  const auto& published = stream.published->routing_tables;
  const auto differs = [&](std::size_t cls) {
    return published[cls] && published[cls]->traffic_policies[cls] != stream.written[cls].policy;
  };
  for (std::size_t cls = 0; cls < class_names_.size(); ++cls) {
    if (!differs(cls)) continue;
    const auto policy = published[cls]->traffic_policies[cls];
    TablePush push;
    push.policy = policy;
    for (std::size_t other = cls; other < class_names_.size(); ++other) {
      if (!differs(other) || published[other]->traffic_policies[other] != policy) continue;
      push.classes.push_back(other);
      stream.written[other].policy = policy;
    }
    add_policy(std::move(push), pushes);
  }
}

TablePush TableUpdateEncoder::take_dropped_replicas(ProxyStream& stream) const {
  TablePush push;
  for (std::size_t cls = 0; cls < class_names_.size(); ++cls) push.classes.push_back(cls);
  for (const auto replica : stream.replicas_to_drop) push.changes.push_back({replica, 0});
  stream.replicas_to_drop.clear();
  return push;
}

std::vector<AckRequestId> TableUpdateEncoder::on_acknowledgement(ProxyId proxy, std::uint64_t nonce) {
  std::vector<AckRequestId> settled;
  const auto known = streams_.find(proxy);
  if (known == streams_.end()) return settled;
  auto& pending = known->second.pending;
  const auto answered = std::find_if(pending.begin(), pending.end(),
                                     [&](const PendingAcknowledgement& one) { return one.nonce == nonce; });
  if (answered == pending.end()) return settled;
  const auto settled_end = std::next(answered);  // nonces ascend
  for (auto one = pending.begin(); one != settled_end; ++one)
    settled.insert(settled.end(), one->requests.begin(), one->requests.end());
  pending.erase(pending.begin(), settled_end);
  return settled;
}

std::vector<ReplicaId> TableUpdateEncoder::unused_replicas(const std::vector<ReplicaId>& replicas) const {
  if (replicas.empty()) return {};
  const auto tables = tables_in_use();
  std::vector<ReplicaId> unused;
  for (const auto replica : replicas) {
    const bool used = std::any_of(tables.begin(), tables.end(),
                                  [&](const RoutingTable* table) { return has_entry(*table, replica); });
    if (!used) unused.push_back(replica);
  }
  return unused;
}

std::set<const RoutingTable*> TableUpdateEncoder::tables_in_use() const {
  std::set<const RoutingTable*> tables;
  for (const auto& [proxy, stream] : streams_) {
    for (const auto& written : stream.written) tables.insert(written.table.get());
    if (!stream.published) continue;
    for (const auto& table : stream.published->routing_tables) tables.insert(table.get());
  }
  tables.erase(nullptr);
  return tables;
}

}  // namespace ospreypost::platform
