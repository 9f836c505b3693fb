// What a front asks of the governor's side, and what it is told. A front translates; it decides nothing.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dns/client_ttl_policy.h"
#include "net/socket.h"
#include "routing_state/lease_table.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::delivery {

// As every front writes it for its clients.
inline const char* name_of(RetryMode retry) {
  switch (retry) {
    case RetryMode::none:
      return "none";
    case RetryMode::after_rejection_proof:
      return "after-proof";
    case RetryMode::once:
      return "once";
    case RetryMode::twice:
      return "twice";
  }
  return "none";
}

// Where a replica stands, as the list gave it last.
struct RegisteredEndpoint {
  std::string name, zone;
  net::Address address;
  bool removed = false;
};

// Immutable once shared. Replicas that are gone keep their place, for answers that are being written.
struct EndpointDirectory {
  std::vector<RegisteredEndpoint> endpoints;  // by ReplicaId
  std::map<std::string, ReplicaId, std::less<>> ids_by_name;

  const RegisteredEndpoint& endpoint(ReplicaId id) const {
    return endpoints.at(static_cast<std::size_t>(id));
  }
  const RegisteredEndpoint* find(std::string_view name) const {
    const auto known = ids_by_name.find(name);
    return known == ids_by_name.end() ? nullptr : &endpoint(known->second);
  }
};

// A plain proxy that takes operations of others.
struct FallbackProxy {
  ProxyId proxy{};
  ZoneId zone{};
  net::Address address;
};

struct PullAnswer {
  dns::TtlDecision ttl_decision;
  std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot;  // null: nothing can be said now
  std::shared_ptr<const EndpointDirectory> directory;                  // never null
  std::vector<FallbackProxy>
      fallback_proxies;  // for clients that get proxies: those that can be held, its own zone's first
};

// What is to be sent to a proxy that is pushed to.
struct PushMessage {
  ProxyId proxy{};
  std::shared_ptr<const routing_state::ProxySnapshot>
      proxy_snapshot;  // null: only a sign of life is asked for
  std::shared_ptr<const EndpointDirectory> directory;
  std::vector<std::string> ejected;  // replicas that nobody may send to now, by name
  bool overrides_rollback = false;   // in place of what somebody went back to by hand
  std::uint64_t epoch = 0;           // that it is ordered by, and by which process
  std::string owner;
};

// Told when there may be something to push; called under locks: take note and return.
class PushListener {
 public:
  virtual ~PushListener() = default;
  virtual void on_push_available() = 0;
};

// For fronts that are asked.
class PullService {
 public:
  virtual ~PullService() = default;
  // A proxy asked for its table of a class.
  virtual PullAnswer on_query(ProxyId proxy, ClassId cls) = 0;
  // Somebody asked for the proxies of a zone.
  virtual PullAnswer on_zone_query(ZoneId zone) = 0;
  virtual std::shared_ptr<const EndpointDirectory> directory() const = 0;
  virtual routing_state::SnapshotVersion version() const = 0;
};

// For fronts that push: what they are given to carry, and what they tell back.
class PushService {
 public:
  virtual ~PushService() = default;
  // The next push that is due, if any; it is under way until one of the four below ends it.
  virtual std::optional<PushMessage> take_push() = 0;
  // How long until another may be due with nothing else happening; empty: never.
  virtual std::optional<Nanos> next_push_in() = 0;
  // It goes by that version now.
  virtual void on_push_confirmed(ProxyId proxy, routing_state::SnapshotVersion version) = 0;
  // Lost, not stored, or not in time.
  virtual void on_push_failed(ProxyId proxy, const std::string& why) = 0;
  // Refused for what lies there.
  virtual void on_push_rejected(ProxyId proxy, const routing_state::RemoteState& met) = 0;
  // It answers, and that lies there.
  virtual void on_remote_state(ProxyId proxy, const routing_state::RemoteState& met) = 0;
  // Somebody made it go back by hand, to tables of these replicas; nothing that is under way ends by that.
  virtual void on_rollback(ProxyId proxy, const std::vector<std::string>& rolled_back_to) = 0;
};

}  // namespace ospreypost::delivery
