#include "replay/history.h"

#include <algorithm>
#include <cmath>

#include "net/socket.h"
#include "record.pb.h"

namespace ospreypost::replay {
namespace {

using kept::Entry;

// Lines of one report are handed in one after the other, within this.
constexpr Nanos kTogether = std::chrono::milliseconds(50);

// Beyond these a time, span or count is nobody's: sums of a few would not fit.
constexpr std::int64_t kMostTime = std::int64_t{1} << 61;
constexpr std::int64_t kMostSpan = std::int64_t{3600} * 1'000'000'000;
constexpr std::uint32_t kMostCount = 1'000'000;

bool is_time(std::int64_t nanos) { return nanos > -kMostTime && nanos < kMostTime; }
bool is_span(std::int64_t nanos) { return nanos >= 0 && nanos <= kMostSpan; }

// A governor wrote it, as far as its figures tell; a sum over a block cannot tell that of a forged one.
bool is_sane(const Entry& entry) {
  if (!is_time(entry.at())) return false;
  switch (entry.call_case()) {
    case Entry::kBegin:
      return is_time(entry.begin().wall());
    case Entry::kListReceived: {
      const auto& list = entry.list_received();
      return list.kind() <= static_cast<std::uint32_t>(EndpointListKind::cached) &&
             std::all_of(list.entries().begin(), list.entries().end(), [](const auto& line) {
               return line.phase() <= static_cast<std::uint32_t>(EndpointPhase::gone) &&
                      is_time(line.started()) && std::isfinite(line.weight());
             });
    }
    case Entry::kProxyJoined:
      return std::isfinite(entry.proxy_joined().usual_rate());
    case Entry::kReplicaSummed: {
      const auto& sum = entry.replica_summed();
      return is_span(sum.span()) && is_span(sum.late()) && is_span(sum.mean_time()) &&
             sum.failed() <= sum.tries() && sum.tries() <= kMostCount &&
             std::all_of(sum.load().begin(), sum.load().end(),
                         [](float load) { return std::isfinite(load); });
    }
    case Entry::kDemandSummed: {
      const auto& sum = entry.demand_summed();
      return is_span(sum.span()) && is_span(sum.late()) && sum.operations() <= kMostCount &&
             sum.unanswered() <= kMostCount;
    }
    case Entry::kOrdersApplied:
      return is_span(entry.orders_applied().took());
    default:
      return true;
  }
}

ProxyId proxy(std::uint32_t number) { return ProxyId{static_cast<std::uint16_t>(number)}; }

}  // namespace

simulation::History HistoryReader::finish(const record::Corruption& corruption) {
  if (history_.lives.empty()) throw net::Error("the record holds no start of a governor");
  history_.lost = corruption.lost_entries;
  history_.damaged = corruption.corrupt_stretches + absurd_;
  for (std::size_t n = 0; n < names_.size(); ++n)
    history_.replicas.push_back(names_.name(ReplicaId{static_cast<std::uint32_t>(n)}));
  std::stable_sort(history_.reports.begin(), history_.reports.end(),
                   [](const auto& a, const auto& b) { return a.arrived < b.arrived; });
  history_.length = history_.lives.back().to;
  return std::move(history_);
}

void HistoryReader::on_entry(const Entry& entry) {
  if (!is_sane(entry)) {
    ++absurd_;
    return;
  }
  if (entry.call_case() == Entry::kBegin) return begin(entry);
  if (history_.lives.empty()) return;  // the head of the record is gone: nothing says what it was
  const Nanos at = Nanos(entry.at()) + offset_;
  history_.lives.back().to = std::max(history_.lives.back().to, at);
  switch (entry.call_case()) {
    case Entry::kNamed:
      ids_[entry.named().replica()] = names_.id_of(entry.named().name());
      return;
    case Entry::kListReceived:
      return list(at, entry);
    case Entry::kListFailed:
      history_.lists.push_back({at, EndpointListKind::changes, true, {}});
      return;
    case Entry::kProxyJoined: {
      const auto& joined = entry.proxy_joined();
      history_.memberships.push_back({at, proxy(joined.proxy()), true,
                                      ZoneId{static_cast<std::uint16_t>(joined.zone())}, joined.usual_rate(),
                                      joined.fresh()});
      return;
    }
    case Entry::kProxyLeft:
      history_.memberships.push_back({at, proxy(entry.proxy_left()), false, {}, 0, false});
      return;
    case Entry::kReplicaSummed:
      return on_replica_load_report(at, entry);
    case Entry::kDemandSummed:
      return on_demand_report(at, entry);
    case Entry::kOrdersApplied:
      history_.applied.push_back(
          {proxy(entry.orders_applied().proxy()), Nanos(entry.orders_applied().took())});
      return;
    case Entry::kPeerSaid:
      history_.peers.push_back(
          {at, PeerId{static_cast<std::uint16_t>(entry.peer_said().peer())}, entry.peer_said().message()});
      return;
    default:
      return;  // timers and probes are the model's to answer
  }
}

void HistoryReader::begin(const Entry& entry) {
  if (history_.lives.empty()) {
    history_.configuration = entry.begin().configuration();
    first_wall_ = entry.begin().wall();
  }
  // A wall clock that was set back between two lives must not turn time round.
  const Nanos last = history_.lives.empty() ? Nanos{} : history_.lives.back().to;
  const Nanos at = std::max(last, Nanos(entry.begin().wall() - first_wall_));
  offset_ = at - Nanos(entry.at());
  history_.lives.push_back({at, at});
  ids_.clear();
  open_.clear();
}

ReplicaId HistoryReader::replica(std::uint32_t number) {
  const auto known = ids_.find(number);
  if (known != ids_.end()) return known->second;
  return ids_[number] = names_.id_of("replica-" + std::to_string(number));
}

void HistoryReader::list(Nanos at, const Entry& entry) {
  const auto& from = entry.list_received();
  simulation::ListNews news{at, static_cast<EndpointListKind>(from.kind()), false, {}};
  for (const auto& line : from.entries()) {
    EndpointUpdate listed;
    listed.replica = replica(line.replica());
    listed.zone = ZoneId{static_cast<std::uint16_t>(line.zone())};
    listed.kind = HardwareKindId{static_cast<std::uint16_t>(line.kind())};
    listed.cell = CellId{static_cast<std::uint16_t>(line.cell())};
    listed.phase = static_cast<EndpointPhase>(line.phase());
    listed.weight = line.weight();
    if (line.has_started()) listed.started = Nanos(line.started()) + offset_;
    news.entries.push_back(listed);
  }
  history_.lists.push_back(std::move(news));
}

// The report that a line belongs to: the last of its proxy, if it has the same span and came just before.
simulation::Report& HistoryReader::report(Nanos at, ProxyId proxy, Nanos late, Nanos span, bool starts_anew) {
  const auto open = open_.find(proxy);
  if (open != open_.end() && !starts_anew) {
    auto& last = history_.reports[open->second];
    if (last.to - last.from == span && at - last.arrived <= kTogether) return last;
  }
  open_[proxy] = history_.reports.size();
  history_.reports.push_back({proxy, at - late - span, at - late, at, {}, {}});
  return history_.reports.back();
}

void HistoryReader::on_replica_load_report(Nanos at, const Entry& entry) {
  const auto& from = entry.replica_summed();
  simulation::Met met{replica(from.replica()), from.tries(), from.failed(), Nanos(from.mean_time()), {}};
  met.load.assign(from.load().begin(), from.load().end());
  if (!from.has_proxy()) {
    nameless_.push_back({at, Nanos(from.span()), std::move(met)});
    return;
  }
  auto& into = report(at, proxy(from.proxy()), Nanos(from.late()), Nanos(from.span()), false);
  const bool again = std::any_of(into.met.begin(), into.met.end(),
                                 [&](const simulation::Met& other) { return other.replica == met.replica; });
  auto& mine = again || !into.asked.empty()
                   ? report(at, proxy(from.proxy()), Nanos(from.late()), Nanos(from.span()), true)
                   : into;
  mine.met.push_back(std::move(met));
}

void HistoryReader::on_demand_report(Nanos at, const Entry& entry) {
  const auto& from = entry.demand_summed();
  const ClassId cls{static_cast<std::uint16_t>(from.cls())};
  const auto has = [&](const simulation::Report& report) {
    return std::any_of(report.asked.begin(), report.asked.end(),
                       [&](const simulation::Asked& asked) { return asked.cls == cls; });
  };
  auto* into = &report(at, proxy(from.proxy()), Nanos(from.late()), Nanos(from.span()), false);
  if (has(*into)) into = &report(at, proxy(from.proxy()), Nanos(from.late()), Nanos(from.span()), true);
  into->asked.push_back({cls, from.operations(), from.unanswered()});
  // Of an older record: the lines before a proxy's demand are its own.
  for (auto& line : nameless_) {
    if (line.span == Nanos(from.span()) && at - line.at <= kTogether)
      into->met.push_back(std::move(line.met)), ++history_.guessed;
  }
  nameless_.clear();
}

simulation::History read_history(const std::vector<std::string>& files) {
  HistoryReader reader;
  const auto corruption = record::visit_record(files, reader);
  return reader.finish(corruption);
}

}  // namespace ospreypost::replay
