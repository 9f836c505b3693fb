#include "control_plane/control_plane.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/config.h"
#include "control_plane/control_plane_host.h"
#include "control_plane/controller_driver.h"
#include "control_plane/log_lines.h"
#include "control_plane/push_proxies.h"
#include "control_plane/status.h"
#include "delivery/endpoint_directory.h"
#include "delivery/pull_service.h"
#include "delivery/push_service.h"
#include "discovery/endpoint_list.h"
#include "dns/client_ttl_policy.h"
#include "policy/actions.h"
#include "policy/observations.h"
#include "policy/types.h"
#include "record/origin.h"
#include "record/recording_controller.h"
#include "routing_state/lease_table.h"
#include "routing_state/pull_delivery.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/routing_state.h"

namespace ospreypost::control_plane {
namespace {

using record::RecordingController;
using routing_state::RoutingState;

constexpr Nanos kMembershipCheckInterval = std::chrono::milliseconds(200);

ProxyId proxy_id(std::size_t index) { return ProxyId{static_cast<std::uint16_t>(index)}; }

}  // namespace

ControlPlane::ControlPlane(const config::Config& config, ControlPlaneHost& host,
                           ControllerDriver::Clock clock, routing_state::LeaseTable leases,
                           record::Writer* record_writer)
    : config_(config),
      host_(host),
      pull_proxies_(config, clock),
      push_proxies_({config, published_, host}, std::move(leases), kMembershipCheckInterval, clock),
      endpoints_(config, published_),
      driver_({config::module_settings(config), config.seed, {}, record_writer, config.text},
              std::move(clock), static_cast<ControllerFrontend&>(*this)) {
  add_known_proxies();
  driver_.start([this] { check_membership(); }, kMembershipCheckInterval);
}

ControlPlane::~ControlPlane() { stop(); }

void ControlPlane::add_known_proxies() {
  for (std::size_t index = 0; index < config_.proxies.known.size(); ++index) {
    const auto& known = config_.proxies.known[index];
    if (known.is_pushed_to()) {
      push_proxies_.add_known(driver_.now(), proxy_id(index));
    } else {
      pull_proxies_.add_known(proxy_id(index), known.vouched);
    }
  }
}

const config::ProxyEntry& ControlPlane::entry_of(ProxyId proxy) const {
  return config_.proxies.known[static_cast<std::size_t>(proxy)];
}

// --- Calls on the controller

void ControlPlane::on_endpoint_list_changed(const discovery::EndpointList::Changes& changes) {
  driver_.call([&](RecordingController& controller, RoutingState&, Nanos now) {
    const auto applied = endpoints_.apply(changes);
    for (const auto added : applied.added) {
      controller.on_replica_named(now, added, std::string(endpoints_.name_of(added)));
    }
    const auto kind = changes.is_first_list ? EndpointListKind::cached : EndpointListKind::changes;
    controller.on_endpoint_list(now, kind, applied.updates);
  });
}

void ControlPlane::on_replica_load_report(const ReplicaLoadReport& report, const record::Origin& origin) {
  driver_.call([&](RecordingController& controller, RoutingState&, Nanos now) {
    controller.on_replica_load_report(now, report, origin);
  });
}

void ControlPlane::on_demand_report(const DemandReport& report, const record::Origin& origin) {
  driver_.call([&](RecordingController& controller, RoutingState&, Nanos now) {
    controller.on_demand_report(now, report, origin);
  });
}

void ControlPlane::on_health_check_result(const HealthCheckResult& result) {
  driver_.call([&](RecordingController& controller, RoutingState&, Nanos now) {
    controller.on_health_check_result(now, result);
  });
}

void ControlPlane::on_acknowledged(const routing_state::PullDelivery::Acknowledgement& acknowledgement) {
  driver_.call([&](RecordingController& controller, RoutingState&, Nanos now) {
    controller.on_acknowledged(now, acknowledgement.proxy, acknowledgement.request, acknowledgement.latency);
  });
}

// --- Membership of the proxies

bool ControlPlane::is_joined(ProxyId proxy) const {
  return entry_of(proxy).is_pushed_to() ? push_proxies_.is_joined(proxy) : pull_proxies_.is_joined(proxy);
}

// Notifies the controller if a proxy has joined or left. Another thread may meanwhile have changed the
// proxy's membership or notified the controller, so the membership is read again under the lock of `driver_`.
void ControlPlane::update_membership(ProxyId proxy) {
  driver_.call([&](RecordingController& controller, RoutingState& routing_state, Nanos now) {
    const bool joined = is_joined(proxy);
    const auto& entry = entry_of(proxy);
    if (joined == announced_proxies_.contains(proxy)) {
      if (!joined || !entry.is_pushed_to()) return;
      // The proxy was lost and joined again before the controller was notified: the published tables must be
      // pushed to the proxy again.
      auto proxy_snapshot = published_.snapshot()->snapshot_of(proxy);
      if (proxy_snapshot) push_proxies_.resend(now, proxy, std::move(proxy_snapshot));
      return;
    }
    host_.log((joined ? "proxy_joined proxy=" : "proxy_left proxy=") + entry.name, published_.version());
    if (joined) {
      announced_proxies_.insert(proxy);
      routing_state.add_proxy(proxy);
      pull_proxies_.on_joined(now, proxy);
      controller.on_proxy_joined(now, proxy, entry.zone, entry.usual_rate, true);
    } else {
      announced_proxies_.erase(proxy);
      controller.on_proxy_left(now, proxy);
      routing_state.remove_proxy(proxy);
      pull_proxies_.on_left(proxy);
    }
  });
}

// Updates the membership of proxies that pull and sent neither a query nor a report in time, and of proxies
// that did not confirm pushes in time.
void ControlPlane::check_membership() {
  const auto now = driver_.now();
  auto left = pull_proxies_.take_silent(now);
  const auto lost = push_proxies_.take_lost(now);
  left.insert(left.end(), lost.begin(), lost.end());
  for (const auto proxy : left) update_membership(proxy);
}

// --- Proxies that pull

delivery::PullAnswer ControlPlane::on_query(ProxyId proxy, ClassId request_class) {
  delivery::PullAnswer answer;
  const auto now = driver_.now();
  answer.ttl_decision = pull_proxies_.on_query(now, proxy, request_class);
  if (answer.ttl_decision.client_joined || answer.ttl_decision.client_left) update_membership(proxy);
  answer.directory = directory();
  if (answer.ttl_decision.service != dns::ClientService::replicas) {
    answer.fallback_proxies = fallback_proxies(std::nullopt, proxy);
    return answer;
  }
  auto tables = pull_proxies_.take_answer(now, proxy);
  answer.proxy_snapshot = std::move(tables.proxy_snapshot);
  for (const auto& acknowledgement : tables.acknowledged) on_acknowledged(acknowledgement);
  return answer;
}

delivery::PullAnswer ControlPlane::on_zone_query(ZoneId zone) {
  delivery::PullAnswer answer;
  answer.ttl_decision.service = dns::ClientService::proxies;
  answer.directory = directory();
  answer.fallback_proxies = fallback_proxies(zone, std::nullopt);
  return answer;
}

// Returns the joined proxies that accept requests of other clients, the proxies of `preferred_zone` first.
// `excluded` is left out.
std::vector<delivery::FallbackProxy> ControlPlane::fallback_proxies(std::optional<ZoneId> preferred_zone,
                                                                    std::optional<ProxyId> excluded) const {
  std::vector<delivery::FallbackProxy> proxies;
  for (std::size_t index = 0; index < config_.proxies.known.size(); ++index) {
    const auto& known = config_.proxies.known[index];
    const auto id = proxy_id(index);
    if (!known.entry || id == excluded || !is_joined(id)) continue;
    proxies.push_back({id, known.zone, *known.entry});
  }
  std::stable_partition(proxies.begin(), proxies.end(),
                        [&](const delivery::FallbackProxy& proxy) { return proxy.zone == preferred_zone; });
  return proxies;
}

// --- Proxies that tables are pushed to

void ControlPlane::on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion version) {
  push_proxies_.on_push_confirmed(proxy, version);
}

void ControlPlane::on_push_failed(ProxyId proxy, const std::string& why) {
  push_proxies_.on_push_failed(proxy, why);
}

void ControlPlane::on_push_rejected(ProxyId proxy, const routing_state::RemoteState& remote) {
  if (push_proxies_.on_push_rejected(proxy, remote)) update_membership(proxy);
}

void ControlPlane::on_remote_state(ProxyId proxy, const routing_state::RemoteState& remote) {
  if (push_proxies_.on_remote_state(proxy, remote)) update_membership(proxy);
}

void ControlPlane::on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to) {
  push_proxies_.on_rollback(proxy, rolled_back_to);
}

// --- Published state

std::shared_ptr<const delivery::EndpointDirectory> ControlPlane::directory() const {
  return published_.directory();
}

routing_state::SnapshotVersion ControlPlane::version() const { return published_.version(); }

std::optional<ReplicaId> ControlPlane::find_replica(std::string_view name) const {
  const auto endpoints = directory();
  const auto known = endpoints->ids_by_name.find(name);
  if (known == endpoints->ids_by_name.end()) return std::nullopt;
  return known->second;
}

ControlPlaneStatus ControlPlane::status() const {
  ControlPlaneStatus status;
  driver_.inspect([&] {
    status.snapshot = published_.snapshot();
    status.directory = published_.directory();
    status.phases = endpoints_.phases();
    status.pull_counts = pull_proxies_.counts();
    status.push_counts = push_proxies_.counts();
    status.joined_proxies = announced_proxies_;
  });
  return status;
}

// --- Actions of the controller, called with the lock of `driver_` held

void ControlPlane::on_published(Nanos now, const std::optional<RoutingState::Publication>& publication,
                                const std::vector<RequestAcknowledgement>& requests) {
  auto unroutable = endpoints_.take_unroutable_if_changed();
  if (unroutable) {
    published_.set_unroutable_replicas(std::move(unroutable->names));
    push_proxies_.on_unroutable_changed(now, std::move(unroutable->ids));
  }
  if (publication) {
    push_proxies_.on_published(now, *publication);
    pull_proxies_.on_published(now, *publication);
  }
  if (publication || unroutable) push_proxies_.notify_listener();
  if (publication) published_.set_snapshot(publication->snapshot);
  const auto snapshot = published_.snapshot();
  for (const auto& request : requests) pull_proxies_.request_acknowledgement(now, request, *snapshot);
}

void ControlPlane::on_ejection_changed(ReplicaId replica, bool ejected) {
  endpoints_.set_ejected(replica, ejected);
}

void ControlPlane::request_health_check(ReplicaId replica) {
  host_.request_health_check(replica, published_.directory()->endpoint(replica).address);
}

void ControlPlane::log(std::string_view line) {
  const auto name_of = [this](ReplicaId replica) { return endpoints_.name_of(replica); };
  host_.log(with_replica_name(line, name_of), published_.version());
}

}  // namespace ospreypost::control_plane
