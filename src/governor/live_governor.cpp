#include "governor/live_governor.h"

#include <algorithm>

#include "governor/log_lines.h"

namespace ospreypost::governor {
namespace {

using namespace std::chrono_literals;

constexpr ReplicaId kNobody{~std::uint32_t{0}};  // stands for names that no list gave
constexpr Nanos kSweep = 200ms;                  // between looks for clients that fell silent

}  // namespace

LiveGovernor::LiveGovernor(const config::Config& config, World& world, Desk::Clock clock, book::Claims claims,
                           record::Writer* record)
    : config_(config),
      world_(world),
      clients_(config::client_limits(config)),
      handouts_({config.settings.message_head_lines, config.settings.messages_allowed,
                 config.settings.messages_window}),
      // A withdrawal must be confirmed while there is time left to say that it was not: the next look, and a
      // push that just fails.
      pushes_({config.settings.message_head_lines, config.settings.channel_lines_per_second,
               config.settings.messages_allowed, config.settings.messages_window,
               config.settings.drain_grace - 2 * kSweep - config.roll.every, config.files.renew}),
      claims_(std::move(claims)),
      desk_({config::module_settings(config), config.seed, {}, record, config.text}, std::move(clock),
            static_cast<Door&>(*this)) {
  for (std::size_t p = 0; p < config.proxies.known.size(); ++p) {
    const ProxyId id{static_cast<std::uint16_t>(p)};
    config.proxies.known[p].is_pushed_to() ? pushes_.introduce(desk_.now(), id)
                                           : clients_.introduce(id, config.proxies.known[p].vouched);
  }
  desk_.open([this] { sweep(); }, kSweep);
}

LiveGovernor::~LiveGovernor() { stop(); }

void LiveGovernor::ordered(Nanos now, const std::optional<book::OrderBook::Published>& published,
                           const std::vector<std::pair<MarkId, bool>>& marks) {
  const bool out_changed = std::exchange(out_changed_, false);
  if (out_changed) publish_out(now);
  if (published) {
    const std::lock_guard held(handouts_lock_);
    for (const auto& pending : published->pending) {
      auto holding = published->version->holding_of(pending.proxy);
      if (entry_of(pending.proxy).is_pushed_to()) {
        pushes_.ordered(now, pending.proxy, std::move(holding), pending.lines);
      } else {
        handouts_.ordered(now, pending.proxy, std::move(holding), pending.lines);
      }
    }
  }
  if (auto* pusher = pusher_.load(); pusher && (published || out_changed)) pusher->something_ordered();
  const auto standing = published ? published->version : version_;
  if (published) {
    const std::lock_guard held(shared_lock_);
    version_ = standing;
  }
  for (const auto& [mark, reach_all] : marks) {
    const auto by = standing->marked(reach_all);
    const std::lock_guard held(handouts_lock_);
    handouts_.mark(now, mark, standing->number, by);
  }
}

// Whom nobody may send to now: withdrawn, draining or gone. Goes with every push, for what is kept there.
void LiveGovernor::publish_out(Nanos now) {
  std::set<ReplicaId> out{kNobody};
  std::vector<std::string> names;
  for (std::size_t n = 0; n < phases_.size(); ++n) {
    const ReplicaId id{static_cast<std::uint32_t>(n)};
    if (phases_[n] == Phase::ready && !withdrawn_.contains(id)) continue;
    out.insert(id);
    names.push_back(directory_->place(id).name);
  }
  {
    const std::lock_guard held(shared_lock_);
    out_ = std::move(names);
  }
  const std::lock_guard held(handouts_lock_);
  pushes_.out(now, std::move(out));
}

// For clients that fell silent, and pushes that nobody answers.
void LiveGovernor::sweep() {
  const auto now = desk_.now();
  std::vector<ProxyId> silent;
  {
    const std::lock_guard clients(clients_lock_);
    silent = clients_.silent(now);
  }
  {
    const std::lock_guard handouts(handouts_lock_);
    const auto lost = pushes_.lost(now);
    silent.insert(silent.end(), lost.begin(), lost.end());
  }
  for (const auto proxy : silent) settle(proxy);
}

// --- The list

void LiveGovernor::note_places(const list::Roll::Taken& taken) {
  auto next = std::make_shared<front::Directory>(*directory_);
  for (const auto& change : taken.changes) {
    const auto id = replicas_.id_of(change.name);
    const auto at = static_cast<std::size_t>(id);
    if (next->replicas.size() <= at) next->replicas.resize(at + 1), phases_.resize(at + 1, Phase::gone);
    next->by_name[change.name] = id;
    auto& place = next->replicas[at];
    place.name = change.name;
    place.gone = change.phase == Phase::gone;
    if (change.backend) place.address = change.backend->address, place.zone = change.backend->zone;
    phases_[at] = change.phase;
  }
  out_changed_ = true;
  const std::lock_guard held(shared_lock_);
  directory_ = std::move(next);
}

void LiveGovernor::list_taken(const list::Roll::Taken& taken) {
  const auto position = [](const std::vector<std::string>& names, const std::string& name) {
    return static_cast<std::uint16_t>(std::find(names.begin(), names.end(), name) - names.begin());
  };
  desk_.call([&](record::Tap& governor, book::OrderBook&, Nanos now) {
    const auto before = replicas_.size();
    note_places(taken);
    std::vector<ListEntry> entries;
    for (const auto& change : taken.changes) {
      const auto id = replicas_.id_of(change.name);
      if (static_cast<std::size_t>(id) >= before) governor.named(now, id, change.name);
      ListEntry entry;
      entry.replica = replicas_.id_of(change.name);
      entry.phase = change.phase;
      if (change.backend) {
        entry.zone = ZoneId{position(config_.zones, change.backend->zone)};
        entry.kind = KindId{position(config_.kinds, change.backend->kind)};
        entry.cell = cells_.id_of(change.backend->cell);
        entry.weight = change.backend->weight;
        entry.started = change.started;
      }
      entries.push_back(entry);
    }
    governor.list_received(now, taken.first ? ListKind::cached : ListKind::changes, entries);
  });
}

void LiveGovernor::list_failed() {
  desk_.call([](record::Tap& governor, book::OrderBook&, Nanos now) { governor.list_failed(now); });
}

// --- Reports

void LiveGovernor::replica_summed(const ReplicaSum& sum, const record::Origin& origin) {
  desk_.call(
      [&](record::Tap& governor, book::OrderBook&, Nanos now) { governor.replica_summed(now, sum, origin); });
}

void LiveGovernor::demand_summed(const Demand& demand, const record::Origin& origin) {
  desk_.call([&](record::Tap& governor, book::OrderBook&, Nanos now) {
    governor.demand_summed(now, demand, origin);
  });
}

void LiveGovernor::reported(ProxyId proxy) {
  const std::lock_guard held(clients_lock_);
  clients_.reported(desk_.now(), proxy);
}

void LiveGovernor::probe_answered(const ProbeAnswer& answer) {
  desk_.call(
      [&](record::Tap& governor, book::OrderBook&, Nanos now) { governor.probe_answered(now, answer); });
}

// --- Fronts

bool LiveGovernor::is_held(ProxyId proxy) const {
  if (entry_of(proxy).is_pushed_to()) {
    const std::lock_guard held(handouts_lock_);
    return pushes_.held(proxy);
  }
  const std::lock_guard held(clients_lock_);
  return clients_.held(proxy);
}

void LiveGovernor::settle(ProxyId proxy) {
  const auto& known = entry_of(proxy);
  desk_.call([&](record::Tap& governor, book::OrderBook& book, Nanos now) {
    const bool held = is_held(proxy);
    if (held == joined_.contains(proxy)) {
      // It was given up on and answered again before anybody here noticed: what stands is still to be sent.
      const auto holding = held && known.is_pushed_to() ? version_->holding_of(proxy) : nullptr;
      if (!holding) return;
      const std::lock_guard handouts(handouts_lock_);
      pushes_.ordered(now, proxy, holding, book::size_of(*holding));
      return;
    }
    world_.log((held ? "join " : "leave ") + known.name, version_->number);
    if (held) {
      joined_.insert(proxy);
      book.joined(proxy);
      {
        const std::lock_guard handouts(handouts_lock_);
        handouts_.joined(now, proxy);
      }
      governor.proxy_joined(now, proxy, known.zone, known.usual_rate, true);
    } else {
      joined_.erase(proxy);
      governor.proxy_left(now, proxy);
      book.left(proxy);
      const std::lock_guard handouts(handouts_lock_);
      handouts_.left(proxy);
    }
  });
}

front::Told LiveGovernor::asked(ProxyId proxy, ClassId cls) {
  front::Told told;
  const auto now = desk_.now();
  {
    const std::lock_guard held(clients_lock_);
    told.verdict = clients_.asked(now, proxy, cls);
  }
  if (told.verdict.joins || told.verdict.leaves) settle(proxy);
  told.directory = directory();
  if (told.verdict.service != lifetime::Service::replicas) {
    told.entries = entries_for(std::nullopt, proxy);
    return told;
  }
  std::vector<book::Handouts::Reached> reached;
  {
    const std::lock_guard held(handouts_lock_);
    told.holding = handouts_.take(now, proxy);
    reached = handouts_.reached(now, proxy);
  }
  for (const auto& mark : reached) {
    desk_.call([&](record::Tap& governor, book::OrderBook&, Nanos at) {
      governor.orders_applied(at, mark.proxy, mark.mark, mark.took);
    });
  }
  return told;
}

front::Told LiveGovernor::asked_zone(ZoneId zone) {
  front::Told told;
  told.verdict.service = lifetime::Service::proxies;
  told.directory = directory();
  told.entries = entries_for(zone, std::nullopt);
  return told;
}

std::vector<front::Entry> LiveGovernor::entries_for(std::optional<ZoneId> zone,
                                                    std::optional<ProxyId> but) const {
  std::vector<front::Entry> entries;
  for (std::size_t p = 0; p < config_.proxies.known.size(); ++p) {
    const auto& known = config_.proxies.known[p];
    const ProxyId id{static_cast<std::uint16_t>(p)};
    if (!known.entry || id == but || !is_held(id)) continue;
    entries.push_back({id, known.zone, *known.entry});
  }
  const auto own = [&](const front::Entry& entry) { return entry.zone == zone; };
  std::stable_partition(entries.begin(), entries.end(), own);
  return entries;
}

std::optional<front::Push> LiveGovernor::next_push() {
  std::optional<book::Offer> offer;
  {
    const std::lock_guard held(handouts_lock_);
    offer = pushes_.next(desk_.now());
  }
  if (!offer) return std::nullopt;
  front::Push push{offer->proxy, offer->holding, directory(), {}, offer->recall, 0, claims_.owner()};
  {
    const std::lock_guard held(handouts_lock_);
    push.epoch = claims_.epoch(offer->proxy);
  }
  const std::lock_guard held(shared_lock_);
  push.out = out_;
  return push;
}

std::optional<Nanos> LiveGovernor::push_due_in() {
  const std::lock_guard held(handouts_lock_);
  const auto now = desk_.now();
  const auto at = pushes_.wake(now);
  return at ? std::optional(std::max<Nanos>(*at - now, Nanos{})) : std::nullopt;
}

void LiveGovernor::push_taken(ProxyId proxy, book::VersionNumber since) {
  const std::lock_guard held(handouts_lock_);
  pushes_.taken(desk_.now(), proxy, since);
  push_faults_.erase(proxy);
}

void LiveGovernor::push_failed(ProxyId proxy, const std::string& why) {
  const std::lock_guard held(handouts_lock_);
  pushes_.failed(desk_.now(), proxy);
  note_fault(proxy, why);
}

// Each fault once, not each try. With the handouts' lock held.
void LiveGovernor::note_fault(ProxyId proxy, const std::string& why) {
  if (push_faults_[proxy] == why) return;
  push_faults_[proxy] = why;
  world_.log("push to " + entry_of(proxy).name + " failed: " + why, version());
}

// Whoever the list never named, or names no more, is out. With the handouts' lock held.
void LiveGovernor::note_way_back(Nanos now, ProxyId proxy, const std::vector<std::string>& instead) {
  const auto known = directory();
  std::set<ReplicaId> replicas;
  for (const auto& name : instead) {
    const auto at = known->by_name.find(name);
    replicas.insert(at == known->by_name.end() ? kNobody : at->second);
  }
  pushes_.went_back(now, proxy, std::move(replicas));
}

void LiveGovernor::push_went_back(ProxyId proxy, const std::vector<std::string>& instead) {
  {
    const std::lock_guard held(handouts_lock_);
    note_way_back(desk_.now(), proxy, instead);
  }
  if (auto* pusher = pusher_.load()) pusher->something_ordered();
}

std::vector<std::string> LiveGovernor::out() const {
  const std::lock_guard held(shared_lock_);
  return out_;
}

// False if it goes on as ours; else it joins or leaves by what was met. With the handouts' lock held.
bool LiveGovernor::changes_hands(Nanos now, ProxyId proxy, const book::Met& met) {
  switch (claims_.met(proxy, met)) {
    case book::Claims::Standing::ours:
      break;
    case book::Claims::Standing::claimed:
      pushes_.joined(now, proxy, !met.any);
      return true;
    case book::Claims::Standing::theirs:
      pushes_.refused(now, proxy);
      note_fault(proxy, "it follows " + met.owner);
      return true;
  }
  return false;
}

void LiveGovernor::push_refused(ProxyId proxy, const book::Met& met) {
  {
    const std::lock_guard held(handouts_lock_);
    const auto now = desk_.now();
    if (!changes_hands(now, proxy, met)) {
      pushes_.failed(now, proxy);
      note_fault(proxy, "it holds something newer");
      return;
    }
  }
  settle(proxy);
}

void LiveGovernor::push_met(ProxyId proxy, const book::Met& met) {
  {
    const std::lock_guard held(handouts_lock_);
    const auto now = desk_.now();
    const auto version = met.any ? std::optional(met.version) : std::nullopt;
    if (!changes_hands(now, proxy, met) && !pushes_.met(now, proxy, version)) {
      note_way_back(now, proxy, met.instead);
      return;
    }
  }
  settle(proxy);
}

std::shared_ptr<const front::Directory> LiveGovernor::directory() const {
  const std::lock_guard held(shared_lock_);
  return directory_;
}

book::VersionNumber LiveGovernor::version() const {
  const std::lock_guard held(shared_lock_);
  return version_->number;
}

std::optional<ReplicaId> LiveGovernor::find_replica(std::string_view name) const {
  const auto places = directory();
  const auto known = places->by_name.find(name);
  if (known == places->by_name.end()) return std::nullopt;
  return known->second;
}

Standing LiveGovernor::standing() const {
  Standing standing;
  desk_.look([&] {
    standing.version = version_;
    standing.directory = directory_;
    standing.phases = phases_;
    const std::lock_guard handouts(handouts_lock_);
    standing.counts = handouts_.counts();
    standing.pushes = pushes_.counts();
    for (std::size_t p = 0; p < config_.proxies.known.size(); ++p)
      standing.joined.push_back(joined_.contains(ProxyId{static_cast<std::uint16_t>(p)}));
  });
  return standing;
}

// --- What else the module asks for

void LiveGovernor::withdrawn(ReplicaId replica, bool out) {
  out ? void(withdrawn_.insert(replica)) : void(withdrawn_.erase(replica));
  out_changed_ = true;
}
// The roll is watched all the time; its news comes by itself.
void LiveGovernor::watch_list(bool) {}
void LiveGovernor::look_up_list() { world_.look_up_list(); }
void LiveGovernor::probe(ReplicaId replica) { world_.probe(replica, directory_->place(replica).address); }
// There are no peers yet.
void LiveGovernor::tell(std::optional<PeerId>, std::string_view) {}
void LiveGovernor::log(std::string_view line) {
  const auto name_of = [this](ReplicaId id) {
    return static_cast<std::size_t>(id) < replicas_.size() ? std::string_view(replicas_.name(id)) : "";
  };
  world_.log(with_name(line, name_of), version_->number);
}

}  // namespace ospreypost::governor
