#include "control_plane/control_plane.h"

#include <algorithm>

#include "control_plane/log_lines.h"

namespace ospreypost::control_plane {
namespace {

using namespace std::chrono_literals;

constexpr ReplicaId kNobody{~std::uint32_t{0}};  // stands for names that no list gave
constexpr Nanos kSweep = 200ms;                  // between looks for clients that fell silent

}  // namespace

ControlPlane::ControlPlane(const config::Config& config, ControlPlaneHost& world,
                           ControllerDriver::Clock clock, routing_state::LeaseTable claims,
                           record::Writer* record)
    : config_(config),
      world_(world),
      ttl_policy_(config::client_limits(config)),
      pull_delivery_({config.settings.message_overhead_entries, config.settings.max_messages_per_window,
                      config.settings.message_window}),
      // A withdrawal must be confirmed while there is time left to say that it was not: the next look, and a
      // push that just fails.
      push_scheduler_({config.settings.message_overhead_entries, config.settings.channel_entries_per_second,
                       config.settings.max_messages_per_window, config.settings.message_window,
                       config.settings.drain_grace - 2 * kSweep - config.roll.every, config.files.renew}),
      lease_table_(std::move(claims)),
      driver_({config::module_settings(config), config.seed, {}, record, config.text}, std::move(clock),
              static_cast<ControllerFrontend&>(*this)) {
  for (std::size_t p = 0; p < config.proxies.known.size(); ++p) {
    const ProxyId id{static_cast<std::uint16_t>(p)};
    config.proxies.known[p].is_pushed_to() ? push_scheduler_.add_known(driver_.now(), id)
                                           : ttl_policy_.add_known(id, config.proxies.known[p].vouched);
  }
  driver_.start([this] { sweep(); }, kSweep);
}

ControlPlane::~ControlPlane() { stop(); }

void ControlPlane::on_published(Nanos now,
                                const std::optional<routing_state::RoutingState::Publication>& published,
                                const std::vector<RequestAcknowledgement>& marks) {
  const bool out_changed = std::exchange(out_changed_, false);
  if (out_changed) publish_out(now);
  if (published) {
    const std::lock_guard held(delivery_lock_);
    for (const auto& pending : published->changes) {
      auto proxy_snapshot = published->snapshot->snapshot_of(pending.proxy);
      if (entry_of(pending.proxy).is_pushed_to()) {
        push_scheduler_.on_published(now, pending.proxy, std::move(proxy_snapshot), pending.entries);
      } else {
        pull_delivery_.on_published(now, pending.proxy, std::move(proxy_snapshot), pending.entries);
      }
    }
  }
  if (auto* pusher = pusher_.load(); pusher && (published || out_changed)) pusher->on_push_available();
  const auto standing = published ? published->snapshot : version_;
  if (published) {
    const std::lock_guard held(shared_lock_);
    version_ = standing;
  }
  for (const auto& [mark, reach_all] : marks) {
    const auto by = standing->acknowledgement_recipients(reach_all);
    const std::lock_guard held(delivery_lock_);
    pull_delivery_.request_acknowledgement(now, mark, standing->version, by);
  }
}

// Whom nobody may send to now: withdrawn, draining or gone. Goes with every push, for what is kept there.
void ControlPlane::publish_out(Nanos now) {
  std::set<ReplicaId> out{kNobody};
  std::vector<std::string> names;
  for (std::size_t n = 0; n < phases_.size(); ++n) {
    const ReplicaId id{static_cast<std::uint32_t>(n)};
    if (phases_[n] == EndpointPhase::ready && !withdrawn_.contains(id)) continue;
    out.insert(id);
    names.push_back(directory_->endpoint(id).name);
  }
  {
    const std::lock_guard held(shared_lock_);
    out_ = std::move(names);
  }
  const std::lock_guard held(delivery_lock_);
  push_scheduler_.on_ejected(now, std::move(out));
}

// For clients that fell silent, and pushes that nobody answers.
void ControlPlane::sweep() {
  const auto now = driver_.now();
  std::vector<ProxyId> silent;
  {
    const std::lock_guard clients(clients_lock_);
    silent = ttl_policy_.take_silent(now);
  }
  {
    const std::lock_guard handouts(delivery_lock_);
    const auto lost = push_scheduler_.take_lost(now);
    silent.insert(silent.end(), lost.begin(), lost.end());
  }
  for (const auto proxy : silent) settle(proxy);
}

// --- The list

void ControlPlane::note_places(const discovery::EndpointList::Changes& taken) {
  auto next = std::make_shared<delivery::EndpointDirectory>(*directory_);
  for (const auto& change : taken.changes) {
    const auto id = replicas_.id_of(change.name);
    const auto at = static_cast<std::size_t>(id);
    if (next->endpoints.size() <= at)
      next->endpoints.resize(at + 1), phases_.resize(at + 1, EndpointPhase::gone);
    next->ids_by_name[change.name] = id;
    auto& place = next->endpoints[at];
    place.name = change.name;
    place.removed = change.phase == EndpointPhase::gone;
    if (change.endpoint) place.address = change.endpoint->address, place.zone = change.endpoint->zone;
    phases_[at] = change.phase;
  }
  out_changed_ = true;
  const std::lock_guard held(shared_lock_);
  directory_ = std::move(next);
}

void ControlPlane::on_endpoint_list_changed(const discovery::EndpointList::Changes& taken) {
  const auto position = [](const std::vector<std::string>& names, const std::string& name) {
    return static_cast<std::uint16_t>(std::find(names.begin(), names.end(), name) - names.begin());
  };
  driver_.call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos now) {
    const auto before = replicas_.size();
    note_places(taken);
    std::vector<EndpointUpdate> entries;
    for (const auto& change : taken.changes) {
      const auto id = replicas_.id_of(change.name);
      if (static_cast<std::size_t>(id) >= before) governor.on_replica_named(now, id, change.name);
      EndpointUpdate entry;
      entry.replica = replicas_.id_of(change.name);
      entry.phase = change.phase;
      if (change.endpoint) {
        entry.zone = ZoneId{position(config_.zones, change.endpoint->zone)};
        entry.kind = HardwareKindId{position(config_.kinds, change.endpoint->kind)};
        entry.cell = cells_.id_of(change.endpoint->cell);
        entry.weight = change.endpoint->weight;
        entry.started = change.started;
      }
      entries.push_back(entry);
    }
    governor.on_endpoint_list(now, taken.is_first_list ? EndpointListKind::cached : EndpointListKind::changes,
                              entries);
  });
}

void ControlPlane::list_failed() {
  driver_.call([](record::RecordingController& governor, routing_state::RoutingState&, Nanos now) {
    governor.on_endpoint_list_failed(now);
  });
}

// --- Reports

void ControlPlane::on_replica_load_report(const ReplicaLoadReport& sum, const record::Origin& origin) {
  driver_.call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos now) {
    governor.on_replica_load_report(now, sum, origin);
  });
}

void ControlPlane::on_demand_report(const DemandReport& demand, const record::Origin& origin) {
  driver_.call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos now) {
    governor.on_demand_report(now, demand, origin);
  });
}

void ControlPlane::reported(ProxyId proxy) {
  const std::lock_guard held(clients_lock_);
  ttl_policy_.on_report(driver_.now(), proxy);
}

void ControlPlane::on_health_check_result(const HealthCheckResult& answer) {
  driver_.call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos now) {
    governor.on_health_check_result(now, answer);
  });
}

// --- Fronts

bool ControlPlane::is_held(ProxyId proxy) const {
  if (entry_of(proxy).is_pushed_to()) {
    const std::lock_guard held(delivery_lock_);
    return push_scheduler_.is_joined(proxy);
  }
  const std::lock_guard held(clients_lock_);
  return ttl_policy_.is_joined(proxy);
}

void ControlPlane::settle(ProxyId proxy) {
  const auto& known = entry_of(proxy);
  driver_.call([&](record::RecordingController& governor, routing_state::RoutingState& book, Nanos now) {
    const bool held = is_held(proxy);
    if (held == joined_.contains(proxy)) {
      // It was given up on and answered again before anybody here noticed: what stands is still to be sent.
      const auto proxy_snapshot = held && known.is_pushed_to() ? version_->snapshot_of(proxy) : nullptr;
      if (!proxy_snapshot) return;
      const std::lock_guard handouts(delivery_lock_);
      push_scheduler_.on_published(now, proxy, proxy_snapshot, routing_state::entry_count(*proxy_snapshot));
      return;
    }
    world_.log((held ? "join " : "leave ") + known.name, version_->version);
    if (held) {
      joined_.insert(proxy);
      book.add_proxy(proxy);
      {
        const std::lock_guard handouts(delivery_lock_);
        pull_delivery_.add_proxy(now, proxy);
      }
      governor.on_proxy_joined(now, proxy, known.zone, known.usual_rate, true);
    } else {
      joined_.erase(proxy);
      governor.on_proxy_left(now, proxy);
      book.remove_proxy(proxy);
      const std::lock_guard handouts(delivery_lock_);
      pull_delivery_.remove_proxy(proxy);
    }
  });
}

delivery::PullAnswer ControlPlane::on_query(ProxyId proxy, ClassId cls) {
  delivery::PullAnswer told;
  const auto now = driver_.now();
  {
    const std::lock_guard held(clients_lock_);
    told.ttl_decision = ttl_policy_.on_query(now, proxy, cls);
  }
  if (told.ttl_decision.client_joined || told.ttl_decision.client_left) settle(proxy);
  told.directory = directory();
  if (told.ttl_decision.service != dns::ClientService::replicas) {
    told.fallback_proxies = entries_for(std::nullopt, proxy);
    return told;
  }
  std::vector<routing_state::PullDelivery::Acknowledgement> reached;
  {
    const std::lock_guard held(delivery_lock_);
    told.proxy_snapshot = pull_delivery_.take_answer(now, proxy);
    reached = pull_delivery_.take_acknowledged(now, proxy);
  }
  for (const auto& mark : reached) {
    driver_.call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos at) {
      governor.on_acknowledged(at, mark.proxy, mark.request, mark.latency);
    });
  }
  return told;
}

delivery::PullAnswer ControlPlane::on_zone_query(ZoneId zone) {
  delivery::PullAnswer told;
  told.ttl_decision.service = dns::ClientService::proxies;
  told.directory = directory();
  told.fallback_proxies = entries_for(zone, std::nullopt);
  return told;
}

std::vector<delivery::FallbackProxy> ControlPlane::entries_for(std::optional<ZoneId> zone,
                                                               std::optional<ProxyId> but) const {
  std::vector<delivery::FallbackProxy> entries;
  for (std::size_t p = 0; p < config_.proxies.known.size(); ++p) {
    const auto& known = config_.proxies.known[p];
    const ProxyId id{static_cast<std::uint16_t>(p)};
    if (!known.entry || id == but || !is_held(id)) continue;
    entries.push_back({id, known.zone, *known.entry});
  }
  const auto own = [&](const delivery::FallbackProxy& entry) { return entry.zone == zone; };
  std::stable_partition(entries.begin(), entries.end(), own);
  return entries;
}

std::optional<delivery::PushMessage> ControlPlane::take_push() {
  std::optional<routing_state::PendingPush> offer;
  {
    const std::lock_guard held(delivery_lock_);
    offer = push_scheduler_.take_push(driver_.now());
  }
  if (!offer) return std::nullopt;
  delivery::PushMessage push{
      offer->proxy,        offer->proxy_snapshot, directory(), {}, offer->overrides_rollback, 0,
      lease_table_.owner()};
  {
    const std::lock_guard held(delivery_lock_);
    push.epoch = lease_table_.epoch(offer->proxy);
  }
  const std::lock_guard held(shared_lock_);
  push.ejected = out_;
  return push;
}

std::optional<Nanos> ControlPlane::next_push_in() {
  const std::lock_guard held(delivery_lock_);
  const auto now = driver_.now();
  const auto at = push_scheduler_.next_wake_up(now);
  return at ? std::optional(std::max<Nanos>(*at - now, Nanos{})) : std::nullopt;
}

void ControlPlane::on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion since) {
  const std::lock_guard held(delivery_lock_);
  push_scheduler_.on_confirmed(driver_.now(), proxy, since);
  push_faults_.erase(proxy);
}

void ControlPlane::on_push_failed(ProxyId proxy, const std::string& why) {
  const std::lock_guard held(delivery_lock_);
  push_scheduler_.on_failed(driver_.now(), proxy);
  note_fault(proxy, why);
}

// Each fault once, not each try. With the handouts' lock held.
void ControlPlane::note_fault(ProxyId proxy, const std::string& why) {
  if (push_faults_[proxy] == why) return;
  push_faults_[proxy] = why;
  world_.log("push to " + entry_of(proxy).name + " failed: " + why, version());
}

// Whoever the list never named, or names no more, is out. With the handouts' lock held.
void ControlPlane::note_way_back(Nanos now, ProxyId proxy, const std::vector<std::string>& rolled_back_to) {
  const auto known = directory();
  std::set<ReplicaId> replicas;
  for (const auto& name : rolled_back_to) {
    const auto at = known->ids_by_name.find(name);
    replicas.insert(at == known->ids_by_name.end() ? kNobody : at->second);
  }
  push_scheduler_.on_rollback(now, proxy, std::move(replicas));
}

void ControlPlane::on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to) {
  {
    const std::lock_guard held(delivery_lock_);
    note_way_back(driver_.now(), proxy, rolled_back_to);
  }
  if (auto* pusher = pusher_.load()) pusher->on_push_available();
}

std::vector<std::string> ControlPlane::out() const {
  const std::lock_guard held(shared_lock_);
  return out_;
}

// False if it goes on as ours; else it joins or leaves by what was met. With the handouts' lock held.
bool ControlPlane::changes_hands(Nanos now, ProxyId proxy, const routing_state::RemoteState& met) {
  switch (lease_table_.observe(proxy, met)) {
    case routing_state::LeaseTable::Ownership::ours:
      break;
    case routing_state::LeaseTable::Ownership::claimed:
      push_scheduler_.on_joined(now, proxy, !met.has_table);
      return true;
    case routing_state::LeaseTable::Ownership::theirs:
      push_scheduler_.on_rejected(now, proxy);
      note_fault(proxy, "it follows " + met.owner);
      return true;
  }
  return false;
}

void ControlPlane::on_push_rejected(ProxyId proxy, const routing_state::RemoteState& met) {
  {
    const std::lock_guard held(delivery_lock_);
    const auto now = driver_.now();
    if (!changes_hands(now, proxy, met)) {
      push_scheduler_.on_failed(now, proxy);
      note_fault(proxy, "it holds something newer");
      return;
    }
  }
  settle(proxy);
}

void ControlPlane::on_remote_state(ProxyId proxy, const routing_state::RemoteState& met) {
  {
    const std::lock_guard held(delivery_lock_);
    const auto now = driver_.now();
    const auto version = met.has_table ? std::optional(met.version) : std::nullopt;
    if (!changes_hands(now, proxy, met) && !push_scheduler_.on_liveness(now, proxy, version)) {
      note_way_back(now, proxy, met.rolled_back_to);
      return;
    }
  }
  settle(proxy);
}

std::shared_ptr<const delivery::EndpointDirectory> ControlPlane::directory() const {
  const std::lock_guard held(shared_lock_);
  return directory_;
}

routing_state::SnapshotVersion ControlPlane::version() const {
  const std::lock_guard held(shared_lock_);
  return version_->version;
}

std::optional<ReplicaId> ControlPlane::find_replica(std::string_view name) const {
  const auto places = directory();
  const auto known = places->ids_by_name.find(name);
  if (known == places->ids_by_name.end()) return std::nullopt;
  return known->second;
}

ControlPlaneStatus ControlPlane::standing() const {
  ControlPlaneStatus standing;
  driver_.inspect([&] {
    standing.version = version_;
    standing.directory = directory_;
    standing.phases = phases_;
    const std::lock_guard handouts(delivery_lock_);
    standing.counts = pull_delivery_.counts();
    standing.pushes = push_scheduler_.counts();
    for (std::size_t p = 0; p < config_.proxies.known.size(); ++p)
      standing.joined.push_back(joined_.contains(ProxyId{static_cast<std::uint16_t>(p)}));
  });
  return standing;
}

// --- What else the module asks for

void ControlPlane::on_ejection_changed(ReplicaId replica, bool out) {
  out ? void(withdrawn_.insert(replica)) : void(withdrawn_.erase(replica));
  out_changed_ = true;
}
// The roll is watched all the time; its news comes by itself.
void ControlPlane::watch_endpoint_list(bool) {}
void ControlPlane::refresh_endpoint_list() { world_.refresh_endpoint_list(); }
void ControlPlane::request_health_check(ReplicaId replica) {
  world_.request_health_check(replica, directory_->endpoint(replica).address);
}
// There are no peers yet.
void ControlPlane::send_to_peer(std::optional<PeerId>, std::string_view) {}
void ControlPlane::log(std::string_view line) {
  const auto name_of = [this](ReplicaId id) {
    return static_cast<std::size_t>(id) < replicas_.size() ? std::string_view(replicas_.name(id)) : "";
  };
  world_.log(with_replica_name(line, name_of), version_->version);
}

}  // namespace ospreypost::control_plane
