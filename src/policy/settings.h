/// What the deployment tells the decision module: its classes, its size and its limits.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/types.h"

namespace ospreypost {

/// What running a request of a class twice would do.
enum class Idempotency { idempotent, deduplicated, at_most_once };

/// What the proxies make of an admitted fraction. Only `share` lets the controller shed load.
enum class AdmissionMode { share, rate, ignored };

/// How a proxy picks one replica of its table.
enum class PickingPolicy { weighted, round, two };

/// The way in which replicas' load values reach the controller.
enum class ReportingMode { none, in_load_reports, by_health_check };

/// A column of a replica's load report.
enum class LoadMetric { inflight, queue, util, latency, rate, errors, other };

struct ClassSettings {
  Idempotency effect = Idempotency::at_most_once;
  Nanos latency_objective{};
  Nanos request_deadline{};
  double priority_weight = 1;       ///< value of a request that meets its objective
  double late_priority_weight = 0;  ///< value of one that only meets its deadline
  bool same_zone_only = false;
  std::vector<ZoneId> allowed_zones;          ///< empty: all
  std::vector<HardwareKindId> allowed_kinds;  ///< empty: all
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::size_t zones = 1;
  ZoneId own_zone{};
  bool poll_endpoint_list = false;     ///< the list comes only when it is asked for
  bool health_checks_allowed = false;  ///< the controller may ask replicas for their load
  ReportingMode reporting = ReportingMode::none;
  std::vector<LoadMetric> load_columns;
  AdmissionMode admission = AdmissionMode::ignored;
  PickingPolicy picking = PickingPolicy::weighted;
  std::size_t governors = 1;  ///< instances that share the proxies
  std::size_t proxies = 0;    ///< of all instances together
  /// A proxy joins an instance of its own zone if there is one.
  bool proxies_by_zone = false;
  double min_replica_connections = 0;  ///< that the smallest replica accepts; 0: no limit
  /// Only carried because the simulator's protocol has them; the controller serves no slices.
  std::size_t slices = 0;
  bool slices_exclusive = false;
  Nanos report_interval{};
  Nanos message_delay{};  ///< from the controller to a proxy
  Nanos poll_timeout{};
  Nanos drain_grace{};  ///< from notification to the last request at a draining replica
  Nanos max_time_without_endpoints{};
  double channel_entries_per_second = 0;
  double channel_max_queued_entries = 0;
  double message_overhead_entries = 0;      ///< what each message costs beyond its entries
  std::size_t max_messages_per_window = 0;  ///< to one proxy within `message_window`; 0: no limit
  Nanos message_window{};
  double initial_warm_up_capacity = 0;  ///< of a started replica, as a fraction of its weight
  Nanos warm_up_duration{};
  double overload_multiple = 0;  ///< times its capacity at which a replica fails
  Nanos overload_duration{};     ///< for so long
  /// A replica that leaves the list without draining first may still serve.
  bool only_draining_is_binding = false;
};

}  // namespace ospreypost
