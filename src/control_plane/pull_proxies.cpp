#include "control_plane/pull_proxies.h"

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "config/config.h"
#include "dns/client_ttl_policy.h"
#include "policy/actions.h"
#include "policy/types.h"
#include "routing_state/pull_delivery.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/routing_state.h"

namespace ospreypost::control_plane {

PullProxies::PullProxies(const config::Config& config, std::function<Nanos()> clock)
    : config_(config),
      clock_(std::move(clock)),
      ttl_policy_(config::client_limits(config)),
      delivery_({config.settings.message_overhead_entries, config.settings.max_messages_per_window,
                 config.settings.message_window}) {}

void PullProxies::add_known(ProxyId proxy, bool trusted) {
  const std::lock_guard lock(ttl_mutex_);
  ttl_policy_.add_known(proxy, trusted);
}

dns::TtlDecision PullProxies::on_query(Nanos now, ProxyId proxy, ClassId request_class) {
  const std::lock_guard lock(ttl_mutex_);
  return ttl_policy_.on_query(now, proxy, request_class);
}

void PullProxies::on_report(ProxyId proxy) {
  const std::lock_guard lock(ttl_mutex_);
  ttl_policy_.on_report(clock_(), proxy);
}

std::vector<ProxyId> PullProxies::take_silent(Nanos now) {
  const std::lock_guard lock(ttl_mutex_);
  return ttl_policy_.take_silent(now);
}

bool PullProxies::is_joined(ProxyId proxy) const {
  const std::lock_guard lock(ttl_mutex_);
  return ttl_policy_.is_joined(proxy);
}

void PullProxies::on_joined(Nanos now, ProxyId proxy) {
  const std::lock_guard lock(delivery_mutex_);
  delivery_.add_proxy(now, proxy);
}

void PullProxies::on_left(ProxyId proxy) {
  const std::lock_guard lock(delivery_mutex_);
  delivery_.remove_proxy(proxy);
}

void PullProxies::on_published(Nanos now, const routing_state::RoutingState::Publication& published) {
  const std::lock_guard lock(delivery_mutex_);
  for (const auto& change : published.changes) {
    if (config_.proxies.known[static_cast<std::size_t>(change.proxy)].is_pushed_to()) continue;
    delivery_.on_published(now, change.proxy, published.snapshot->snapshot_of(change.proxy), change.entries);
  }
}

void PullProxies::request_acknowledgement(Nanos now, const RequestAcknowledgement& request,
                                          const routing_state::RoutingSnapshot& snapshot) {
  const auto proxies = snapshot.acknowledgement_recipients(request.all_proxies);
  const std::lock_guard lock(delivery_mutex_);
  delivery_.request_acknowledgement(now, request.request, snapshot.version, proxies);
}

PullProxies::Answer PullProxies::take_answer(Nanos now, ProxyId proxy) {
  const std::lock_guard lock(delivery_mutex_);
  Answer answer;
  answer.proxy_snapshot = delivery_.take_answer(now, proxy);
  answer.acknowledged = delivery_.take_acknowledged(now, proxy);
  return answer;
}

routing_state::PullDelivery::Counts PullProxies::counts() const {
  const std::lock_guard lock(delivery_mutex_);
  return delivery_.counts();
}

}  // namespace ospreypost::control_plane
