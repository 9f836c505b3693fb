// The one place where calls enter the module and its orders leave: has the module's own methods, and writes
// down each call with the orders that it made. Decides nothing; with no writer it only passes on.
#pragma once

#include <memory>
#include <string>

#include "policy/controller.h"
#include "record/origin.h"

namespace ospreypost::kept {
class Entry;
}

namespace ospreypost::record {

class Writer;

class RecordingController : private ActionSink {
 public:
  // `configuration`: as the file gave it. `writer` may be null; else it must outlive this, as must the host.
  RecordingController(const Settings& settings, std::uint64_t seed, Nanos now, ActionSink& host,
                      Writer* writer, const std::string& configuration);
  ~RecordingController() override;

  void on_endpoint_list(Nanos now, EndpointListKind kind, const std::vector<EndpointUpdate>& entries);
  void on_endpoint_list_failed(Nanos now);
  void on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_operations_per_second, bool fresh);
  void on_proxy_left(Nanos now, ProxyId proxy);
  void on_replica_load_report(Nanos now, const ReplicaLoadReport& sum, const Origin& origin);
  void on_demand_report(Nanos now, const DemandReport& demand, const Origin& origin);
  void on_acknowledged(Nanos now, ProxyId proxy, AckRequestId mark, Nanos took);
  void on_health_check_result(Nanos now, const HealthCheckResult& answer);
  void on_timer(Nanos now, TimerId timer);
  void on_peer_message(Nanos now, PeerId peer, std::string_view message);
  // No call: what an id stands for, for those who read the record.
  void on_replica_named(Nanos now, ReplicaId replica, const std::string& name);

 private:
  void on_action(const Action& action) override;

  // Makes the call, with its entry open for the orders, and hands the entry on.
  template <typename Fill, typename Make>
  void call(Nanos now, Fill fill, Make make);

  ActionSink& host_;
  Writer* const writer_;
  std::unique_ptr<kept::Entry> entry_;  // of the call being made
  std::string text_;
  std::unique_ptr<Controller> governor_;
};

}  // namespace ospreypost::record
