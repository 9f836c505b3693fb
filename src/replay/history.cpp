#include "replay/history.h"

#include <algorithm>
#include <utility>

#include "record.pb.h"
#include "record/errors.h"
#include "replay/decode_id.h"
#include "replay/event_decoder.h"
#include "replay/plausibility.h"

namespace ospreypost::replay {

using kept::Entry;

simulation::History HistoryReader::finish(const record::Corruption& corruption) {
  if (history_.lives.empty()) {
    throw record::FormatError("the record holds no start of a governor", "an entry of a start",
                              "no such entry");
  }
  history_.lost = corruption.lost_entries;
  history_.damaged = corruption.corrupt_regions + implausible_entries_;
  for (std::size_t n = 0; n < names_.size(); ++n)
    history_.replicas.push_back(names_.name(ReplicaId{static_cast<std::uint32_t>(n)}));
  history_.reports = reports_.take_reports();
  history_.guessed = reports_.attributed_lines();
  history_.length = history_.lives.back().to;
  return std::move(history_);
}

void HistoryReader::on_entry(const Entry& entry) {
  if (!is_plausible(entry)) {
    ++implausible_entries_;
    return;
  }
  if (entry.has_begin()) {
    begin_incarnation(entry);
    return;
  }
  // Entries before the first start are ignored: the beginning of the record is missing, so their
  // configuration is unknown.
  if (history_.lives.empty()) return;
  const Nanos now = Nanos(entry.at()) + clock_offset_;
  history_.lives.back().to = std::max(history_.lives.back().to, now);
  add_event(now, entry);
}

void HistoryReader::begin_incarnation(const Entry& entry) {
  if (history_.lives.empty()) {
    history_.configuration = entry.begin().configuration();
    first_wall_time_ = entry.begin().wall();
  }
  // The time of the history must not decrease if the wall clock was set back between two incarnations.
  const Nanos last_time = history_.lives.empty() ? Nanos{} : history_.lives.back().to;
  const Nanos now = std::max(last_time, Nanos(entry.begin().wall() - first_wall_time_));
  clock_offset_ = now - Nanos(entry.at());
  history_.lives.push_back({now, now});
  replica_ids_.clear();
  reports_.begin_incarnation();
}

void HistoryReader::add_event(Nanos now, const Entry& entry) {
  switch (entry.call_case()) {
    case Entry::kNamed:
      replica_ids_[entry.named().replica()] = names_.id_of(entry.named().name());
      return;
    case Entry::kListReceived:
      return add_endpoint_list(now, entry);
    case Entry::kListFailed:
      history_.lists.push_back({now, EndpointListKind::changes, true, {}});
      return;
    case Entry::kProxyJoined:
      return add_proxy_joined(now, entry);
    case Entry::kProxyLeft:
      return add_proxy_left(now, entry);
    case Entry::kReplicaSummed:
      return add_replica_load_report(now, entry);
    case Entry::kDemandSummed:
      return add_demand_report(now, entry);
    case Entry::kOrdersApplied:
      history_.applied.push_back(
          {decode_id<ProxyId>(entry.orders_applied().proxy()), Nanos(entry.orders_applied().took())});
      return;
    case Entry::kPeerSaid:
      return add_peer_message(now, entry);
    default:
      return;  // not needed: the simulation model produces its own timers and health checks
  }
}

ReplicaId HistoryReader::replica_id(std::uint32_t recorded_id) {
  const auto found = replica_ids_.find(recorded_id);
  if (found != replica_ids_.end()) return found->second;
  const ReplicaId id = names_.id_of("replica-" + std::to_string(recorded_id));
  replica_ids_[recorded_id] = id;
  return id;
}

void HistoryReader::add_endpoint_list(Nanos now, const Entry& entry) {
  const auto& encoded = entry.list_received();
  simulation::ListEvent list{now, static_cast<EndpointListKind>(encoded.kind()), false, {}};
  for (const auto& line : encoded.entries()) {
    EndpointUpdate update = decode_endpoint_update(line);
    update.replica = replica_id(line.replica());
    if (update.started) *update.started += clock_offset_;
    list.entries.push_back(update);
  }
  history_.lists.push_back(std::move(list));
}

void HistoryReader::add_proxy_joined(Nanos now, const Entry& entry) {
  const auto& joined = entry.proxy_joined();
  simulation::Membership membership;
  membership.at = now;
  membership.proxy = decode_id<ProxyId>(joined.proxy());
  membership.joined = true;
  membership.zone = decode_id<ZoneId>(joined.zone());
  membership.usual_rate = joined.usual_rate();
  membership.fresh = joined.fresh();
  history_.memberships.push_back(membership);
}

void HistoryReader::add_proxy_left(Nanos now, const Entry& entry) {
  simulation::Membership membership;
  membership.at = now;
  membership.proxy = decode_id<ProxyId>(entry.proxy_left());
  membership.joined = false;
  membership.fresh = false;
  history_.memberships.push_back(membership);
}

void HistoryReader::add_replica_load_report(Nanos now, const Entry& entry) {
  const auto& encoded = entry.replica_summed();
  simulation::ReplicaLine met;
  met.replica = replica_id(encoded.replica());
  met.attempts = encoded.tries();
  met.failed = encoded.failed();
  met.mean_latency = Nanos(encoded.mean_time());
  met.load.assign(encoded.load().begin(), encoded.load().end());
  const Nanos span(encoded.span());
  if (!encoded.has_proxy()) {
    reports_.add_unattributed_line(now, span, std::move(met));
    return;
  }
  const auto proxy = decode_id<ProxyId>(encoded.proxy());
  reports_.add_replica_line({now, proxy, Nanos(encoded.late()), span}, std::move(met));
}

void HistoryReader::add_demand_report(Nanos now, const Entry& entry) {
  const auto& encoded = entry.demand_summed();
  const auto proxy = decode_id<ProxyId>(encoded.proxy());
  simulation::DemandLine asked;
  asked.cls = decode_id<ClassId>(encoded.cls());
  asked.operations = encoded.operations();
  asked.unanswered = encoded.unanswered();
  reports_.add_demand_line({now, proxy, Nanos(encoded.late()), Nanos(encoded.span())}, asked);
}

void HistoryReader::add_peer_message(Nanos now, const Entry& entry) {
  const auto& encoded = entry.peer_said();
  history_.peers.push_back({now, decode_id<PeerId>(encoded.peer()), encoded.message()});
}

simulation::History read_history(const std::vector<std::string>& files) {
  HistoryReader reader;
  const auto corruption = record::visit_record(files, reader);
  return reader.finish(corruption);
}

}  // namespace ospreypost::replay
