/// The proxies that pull their tables: how long each may cache an answer, and what is queued for it.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "config/config.h"
#include "dns/client_ttl_policy.h"
#include "policy/actions.h"
#include "policy/types.h"
#include "routing_state/pull_delivery.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/routing_state.h"

namespace ospreypost::control_plane {

/// Thread-safe. Its two locks are held for a few instructions, never both, and no other is taken under them.
class PullProxies {
 public:
  /// `config` must outlive it; `clock` is that of the control plane.
  PullProxies(const config::Config& config, std::function<Nanos()> clock);

  /// `trusted`: the operator states that it queries without a cache between.
  void add_known(ProxyId proxy, bool trusted);

  // What it is given as a DNS client.

  /// A proxy requests its table of a class.
  dns::TtlDecision on_query(Nanos now, ProxyId proxy, ClassId request_class);
  /// A report of it came, whatever was in it.
  void on_report(ProxyId proxy);
  /// Those that fell silent; each is named once.
  std::vector<ProxyId> take_silent(Nanos now);
  /// Whether requests may be sent through it: it has joined and keeps to the drain grace.
  bool is_joined(ProxyId proxy) const;

  // What is delivered to it.

  void on_joined(Nanos now, ProxyId proxy);
  void on_left(ProxyId proxy);
  /// Of what is published, takes what concerns proxies that pull.
  void on_published(Nanos now, const routing_state::RoutingState::Publication& published);
  /// `snapshot` is the one that the request was made with.
  void request_acknowledgement(Nanos now, const RequestAcknowledgement& request,
                               const routing_state::RoutingSnapshot& snapshot);

  struct Answer {
    std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot;  ///< null: no answer is possible now
    std::vector<routing_state::PullDelivery::Acknowledgement> acknowledged;  ///< requests that this settles
  };
  /// What a proxy may be answered from now; it counts as delivered.
  Answer take_answer(Nanos now, ProxyId proxy);
  routing_state::PullDelivery::Counts counts() const;

 private:
  const config::Config& config_;
  const std::function<Nanos()> clock_;

  mutable std::mutex ttl_mutex_;
  dns::ClientTtlPolicy ttl_policy_;  // guarded by `ttl_mutex_`

  mutable std::mutex delivery_mutex_;
  routing_state::PullDelivery delivery_;  // guarded by `delivery_mutex_`
};

}  // namespace ospreypost::control_plane
