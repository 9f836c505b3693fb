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
using Entries = std::vector<TableEntry>;  // in ascending order of replica ids

// Returns the changes that turn the entries `written` into the entries `published`.
std::vector<WeightChange> differences(const Entries& written, const Entries& published) {
  std::vector<WeightChange> changes;
  auto old_entry = written.begin();
  for (const auto& entry : published) {
    for (; old_entry != written.end() && old_entry->replica < entry.replica; ++old_entry)
      changes.push_back({old_entry->replica, 0});
    const bool was_written = old_entry != written.end() && old_entry->replica == entry.replica;
    if (!was_written || old_entry->weight != entry.weight) changes.push_back({entry.replica, entry.weight});
    if (was_written) ++old_entry;
  }
  for (; old_entry != written.end(); ++old_entry) changes.push_back({old_entry->replica, 0});
  return changes;
}

const Entries& entries_of(const std::shared_ptr<const RoutingTable>& table) {
  static const Entries no_entries;
  return table ? table->entries : no_entries;
}

bool have_same_entries(const std::shared_ptr<const RoutingTable>& left,
                       const std::shared_ptr<const RoutingTable>& right) {
  return left == right || entries_of(left) == entries_of(right);
}

bool has_entry(const RoutingTable& table, ReplicaId replica) {
  const auto entry = std::lower_bound(
      table.entries.begin(), table.entries.end(), replica,
      [](const TableEntry& candidate, ReplicaId wanted) { return candidate.replica < wanted; });
  return entry != table.entries.end() && entry->replica == replica;
}

// Adds `policy_push` to `pushes`. If `pushes` has a push with the same classes and without a policy, that
// push receives the policy instead.
void add_policy(TablePush policy_push, std::vector<TablePush>& pushes) {
  const auto matching_push = std::find_if(pushes.begin(), pushes.end(), [&](const TablePush& push) {
    return !push.policy && push.classes == policy_push.classes;
  });
  if (matching_push == pushes.end()) {
    pushes.push_back(std::move(policy_push));
  } else {
    matching_push->policy = policy_push.policy;
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

void TableUpdateEncoder::request_acknowledgement(ProxyId proxy, AckRequestId request, bool without_update) {
  const auto known = streams_.find(proxy);
  if (known == streams_.end()) return;
  known->second.new_requests.push_back(request);
  known->second.must_send_requests = known->second.must_send_requests || without_update;
  due_.insert(proxy);
}

TableUpdateMessage TableUpdateEncoder::next_message(ProxyId proxy, const EndpointNames& name_of) {
  due_.erase(proxy);
  const auto known = streams_.find(proxy);
  if (known == streams_.end()) return {};
  auto& stream = known->second;
  auto pushes = take_pushes(stream);
  const bool nothing_to_push = pushes.empty();
  if (nothing_to_push && !stream.must_send_requests) stream.new_requests.clear();
  stream.must_send_requests = false;
  if (nothing_to_push && stream.new_requests.empty()) return {};
  if (nothing_to_push) pushes.emplace_back();  // an empty push carries the acknowledgement request

  TablePushEncoder encoder(class_names_, name_of);
  for (const auto& push : pushes) encoder.add(push);
  if (!stream.new_requests.empty()) {
    ++last_nonce_;
    encoder.request_acknowledgement(last_nonce_);
    stream.pending.push_back({last_nonce_, std::exchange(stream.new_requests, {})});
  }
  return encoder.finish();
}

// Returns the pending updates of the stream, which count as sent from then on.
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

// Adds the pending changes of table entries. Classes share one push if their sent entries are the same and
// their published entries are the same.
void TableUpdateEncoder::push_entries(ProxyStream& stream, std::vector<TablePush>& pushes) const {
  std::vector<bool> done(class_names_.size());
  for (std::size_t cls = 0; cls < class_names_.size(); ++cls) {
    const auto& table = stream.published->routing_tables[cls];
    if (done[cls] || !table) continue;
    TablePush push;
    push.classes = classes_with_same_tables(stream, cls);
    push.complete = !stream.written[cls].was_sent;
    push.changes =
        differences(push.complete ? Entries{} : entries_of(stream.written[cls].table), table->entries);
    for (const auto member : push.classes) {
      auto& written = stream.written[member];
      // A complete table resets the traffic policy of its classes to the default.
      if (push.complete) written.policy = default_policy_;
      written.was_sent = true;
      written.table = table;
      done[member] = true;
    }
    if (push.complete || !push.changes.empty()) pushes.push_back(std::move(push));
  }
}

// Returns class `first` and the later classes with the same sent and the same published entries.
std::vector<std::size_t> TableUpdateEncoder::classes_with_same_tables(const ProxyStream& stream,
                                                                      std::size_t first) const {
  const auto& published = stream.published->routing_tables;
  const auto& first_written = stream.written[first];
  std::vector<std::size_t> matching;
  for (std::size_t cls = first; cls < class_names_.size(); ++cls) {
    const auto& written = stream.written[cls];
    const bool same_published = published[cls] && have_same_entries(published[cls], published[first]);
    const bool same_written =
        written.was_sent == first_written.was_sent && have_same_entries(written.table, first_written.table);
    if (same_published && same_written) matching.push_back(cls);
  }
  return matching;
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
  std::vector<AckRequestId> completed;
  const auto known = streams_.find(proxy);
  if (known == streams_.end()) return completed;
  auto& pending = known->second.pending;
  const auto answered =
      std::find_if(pending.begin(), pending.end(),
                   [&](const PendingAcknowledgement& candidate) { return candidate.nonce == nonce; });
  if (answered == pending.end()) return completed;
  const auto completed_end = std::next(answered);  // `pending` is in ascending order of nonces
  for (auto message = pending.begin(); message != completed_end; ++message)
    completed.insert(completed.end(), message->requests.begin(), message->requests.end());
  pending.erase(pending.begin(), completed_end);
  return completed;
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
