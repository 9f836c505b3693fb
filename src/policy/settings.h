/// The settings of the decision module: the deployment's request classes, its size and its limits.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/types.h"

namespace ospreypost {

/// What happens if a request of a class is executed twice.
enum class Idempotency { idempotent, deduplicated, at_most_once };

/// How the proxies apply an admitted fraction. The controller can shed load only with `share`.
enum class AdmissionMode { share, rate, ignored };

/// How a proxy picks one replica of its table.
enum class PickingPolicy { weighted, round, two };

/// How the load values of replicas reach the controller.
enum class ReportingMode { none, in_load_reports, by_health_check };

/// A column of a replica's load report.
enum class LoadMetric { inflight, queue, util, latency, rate, errors, other };

struct ClassSettings {
  Idempotency effect = Idempotency::at_most_once;
  Nanos latency_objective{};
  Nanos request_deadline{};
  double priority_weight = 1;       ///< value of a request that meets its latency objective
  double late_priority_weight = 0;  ///< value of a request that misses its objective but meets its deadline
  bool same_zone_only = false;
  std::vector<ZoneId> allowed_zones;          ///< empty: all zones
  std::vector<HardwareKindId> allowed_kinds;  ///< empty: all hardware kinds
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::size_t zones = 1;
  ZoneId own_zone{};
  bool poll_endpoint_list = false;     ///< whether the endpoint list is sent only on request
  bool health_checks_allowed = false;  ///< whether health checks may ask replicas for their load
  ReportingMode reporting = ReportingMode::none;
  std::vector<LoadMetric> load_columns;
  AdmissionMode admission = AdmissionMode::ignored;
  PickingPolicy picking = PickingPolicy::weighted;
  std::size_t governors = 1;  ///< number of control plane instances that share the proxies
  std::size_t proxies = 0;    ///< number of proxies of all instances together
  /// Whether a proxy joins an instance of its own zone if there is one.
  bool proxies_by_zone = false;
  double min_replica_connections = 0;  ///< connections that the smallest replica accepts; 0: no limit
  /// Number of slices, which the simulator's protocol has. If there are any, the controller publishes no
  /// tables.
  std::size_t slices = 0;
  bool slices_exclusive = false;
  Nanos report_interval{};
  Nanos message_delay{};  ///< delay of a message from the controller to a proxy
  Nanos poll_timeout{};
  Nanos drain_grace{};  ///< time from notification until no request may be sent to a draining replica
  Nanos max_time_without_endpoints{};
  double channel_entries_per_second = 0;
  double channel_max_queued_entries = 0;
  double message_overhead_entries = 0;      ///< cost of a message, in entries, beyond the entries it carries
  std::size_t max_messages_per_window = 0;  ///< messages to one proxy within `message_window`; 0: no limit
  Nanos message_window{};
  double initial_warm_up_capacity = 0;  ///< capacity of a replica at its start, as a fraction of its weight
  Nanos warm_up_duration{};
  double overload_multiple = 0;  ///< load, as a multiple of its capacity, at which a replica fails
  Nanos overload_duration{};     ///< time at that load after which a replica fails
  /// Whether a replica that leaves the list without draining first may still be serving.
  bool only_draining_is_binding = false;
};

}  // namespace ospreypost
