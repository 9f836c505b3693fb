/// The interfaces through which the controller issues its actions.
#pragma once

#include <optional>
#include <string_view>

#include "policy/actions.h"
#include "policy/types.h"

namespace ospreypost {

/// Receives the controller's actions; transports, recorders and tests implement this interface.
/// Actions take effect in the order of the calls on this interface.
/// All actions of one call on the controller are sent together, as one message to each proxy concerned.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void on_action(const Action& action) = 0;

  // Shorthands for the decision module: each builds one action and passes it to on_action().
  void set_table_entry(TableId table, ReplicaId replica, double weight) {
    on_action(SetTableEntry{table, replica, weight});
  }
  void bind(ProxyId proxy, TableId table, ClassMask classes) { on_action(BindProxy{proxy, table, classes}); }
  void set_ejected(ReplicaId replica, bool ejected) { on_action(SetEjected{replica, ejected}); }
  void set_admitted_fraction(TableId table, ClassMask classes, double fraction, RetryMode retry) {
    on_action(SetAdmittedFraction{table, classes, fraction, retry});
  }
  void request_acknowledgement(AckRequestId request, bool all_proxies) {
    on_action(RequestAcknowledgement{request, all_proxies});
  }
  void start_timer(Nanos delay, TimerId timer) { on_action(StartTimer{delay, timer}); }
  void watch_endpoint_list(bool enabled) { on_action(WatchEndpointList{enabled}); }
  void request_health_check(ReplicaId replica) { on_action(RequestHealthCheck{replica}); }
  void log(std::string_view text) { on_action(LogLine{text}); }
};

/// An action sink with one virtual function per action type; a function that is not overridden does nothing.
class ActionHandler : public ActionSink {
 public:
  void on_action(const Action& action) final {
    std::visit([this](const auto& typed_action) { handle(typed_action); }, action);
  }

 protected:
  virtual void handle(const SetTableEntry&) {}
  virtual void handle(const ClearTable&) {}
  virtual void handle(const BindProxy&) {}
  virtual void handle(const SetEjected&) {}
  virtual void handle(const SetAdmittedFraction&) {}
  virtual void handle(const RequestAcknowledgement&) {}
  virtual void handle(const StartTimer&) {}
  virtual void handle(const WatchEndpointList&) {}
  virtual void handle(const RefreshEndpointList&) {}
  virtual void handle(const RequestHealthCheck&) {}
  virtual void handle(const SendToPeer&) {}
  virtual void handle(const LogLine&) {}
};

}  // namespace ospreypost
