#include "policy/table_publisher.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "policy/log_events.h"

namespace ospreypost::policy {
namespace {

/// Minimum relative change of an entry's weight that is sent while the channel is empty.
constexpr double kMinRelativeChange = 0.08;
/// Fraction of the channel's non-urgent limit below which the minimum relative change stops growing.
/// The minimum relative change grows as the channel fills, in inverse proportion to the fraction left.
constexpr double kMinChannelLeft = 0.2;

const char* text_of(MessageBatch::Reservation reason) {
  switch (reason) {
    case MessageBatch::Reservation::message_limit:
      return "message_limit";
    case MessageBatch::Reservation::held_back:
      return "held_back";
    case MessageBatch::Reservation::channel_full:
      return "channel_full";
    case MessageBatch::Reservation::granted:
      break;
  }
  return "none";
}

double total_weight(const TableEntries& table) {
  double total = 0;
  for (const auto& [id, weight] : table) total += weight;
  return total;
}

}  // namespace

/// The inputs and the message batch of one publication.
struct TablePublisher::Publication {
  const WantedState& wanted;
  ReplicaMap& replicas;
  const SlowStart& slow_start;
  const SubsetAssignment& assignment;
  Nanos now;
  MessageBatch batch;

  bool may_serve(const Replica& replica) const { return slow_start.may_serve(replica, now); }
  bool needs_ejection(const Replica& replica) const { return !replica.ejected && !may_serve(replica); }
};

TablePublisher::TablePublisher(const Settings& settings, ControlChannel& channel, ActionSink& actions)
    : channel_(channel),
      actions_(actions),
      configured_overhead_(settings.message_overhead_entries),
      pacing_(settings),
      publish_interval_(std::max<Nanos>(settings.report_interval, 3 * pacing_.min_gap() / 2)),
      admitted_fractions_(settings.classes.size(), 1.0),
      table_admission_(static_cast<double>(settings.classes.size()), actions),
      message_overhead_(configured_overhead_ + 1) {}  // 1 entry for the acknowledgement request

void TablePublisher::set_table_count(std::size_t subsets, std::size_t groups) {
  if (!tables_.empty()) return;
  tables_.assign(subsets, std::vector<TableEntries>(groups));
  pacing_.set_subset_count(subsets);
  table_admission_.set_table_count(subsets, groups);
}

TableId TablePublisher::table_id(std::size_t subset, std::size_t group) const {
  return TableId{static_cast<std::uint16_t>(subset * tables_[subset].size() + group)};
}

std::vector<std::size_t> TablePublisher::subsets_holding(ReplicaId id) const {
  std::vector<std::size_t> holding_subsets;
  for (std::size_t subset = 0; subset < tables_.size(); ++subset) {
    const auto holds = [id](const TableEntries& table) { return table.contains(id); };
    if (std::any_of(tables_[subset].begin(), tables_[subset].end(), holds)) holding_subsets.push_back(subset);
  }
  return holding_subsets;
}

void TablePublisher::publish(const WantedState& wanted, ReplicaMap& replicas, const SlowStart& slow_start,
                             const SubsetAssignment& assignment, Nanos now) {
  is_urgent_ = false;
  Publication publication{
      wanted,     replicas,
      slow_start, assignment,
      now,        {channel_, assignment, pacing_.allowances(assignment, now), message_overhead_, now}};
  eject(publication);
  release_subsets_without_endpoints(publication);
  table_admission_.lower(wanted.tables, wanted.retry_mode, publication.batch);
  is_urgent_ = is_urgent_ || table_admission_.any_pending();
  send_admission(publication);
  const std::set<ReplicaId> unsent = send_tables(publication);
  readmit(publication, unsent);
  table_admission_.raise(wanted.tables, wanted.retry_mode, tables_, publication.batch);
  const auto& batch = publication.batch;
  pacing_.count_messages(
      assignment, [&](const Proxy& proxy) { return batch.has_message_to(proxy); }, now);
  for (std::size_t subset = 0; subset < tables_.size(); ++subset) {
    if (!batch.has_message(subset) || assignment.subsets()[subset].proxies <= 0) continue;
    next_publication_ = now + publish_interval_;
  }
}

void TablePublisher::eject(Publication& publication) {
  std::erase_if(delayed_ejections_, [&](const auto& delayed) {
    const auto known = publication.replicas.find(delayed.first);
    return known == publication.replicas.end() || !publication.needs_ejection(known->second);
  });
  std::vector<ReplicaId> kept_out;
  for (const auto id : ids_to_eject(publication)) {
    auto& replica = publication.replicas.at(id);
    if (replica.kept_out && replica.is_ready()) {
      kept_out.push_back(id);
    } else {
      eject_one(publication, id, replica);
    }
  }
  if (!kept_out.empty()) eject_together(publication, kept_out);
}

/// Returns the replicas that have to be ejected, those first that wait longest. An ejection needs all subsets
/// that hold the replica at once, and would never find them free if later ejections could use them before.
std::vector<ReplicaId> TablePublisher::ids_to_eject(const Publication& publication) const {
  std::vector<ReplicaId> ids;
  for (const auto& [id, replica] : publication.replicas) {
    if (publication.needs_ejection(replica)) ids.push_back(id);
  }
  const auto due_since = [&](ReplicaId id) {
    const auto delayed = delayed_ejections_.find(id);
    return delayed == delayed_ejections_.end() ? publication.now : delayed->second.since;
  };
  std::stable_sort(ids.begin(), ids.end(),
                   [&](ReplicaId left, ReplicaId right) { return due_since(left) < due_since(right); });
  return ids;
}

/// Ejects replicas whose tables would overload them. Without the others, each of them would get even more.
void TablePublisher::eject_together(Publication& publication, const std::vector<ReplicaId>& ids) {
  std::set<std::size_t> holding_subsets;
  for (const auto id : ids) {
    for (const auto subset : subsets_holding(id)) holding_subsets.insert(subset);
  }
  const std::vector<std::size_t> subsets(holding_subsets.begin(), holding_subsets.end());
  const auto entries = static_cast<double>(ids.size());
  const auto reservation = publication.batch.try_reserve(subsets, entries, MessageBatch::Unassigned::included,
                                                         MessageBatch::Urgency::urgent);
  if (reservation != MessageBatch::Reservation::granted) {
    for (const auto id : ids) delay_ejection(id, reservation, publication.now);
    hold_back(publication, subsets);
    return;
  }
  for (const auto id : ids) send_ejection(publication, id);
}

void TablePublisher::delay_ejection(ReplicaId id, MessageBatch::Reservation reason, Nanos now) {
  delayed_ejections_.try_emplace(id, DelayedEjection{now, reason});
}

void TablePublisher::send_ejection(Publication& publication, ReplicaId id) {
  publication.replicas.at(id).ejected = true;
  actions_.set_ejected(id, true);
  const auto delayed = delayed_ejections_.find(id);
  if (delayed == delayed_ejections_.end()) return;
  const auto& [since, reason] = delayed->second;
  actions_.log(log_events::ejection_delayed(id, publication.now - since, text_of(reason)));
  delayed_ejections_.erase(delayed);
}

/// Keeps the next messages of the subsets free for an ejection that could not be sent.
void TablePublisher::hold_back(Publication& publication, const std::vector<std::size_t>& subsets) {
  for (const auto subset : subsets) publication.batch.hold_back(subset);
  is_urgent_ = true;
}

/// Lets proxies without endpoints get entries even if their subset is held back.
void TablePublisher::release_subsets_without_endpoints(Publication& publication) const {
  for (std::size_t subset = 0; subset < tables_.size(); ++subset) {
    if (!has_endpoints(publication, subset)) publication.batch.release(subset);
  }
}

void TablePublisher::eject_one(Publication& publication, ReplicaId id, Replica& replica) {
  const auto holding_subsets = subsets_holding(id);
  const auto reservation = publication.batch.try_reserve(
      holding_subsets, 1, MessageBatch::Unassigned::included, MessageBatch::Urgency::urgent);
  if (reservation != MessageBatch::Reservation::granted) {
    delay_ejection(id, reservation, publication.now);
    hold_back(publication, holding_subsets);
    return;
  }
  // A replica that is draining or gone leaves its tables together with the ejection, so that its removal
  // never costs a second entry.
  if (!replica.is_ready()) {
    for (const auto subset : holding_subsets) {
      for (std::size_t group = 0; group < tables_[subset].size(); ++group) {
        if (tables_[subset][group].erase(id) > 0) actions_.set_table_entry(table_id(subset, group), id, 0);
      }
    }
  }
  send_ejection(publication, id);
}

void TablePublisher::send_admission(Publication& publication) {
  const auto& wanted = publication.wanted;
  std::vector<std::size_t> changed;
  auto urgency = MessageBatch::Urgency::normal;
  for (std::size_t cls = 0; cls < admitted_fractions_.size(); ++cls) {
    const double published = admitted_fractions_[cls];
    const double fraction = wanted.admitted_fractions[cls];
    if (fraction < published - kMinRelativeChange) urgency = MessageBatch::Urgency::urgent;
    const bool admits_all_again = fraction >= 1 && published < 1;
    const bool differs = std::abs(fraction - published) > kMinRelativeChange;
    if (admits_all_again || differs || wanted.retry_mode != retry_mode_) changed.push_back(cls);
  }
  if (changed.empty()) return;
  std::vector<std::size_t> all_subsets(tables_.size());
  std::iota(all_subsets.begin(), all_subsets.end(), std::size_t{0});
  const auto entries = static_cast<double>(changed.size());
  const auto reservation =
      publication.batch.try_reserve(all_subsets, entries, MessageBatch::Unassigned::included, urgency);
  if (reservation != MessageBatch::Reservation::granted) {
    is_urgent_ = is_urgent_ || urgency == MessageBatch::Urgency::urgent;
    return;
  }
  for (const auto cls : changed) {
    admitted_fractions_[cls] = wanted.admitted_fractions[cls];
    actions_.set_admitted_fraction(kAllTables, static_cast<ClassMask>(1U << cls), admitted_fractions_[cls],
                                   wanted.retry_mode);
  }
  retry_mode_ = wanted.retry_mode;
  // From now on the overhead of every message includes one entry for each class's admitted fraction.
  message_overhead_ = configured_overhead_ + 1 + static_cast<double>(admitted_fractions_.size());
  publication.batch.set_message_overhead(message_overhead_);
}

/// Returns the replicas with a change that was not sent.
std::set<ReplicaId> TablePublisher::send_tables(Publication& publication) {
  // Table changes may fill the channel up to the non-urgent limit only. The part beyond is reserved for
  // urgent entries, such as those of a subset without endpoints.
  const double urgent_capacity =
      (kUrgentQueueFraction - kNonUrgentQueueFraction) * channel_.max_queued_entries();
  publication.batch.change_capacity(-urgent_capacity);
  std::set<ReplicaId> unsent;
  for (const auto& subset_changes : find_changes(publication)) {
    const std::size_t sent = send_changes(publication, subset_changes, urgent_capacity);
    const auto& changes = subset_changes.changes;
    unsent.insert(subset_changes.postponed.begin(), subset_changes.postponed.end());
    for (std::size_t position = sent; position < changes.size(); ++position) {
      unsent.insert(changes[position].replica);
    }
  }
  publication.batch.change_capacity(urgent_capacity);
  return unsent;
}

std::vector<TablePublisher::SubsetChanges> TablePublisher::find_changes(const Publication& publication) {
  const double non_urgent_limit = kNonUrgentQueueFraction * channel_.max_queued_entries();
  const double channel_left = 1 - channel_.queued_entries(publication.now) / non_urgent_limit;
  const double min_change = kMinRelativeChange / std::max(kMinChannelLeft, channel_left);
  std::vector<SubsetChanges> all;
  for (std::size_t subset = 0; subset < tables_.size(); ++subset) {
    SubsetChanges found{subset, has_endpoints(publication, subset), 0,
                        changes_of(publication, subset, min_change), postponed_in(publication, subset)};
    for (const auto& change : found.changes) found.total_difference += change.difference;
    all.push_back(std::move(found));
  }
  // Subsets without endpoints come first, then those whose tables differ most from the wanted ones.
  std::stable_sort(all.begin(), all.end(), [](const SubsetChanges& left, const SubsetChanges& right) {
    if (left.has_endpoints != right.has_endpoints) return right.has_endpoints;
    return left.total_difference > right.total_difference;
  });
  return all;
}

/// Sends as many of the subset's changes as fit, in order, and returns their number.
std::size_t TablePublisher::send_changes(Publication& publication, const SubsetChanges& subset_changes,
                                         double urgent_capacity) {
  auto& batch = publication.batch;
  const auto& [subset, has_endpoints, total_difference, changes, postponed] = subset_changes;
  // Proxies without endpoints get entries even if the channel is nearly full.
  if (!has_endpoints) batch.change_capacity(urgent_capacity);
  const double proxies = publication.assignment.subsets()[subset].proxies;
  const double capacity = std::max(0.0, batch.capacity() / std::max(1.0, proxies) - batch.message_overhead());
  std::size_t fitting = std::min(changes.size(), static_cast<std::size_t>(capacity));
  if (fitting > 0) {
    const auto urgency = has_endpoints ? MessageBatch::Urgency::normal : MessageBatch::Urgency::urgent;
    const auto reservation = batch.try_reserve({subset}, static_cast<double>(fitting),
                                               MessageBatch::Unassigned::excluded, urgency);
    if (reservation != MessageBatch::Reservation::granted) fitting = 0;
  }
  if (!has_endpoints) batch.change_capacity(-urgent_capacity);
  for (std::size_t position = 0; position < fitting; ++position) {
    const auto& change = changes[position];
    auto& table = tables_[subset][change.group];
    actions_.set_table_entry(table_id(subset, change.group), change.replica, change.weight);
    if (change.weight > 0) {
      table[change.replica] = change.weight;
    } else {
      table.erase(change.replica);
    }
  }
  return fitting;
}

bool TablePublisher::has_endpoints(const Publication& publication, std::size_t subset) const {
  const auto may_be_picked = [&](const TableEntries::value_type& entry) {
    const auto& replica = publication.replicas.at(entry.first);
    return !replica.ejected && publication.may_serve(replica);
  };
  return std::all_of(tables_[subset].begin(), tables_[subset].end(), [&](const TableEntries& table) {
    return std::any_of(table.begin(), table.end(), may_be_picked);
  });
}

/// Returns the differences between a subset's published and wanted tables, the largest first.
std::vector<TablePublisher::Change> TablePublisher::changes_of(const Publication& publication,
                                                               std::size_t subset, double min_change) const {
  std::vector<Change> changes;
  for (std::size_t group = 0; group < tables_[subset].size(); ++group) {
    if (!table_admission_.is_pending(subset, group)) {
      add_differences(publication.wanted.tables.at(subset, group), subset, group, min_change, changes);
    }
    add_removals(publication, subset, group, changes);
  }
  std::stable_sort(changes.begin(), changes.end(), [](const Change& left, const Change& right) {
    return left.difference > right.difference;
  });
  return changes;
}

/// Adds the entries that are new or have another weight.
void TablePublisher::add_differences(const TableEntries& wanted, std::size_t subset, std::size_t group,
                                     double min_change, std::vector<Change>& changes) const {
  const auto& published = tables_[subset][group];
  const double weights = total_weight(wanted);
  for (const auto& [id, weight] : wanted) {
    const auto entry = published.find(id);
    const bool is_new = entry == published.end();
    const double published_weight = is_new ? 0 : entry->second;
    const double difference = std::abs(weight - published_weight);
    // New entries and entries whose weight falls by more than half, as after a restart, are sent first.
    const bool is_prioritized = is_new || weight < published_weight / 2;
    if (!is_prioritized && difference <= min_change * published_weight) continue;
    changes.push_back({difference / weights + (is_prioritized ? 1 : 0), group, id, weight});
  }
}

/// Returns the replicas of the subset's tables that cannot be changed before a lower admitted fraction is
/// sent.
std::set<ReplicaId> TablePublisher::postponed_in(const Publication& publication, std::size_t subset) const {
  std::set<ReplicaId> postponed;
  for (std::size_t group = 0; group < tables_[subset].size(); ++group) {
    if (!table_admission_.is_pending(subset, group)) continue;
    for (const auto& [id, weight] : publication.wanted.tables.at(subset, group)) postponed.insert(id);
  }
  return postponed;
}

/// Adds the removal of published entries that are no longer wanted.
void TablePublisher::add_removals(const Publication& publication, std::size_t subset, std::size_t group,
                                  std::vector<Change>& changes) const {
  const auto& wanted = publication.wanted.tables.at(subset, group);
  // An empty table is not published, since it would leave the subset's proxies without endpoints.
  if (wanted.empty()) return;
  const bool is_pending = table_admission_.is_pending(subset, group);
  for (const auto& [id, weight] : tables_[subset][group]) {
    const auto& replica = publication.replicas.at(id);
    // A ready replica that is ejected as an outlier keeps its entry, which is used again on its return.
    const bool keeps_entry = replica.is_ready() && (is_pending || replica.breaker.is_open());
    if (!wanted.contains(id) && !keeps_entry) changes.push_back({0, group, id, 0});
  }
}

void TablePublisher::readmit(Publication& publication, const std::set<ReplicaId>& unsent) {
  for (auto& [id, replica] : publication.replicas) {
    // A replica returns only after its new entry was sent, since the weight that proxies have is outdated.
    if (!replica.ejected || !publication.may_serve(replica) || unsent.contains(id)) continue;
    const auto holding_subsets = subsets_holding(id);
    const bool all_have_endpoints =
        std::all_of(holding_subsets.begin(), holding_subsets.end(),
                    [&](std::size_t subset) { return has_endpoints(publication, subset); });
    const auto urgency = all_have_endpoints ? MessageBatch::Urgency::normal : MessageBatch::Urgency::urgent;
    const auto reservation =
        publication.batch.try_reserve(holding_subsets, 1, MessageBatch::Unassigned::included, urgency);
    if (reservation != MessageBatch::Reservation::granted) continue;
    actions_.set_ejected(id, false);
    replica.ejected = false;
  }
}

std::optional<double> TablePublisher::cost_of_binding(std::size_t subset, const ReplicaMap& replicas) const {
  double entries = message_overhead_ + table_admission_.binding_cost(subset);
  for (const auto& table : tables_[subset]) {
    if (table.empty()) return std::nullopt;
    entries += 1.0 + static_cast<double>(table.size() + admitted_fractions_.size());
    for (const auto& [id, weight] : table) entries += replicas.at(id).ejected ? 1 : 0;
  }
  return entries;
}

bool TablePublisher::bind(ProxyId proxy, std::size_t subset, const std::vector<RoutingGroup>& groups,
                          const ReplicaMap& replicas, Binding binding, Nanos now) {
  const bool is_migration = binding == Binding::migration;
  if (is_migration ? !pacing_.may_migrate(proxy, now) : !pacing_.may_bind(proxy, now)) return false;
  const auto entries = cost_of_binding(subset, replicas);
  if (!entries) return false;
  const double queue_fraction = is_migration ? kNonUrgentQueueFraction : kJoiningQueueFraction;
  const double max_queued = queue_fraction * channel_.max_queued_entries();
  if (channel_.queued_entries(now) + *entries > max_queued) return false;
  channel_.add(*entries, 1);
  pacing_.count_message(proxy, now);
  for (std::size_t group = 0; group < groups.size(); ++group) {
    actions_.bind(proxy, table_id(subset, group), groups[group].classes);
  }
  return true;
}

}  // namespace ospreypost::policy
