/// A small fleet for tests of the parts of the decision module that work on all replicas.
#pragma once

#include <utility>

#include "policy/controller_fixture.h"
#include "policy/fleet_statistics.h"
#include "policy/recording_sink.h"

namespace ospreypost::test {

/// Replicas with outcomes, and the objects that the tested parts need to judge them.
struct Fleet {
  explicit Fleet(Settings fleet_settings = small_settings())
      : settings(std::move(fleet_settings)),
        clock(std::chrono::seconds(100), std::chrono::milliseconds(500)),
        classes(settings),
        load_signal(settings),
        slow_start(settings) {}

  /// Adds a ready replica with the given attempts, failures and utilization.
  policy::Replica& add(std::uint32_t id, double attempts, double failed, float utilization = 0.5F) {
    auto& replica = replicas[ReplicaId{id}];
    replica.endpoint.phase = EndpointPhase::ready;
    replica.endpoint.zone = id % settings.zones;
    add_outcomes(replica, attempts, failed);
    load_signal.record(replica, {utilization}, clock);
    return replica;
  }
  void add_outcomes(policy::Replica& replica, double attempts, double failed) const {
    replica.outcomes.attempts.add(clock.evidence_time(), attempts);
    replica.outcomes.failed.add(clock.evidence_time(), failed);
    replica.outcomes.successes += attempts - failed;
  }
  policy::FleetStatistics statistics() const {
    return statistics_after(policy::FleetStatistics(settings.zones));
  }
  policy::FleetStatistics statistics_after(const policy::FleetStatistics& previous) const {
    return collect_fleet_statistics({replicas, slow_start, load_signal, classes, clock}, previous);
  }

  Settings settings;
  policy::EvidenceClock clock;
  policy::RequestClasses classes;
  policy::LoadSignal load_signal;
  policy::SlowStart slow_start;
  policy::ReplicaMap replicas;
  RecordingSink sink;
};

}  // namespace ospreypost::test
