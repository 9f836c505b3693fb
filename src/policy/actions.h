/// What the controller can do: one type for each action.
#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "policy/types.h"

namespace ospreypost {

/// Weight 0 removes the entry.
struct SetTableEntry {
  TableId table{};
  ReplicaId replica{};
  double weight = 0;
};

struct ClearTable {
  TableId table{};
};

/// From now on the proxy sends requests of these classes by that table.
struct BindProxy {
  ProxyId proxy{};
  TableId table{};
  ClassMask classes = 0;
};

/// No proxy may send to an ejected replica, whatever its tables say.
struct SetEjected {
  ReplicaId replica{};
  bool ejected = false;
};

/// Of the requests that come, proxies admit this fraction, from 0 to 1.
struct SetAdmittedFraction {
  TableId table{};
  ClassMask classes = 0;
  double fraction = 1;
  RetryMode retry = RetryMode::none;
};

/// Proxies answer once they have applied all that was sent before.
struct RequestAcknowledgement {
  AckRequestId request{};
  bool all_proxies = false;  ///< also those to whom nothing else is sent
};

struct StartTimer {
  Nanos delay{};
  TimerId timer{};
};

struct WatchEndpointList {
  bool enabled = false;
};

struct RefreshEndpointList {};

struct RequestHealthCheck {
  ReplicaId replica{};
};

/// Only carried because the simulator's protocol has it.
struct SendToPeer {
  std::optional<PeerId> peer;  ///< absent: every peer
  std::string_view message;    ///< valid during the call
};

/// One line for operators; replicas are named by number.
struct LogLine {
  std::string_view text;  ///< valid during the call
};

using Action = std::variant<SetTableEntry, ClearTable, BindProxy, SetEjected, SetAdmittedFraction,
                            RequestAcknowledgement, StartTimer, WatchEndpointList, RefreshEndpointList,
                            RequestHealthCheck, SendToPeer, LogLine>;

}  // namespace ospreypost
