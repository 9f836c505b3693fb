/// The events of a record: one type for each event that the controller receives, and types for information
/// that only readers of the record use. References are valid during the call that receives an event.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "policy/observations.h"
#include "policy/types.h"
#include "record/origin.h"

namespace ospreypost::record {

/// An incarnation of the control plane starts: all earlier entries belong to earlier incarnations.
struct IncarnationStarted {
  const std::string& configuration;  ///< text of the configuration file
  Nanos wall_time{};                 ///< time of the start, since 1970
};

/// The name that belongs to a replica id. The controller does not receive names.
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
  bool fresh = false;  ///< the proxy holds no tables yet
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
  Nanos elapsed{};  ///< time since the acknowledgement was requested
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
