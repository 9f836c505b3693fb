/// Records the events and actions of a `Controller`.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "policy/controller.h"
#include "record/events.h"
#include "record/origin.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

class Writer;

/// Wraps the controller: all events enter and all actions leave the controller through this class. The
/// methods match those of `Controller`. Each event is stored together with the resulting actions; without a
/// writer events and actions are only forwarded. The class makes no decisions. Not thread-safe.
class RecordingController : private ActionSink {
 public:
  /// `configuration` is the text of the configuration file. `writer` may be null. `writer` and `actions` must
  /// outlive this object.
  RecordingController(const Settings& settings, std::uint64_t seed, Nanos now, ActionSink& actions,
                      Writer* writer, const std::string& configuration);
  ~RecordingController() override;

  // These methods receive the same events as those of `Controller`. `origin` is only recorded, not passed to
  // the controller.

  void on_endpoint_list(Nanos now, EndpointListKind kind, const std::vector<EndpointUpdate>& entries);
  void on_endpoint_list_failed(Nanos now);
  void on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_requests_per_second, bool fresh);
  void on_proxy_left(Nanos now, ProxyId proxy);
  void on_replica_load_report(Nanos now, const ReplicaLoadReport& report, const Origin& origin);
  void on_demand_report(Nanos now, const DemandReport& report, const Origin& origin);
  void on_acknowledged(Nanos now, ProxyId proxy, AckRequestId request, Nanos elapsed);
  void on_health_check_result(Nanos now, const HealthCheckResult& result);
  void on_timer(Nanos now, TimerId timer);
  void on_peer_message(Nanos now, PeerId peer, std::string_view message);

  /// Records the name that belongs to a replica id. The controller does not receive names.
  void on_replica_named(Nanos now, ReplicaId replica, const std::string& name);

 private:
  void on_action(const Action& action) override;

  // Creates an entry for the event, calls `handle`, which adds the resulting actions, and stores the entry.
  template <typename Handler>
  void record(Nanos now, const Event& event, Handler handle);

  ActionSink& actions_;
  Writer* const writer_;
  std::unique_ptr<kept::Entry> entry_;  // entry of the event being handled
  std::string serialized_entry_;        // a member only so that its buffer is reused
  std::unique_ptr<Controller> controller_;
};

}  // namespace ospreypost::record
