#include "control_plane/push_proxies.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "control_plane/endpoint_directory_keeper.h"
#include "delivery/push_service.h"
#include "policy/types.h"
#include "routing_state/lease_table.h"
#include "routing_state/pull_delivery.h"
#include "routing_state/push_scheduler.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/routing_state.h"

namespace ospreypost::control_plane {
namespace {

routing_state::PushLimits push_limits(const config::Config& config, Nanos membership_check_interval) {
  const auto& settings = config.settings;
  routing_state::PushLimits limits;
  limits.message_overhead_entries = settings.message_overhead_entries;
  limits.entries_per_second = settings.channel_entries_per_second;
  limits.max_messages_per_window = settings.max_messages_per_window;
  limits.window = settings.message_window;
  // The timeout for the confirmation of an urgent change is shorter than the drain grace. The difference
  // leaves time to react to a missing confirmation: time until the next membership check, and time for a push
  // that fails at the last moment.
  limits.urgent_change_timeout = settings.drain_grace - 2 * membership_check_interval - config.roll.every;
  limits.liveness_interval = config.files.renew;
  return limits;
}

}  // namespace

PushProxies::PushProxies(const Environment& environment, routing_state::LeaseTable leases,
                         Nanos membership_check_interval, std::function<Nanos()> clock)
    : environment_(environment),
      clock_(std::move(clock)),
      owner_(leases.owner()),
      scheduler_(push_limits(environment.config, membership_check_interval)),
      leases_(std::move(leases)) {}

void PushProxies::add_known(Nanos now, ProxyId proxy) {
  const std::lock_guard lock(mutex_);
  scheduler_.add_known(now, proxy);
}

void PushProxies::notify_listener() {
  if (auto* const listener = listener_.load()) listener->on_push_available();
}

bool PushProxies::is_joined(ProxyId proxy) const {
  const std::lock_guard lock(mutex_);
  return scheduler_.is_joined(proxy);
}

std::vector<ProxyId> PushProxies::take_lost(Nanos now) {
  const std::lock_guard lock(mutex_);
  return scheduler_.take_lost(now);
}

void PushProxies::on_published(Nanos now, const routing_state::RoutingState::Publication& publication) {
  const auto& proxies = environment_.config.proxies.known;
  const std::lock_guard lock(mutex_);
  for (const auto& change : publication.changes) {
    if (!proxies[static_cast<std::size_t>(change.proxy)].is_pushed_to()) continue;
    scheduler_.on_published(now, change.proxy, publication.snapshot->snapshot_of(change.proxy),
                            change.entries);
  }
}

void PushProxies::resend(Nanos now, ProxyId proxy,
                         std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot) {
  const auto entries = routing_state::entry_count(*proxy_snapshot);
  const std::lock_guard lock(mutex_);
  scheduler_.on_published(now, proxy, std::move(proxy_snapshot), entries);
}

void PushProxies::on_unroutable_changed(Nanos now, std::set<ReplicaId> unroutable) {
  const std::lock_guard lock(mutex_);
  scheduler_.on_ejected(now, std::move(unroutable));
}

// --- Pushes

std::uint64_t PushProxies::epoch_of(ProxyId proxy) const {
  const std::lock_guard lock(mutex_);
  return leases_.epoch(proxy);
}

std::optional<delivery::PushMessage> PushProxies::take_push() {
  std::optional<routing_state::PendingPush> pending;
  {
    const std::lock_guard lock(mutex_);
    pending = scheduler_.take_push(clock_());
  }
  if (!pending) return std::nullopt;
  delivery::PushMessage message;
  message.proxy = pending->proxy;
  message.proxy_snapshot = pending->proxy_snapshot;
  message.directory = environment_.published.directory();
  message.overrides_rollback = pending->overrides_rollback;
  message.owner = owner_;
  message.epoch = epoch_of(pending->proxy);
  message.ejected = environment_.published.unroutable_replicas();
  return message;
}

std::optional<Nanos> PushProxies::next_push_in() {
  const std::lock_guard lock(mutex_);
  const auto now = clock_();
  const auto next = scheduler_.next_wake_up(now);
  if (!next) return std::nullopt;
  return std::max<Nanos>(*next - now, Nanos{});
}

void PushProxies::on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion version) {
  const std::lock_guard lock(mutex_);
  scheduler_.on_confirmed(clock_(), proxy, version);
  last_faults_.erase(proxy);
}

void PushProxies::on_push_failed(ProxyId proxy, const std::string& why) {
  const std::lock_guard lock(mutex_);
  scheduler_.on_failed(clock_(), proxy);
  log_fault(proxy, why);
}

// Logs each fault once instead of at each attempt.
void PushProxies::log_fault(ProxyId proxy, const std::string& why) {
  if (last_faults_[proxy] == why) return;
  last_faults_[proxy] = why;
  const auto& name = environment_.config.proxies.known[static_cast<std::size_t>(proxy)].name;
  environment_.host.log("push_failed proxy=" + name + " error=" + why, environment_.published.version());
}

// --- State reported by the proxies

// Updates the ownership of the proxy by the table that the proxy stores. Returns false if this process
// continues to own the proxy; otherwise lets the proxy join or leave and returns true.
bool PushProxies::update_ownership(Nanos now, ProxyId proxy, const routing_state::RemoteState& remote) {
  switch (leases_.observe(proxy, remote)) {
    case routing_state::LeaseTable::Ownership::ours:
      break;
    case routing_state::LeaseTable::Ownership::claimed:
      scheduler_.on_joined(now, proxy, !remote.has_table);
      return true;
    case routing_state::LeaseTable::Ownership::theirs:
      scheduler_.on_rejected(now, proxy);
      log_fault(proxy, "the proxy follows control plane instance " + remote.owner);
      return true;
  }
  return false;
}

bool PushProxies::on_push_rejected(ProxyId proxy, const routing_state::RemoteState& remote) {
  const std::lock_guard lock(mutex_);
  const auto now = clock_();
  if (update_ownership(now, proxy, remote)) return true;
  scheduler_.on_failed(now, proxy);
  log_fault(proxy, "the proxy holds a newer table");
  return false;
}

bool PushProxies::on_remote_state(ProxyId proxy, const routing_state::RemoteState& remote) {
  const std::lock_guard lock(mutex_);
  const auto now = clock_();
  if (update_ownership(now, proxy, remote)) return true;
  const auto version = remote.has_table ? std::optional(remote.version) : std::nullopt;
  if (scheduler_.on_liveness(now, proxy, version)) return true;
  apply_rollback(now, proxy, remote.rolled_back_to);
  return false;
}

void PushProxies::on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to) {
  {
    const std::lock_guard lock(mutex_);
    apply_rollback(clock_(), proxy, rolled_back_to);
  }
  notify_listener();
}

void PushProxies::apply_rollback(Nanos now, ProxyId proxy, const std::vector<std::string>& rolled_back_to) {
  const auto directory = environment_.published.directory();
  std::set<ReplicaId> replicas;
  for (const auto& name : rolled_back_to) {
    const auto known = directory->ids_by_name.find(name);
    // A replica that no endpoint list has contained must not be sent requests either.
    replicas.insert(known == directory->ids_by_name.end() ? kUnknownReplica : known->second);
  }
  scheduler_.on_rollback(now, proxy, std::move(replicas));
}

routing_state::PushScheduler::Counts PushProxies::counts() const {
  const std::lock_guard lock(mutex_);
  return scheduler_.counts();
}

}  // namespace ospreypost::control_plane
