#include "platform/stream_delivery.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control_plane/log_lines.h"
#include "discovery/discovery_watcher.h"
#include "net/socket.h"
#include "platform/endpoint_registry.h"
#include "platform/platform_config.h"
#include "policy/actions.h"
#include "policy/controller.h"
#include "routing_state/routing_state.h"

namespace ospreypost::platform {

StreamDelivery::StreamDelivery(const PlatformConfig& config, Nanos clock_offset)
    : encoder_(config.classes, config.default_retry),
      registry_(config.zones, config.hardware_kinds, clock_offset) {}

EndpointRegistry::Changes StreamDelivery::apply(const discovery::EndpointListUpdate& list) {
  const std::lock_guard lock(mutex_);
  auto changes = registry_.apply(list);
  encoder_.drop_replicas(changes.no_longer_ready);
  return changes;
}

void StreamDelivery::on_published(const std::optional<routing_state::RoutingState::Publication>& published,
                                  const std::vector<RequestAcknowledgement>& requests) {
  const std::lock_guard lock(mutex_);
  if (published) {
    snapshot_ = published->snapshot;
    for (const auto& change : published->changes)
      encoder_.on_published(change.proxy, snapshot_->snapshot_of(change.proxy));
  }
  for (const auto& [request, all_proxies] : requests) {
    for (const auto proxy : snapshot_->acknowledgement_recipients(all_proxies))
      encoder_.request_acknowledgement(proxy, request, all_proxies);
  }
}

void StreamDelivery::on_proxy_joined(ProxyId proxy) {
  const std::lock_guard lock(mutex_);
  encoder_.on_proxy_joined(proxy);
}

void StreamDelivery::on_proxy_left(ProxyId proxy) {
  const std::lock_guard lock(mutex_);
  encoder_.on_proxy_left(proxy);
}

std::vector<AckRequestId> StreamDelivery::on_acknowledgement(ProxyId proxy, std::uint64_t nonce) {
  const std::lock_guard lock(mutex_);
  return encoder_.on_acknowledgement(proxy, nonce);
}

std::vector<ProxyId> StreamDelivery::due_proxies() const {
  const std::lock_guard lock(mutex_);
  return {encoder_.due_proxies().begin(), encoder_.due_proxies().end()};
}

std::string StreamDelivery::next_message(ProxyId proxy) {
  const std::lock_guard lock(mutex_);
  return encoder_.next_message(proxy, [this](ReplicaId replica) { return name_of(replica); }).bytes;
}

std::optional<ReplicaId> StreamDelivery::find_replica(std::string_view name) const {
  const std::lock_guard lock(mutex_);
  return registry_.find_id(name);
}

std::optional<net::Address> StreamDelivery::address_of(ReplicaId replica) const {
  const std::lock_guard lock(mutex_);
  const auto* endpoint = registry_.find_endpoint(replica);
  if (!endpoint || endpoint->phase == EndpointPhase::gone) return std::nullopt;
  return endpoint->address;
}

std::string StreamDelivery::with_replica_name(std::string_view line) const {
  const std::lock_guard lock(mutex_);
  return control_plane::with_replica_name(line, [this](ReplicaId replica) { return name_of(replica); });
}

void StreamDelivery::release_unused_replicas() {
  const std::lock_guard lock(mutex_);
  for (const auto replica : encoder_.unused_replicas(registry_.gone_replicas())) registry_.release(replica);
}

// Returns an empty name if the id was released or never assigned. `mutex_` must be held.
std::string_view StreamDelivery::name_of(ReplicaId replica) const {
  const auto* endpoint = registry_.find_endpoint(replica);
  return endpoint ? std::string_view(endpoint->name) : std::string_view{};
}

}  // namespace ospreypost::platform
