/// What a record holds besides actions: one type for each event that the controller receives, and for what
/// readers need to know about it. References are valid during the call that takes an event.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "policy/observations.h"
#include "policy/types.h"
#include "record/origin.h"

namespace ospreypost::record {

/// An incarnation of the control plane starts: all entries before belong to another.
struct IncarnationStarted {
  const std::string& configuration;  ///< the text of its file
  Nanos wall_time{};                 ///< since 1970
};

/// What an id stands for. The controller does not receive it.
struct ReplicaNamed {
  ReplicaId replica{};
  const std::string& name;
};

struct EndpointListReceived {
  EndpointListKind kind = EndpointListKind::changes;
  const std::vector<EndpointUpdate>& entries;
};

struct EndpointListFailed {};

struct ProxyJoined {
  ProxyId proxy{};
  ZoneId zone{};
  double usual_requests_per_second = 0;
  bool fresh = false;  ///< it holds no tables yet
};

struct ProxyLeft {
  ProxyId proxy{};
};

struct ReplicaLoadReported {
  const ReplicaLoadReport& report;
  Origin origin;
};

struct DemandReported {
  const DemandReport& report;
  Origin origin;
};

struct Acknowledged {
  ProxyId proxy{};
  AckRequestId request{};
  Nanos elapsed{};  ///< since the request was sent
};

struct HealthCheckCompleted {
  const HealthCheckResult& result;
};

struct TimerExpired {
  TimerId timer{};
};

struct PeerMessageReceived {
  PeerId peer{};
  std::string_view message;
};

using Event = std::variant<IncarnationStarted, ReplicaNamed, EndpointListReceived, EndpointListFailed,
                           ProxyJoined, ProxyLeft, ReplicaLoadReported, DemandReported, Acknowledged,
                           HealthCheckCompleted, TimerExpired, PeerMessageReceived>;

}  // namespace ospreypost::record
