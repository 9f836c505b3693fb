/// A `Controller` whose events and actions are recorded.
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

/// The one place where events enter the controller and its actions leave it. It has the controller's own
/// methods, and stores each event with the actions that it led to; without a writer it only passes them on.
/// It decides nothing. Not thread-safe.
class RecordingController : private ActionSink {
 public:
  /// `configuration` is the text of its file. `writer` may be null; it must outlive this, as must `actions`.
  RecordingController(const Settings& settings, std::uint64_t seed, Nanos now, ActionSink& actions,
                      Writer* writer, const std::string& configuration);
  ~RecordingController() override;

  // As `Controller` has them; `origin` is for readers of the record.

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

  /// Tells readers of the record what an id stands for; the controller does not receive it.
  void on_replica_named(Nanos now, ReplicaId replica, const std::string& name);

 private:
  void on_action(const Action& action) override;

  // Calls `handle` with an entry open for the actions that it leads to, and stores the entry.
  template <typename Handler>
  void record(Nanos now, const Event& event, Handler handle);

  ActionSink& actions_;
  Writer* const writer_;
  std::unique_ptr<kept::Entry> entry_;  // of the event being handled
  std::string serialized_entry_;        // kept for its memory
  std::unique_ptr<Controller> controller_;
};

}  // namespace ospreypost::record
