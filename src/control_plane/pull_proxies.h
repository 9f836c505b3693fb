/// The proxies that pull their tables: how long each proxy may cache an answer, and which changes are queued
/// for it.
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

/// Tracks the proxies that pull their tables by DNS, and selects the answers to their queries. Thread-safe:
/// its two locks are held for a few instructions, never both at once, and no other lock is taken while one of
/// them is held.
class PullProxies {
 public:
  /// `config` must outlive this object. `clock` is the clock of the control plane.
  PullProxies(const config::Config& config, std::function<Nanos()> clock);

  /// Registers a configured proxy.
  /// `trusted` means that, according to the operator, no cache answers the proxy's queries.
  void add_known(ProxyId proxy, bool trusted);

  // The proxies as DNS clients: time to live of their answers, and whether they have joined.

  /// Decides how the query of `proxy` for its table of `request_class` is answered, and for how long the
  /// answer may be cached.
  dns::TtlDecision on_query(Nanos now, ProxyId proxy, ClassId request_class);
  /// Notes that a report of `proxy` arrived, whether or not its contents were accepted.
  void on_report(ProxyId proxy);
  /// Returns the proxies that left because neither a query nor a report of them arrived in time; each proxy
  /// is returned once.
  std::vector<ProxyId> take_silent(Nanos now);
  /// Whether requests may be sent through the proxy: it has joined and uses no answer beyond the drain grace.
  bool is_joined(ProxyId proxy) const;

  // Delivery of routing tables to the proxies.

  void on_joined(Nanos now, ProxyId proxy);
  void on_left(ProxyId proxy);
  /// Queues those changes of `published` that concern proxies which pull.
  void on_published(Nanos now, const routing_state::RoutingState::Publication& published);
  /// Starts waiting for the acknowledgements that `request` asks for.
  /// `snapshot` is the routing snapshot that the request was made with.
  void request_acknowledgement(Nanos now, const RequestAcknowledgement& request,
                               const routing_state::RoutingSnapshot& snapshot);

  struct Answer {
    /// Null if no answer is possible now.
    std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot;
    /// The acknowledgement requests that the proxy fulfils with this query.
    std::vector<routing_state::PullDelivery::Acknowledgement> acknowledged;
  };
  /// Returns the tables that a query of `proxy` may be answered with now. The tables count as delivered.
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
