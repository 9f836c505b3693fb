/// The actions of the controller, with one type for each action.
#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "policy/types.h"

namespace ospreypost {

/// Sets the weight of a replica in a routing table; weight 0 removes the entry.
struct SetTableEntry {
  TableId table{};
  ReplicaId replica{};
  double weight = 0;
};

struct ClearTable {
  TableId table{};
};

/// Makes a proxy route its requests of the given classes by the given table from now on.
struct BindProxy {
  ProxyId proxy{};
  TableId table{};
  ClassMask classes = 0;
};

/// Ejects a replica or ends its ejection. Proxies send nothing to an ejected replica, whatever its weight.
struct SetEjected {
  ReplicaId replica{};
  bool ejected = false;
};

/// Sets the fraction, from 0 to 1, of arriving requests that proxies admit, and when they may retry.
struct SetAdmittedFraction {
  TableId table{};
  ClassMask classes = 0;
  double fraction = 1;
  RetryMode retry = RetryMode::none;
};

/// Requests an acknowledgement from proxies once they have applied all messages sent before this request.
struct RequestAcknowledgement {
  AckRequestId request{};
  bool all_proxies = false;  ///< if false, only proxies that are sent other actions of the same call respond
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

/// A message to other instances. The controller never sends one; the simulator's protocol has this action.
struct SendToPeer {
  std::optional<PeerId> peer;  ///< empty: all peers
  std::string_view message;    ///< valid only during the call of ActionSink::on_action
};

/// One log line for operators. Replicas are named by their number.
struct LogLine {
  std::string_view text;  ///< valid only during the call of ActionSink::on_action
};

using Action = std::variant<SetTableEntry, ClearTable, BindProxy, SetEjected, SetAdmittedFraction,
                            RequestAcknowledgement, StartTimer, WatchEndpointList, RefreshEndpointList,
                            RequestHealthCheck, SendToPeer, LogLine>;

}  // namespace ospreypost
