// The interface of the decision module: ids, settings, observations, the Host it acts through, and the
// Governor itself. Nothing here decides anything and nothing here knows a wire.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace ospreypost {

using Nanos = std::chrono::nanoseconds;

enum class ReplicaId : std::uint32_t {};
enum class ProxyId : std::uint16_t {};
enum class ZoneId : std::uint16_t {};
enum class HardwareKindId : std::uint16_t {};
enum class CellId : std::uint16_t {};
enum class ClassId : std::uint16_t {};
enum class PeerId : std::uint16_t {};
enum class TimerId : std::uint64_t {};
enum class AckRequestId : std::uint64_t {};
// With slices, a slice's number is the number of its table.
enum class TableId : std::uint16_t {};
inline constexpr TableId kAllTables{65535};

// The classes of an order, as the sum of 2^k over their positions; 0 names all.
using ClassMask = std::uint16_t;

enum class Idempotency { idempotent, deduplicated, at_most_once };
enum class AdmissionMode { share, rate, ignored };
enum class PickingPolicy { weighted, round, two };
enum class ReportingMode { none, in_load_reports, by_health_check };
enum class LoadMetric { inflight, queue, util, latency, rate, errors, other };
enum class RetryMode : std::uint8_t { none = 0, after_rejection_proof = 1, once = 2, twice = 3 };

struct ClassSettings {
  Idempotency effect = Idempotency::at_most_once;
  Nanos latency_objective{};
  Nanos request_deadline{};
  double priority_weight = 1;
  double late_priority_weight = 0;
  bool same_zone_only = false;
  std::vector<ZoneId> allowed_zones;
  std::vector<HardwareKindId> allowed_kinds;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::size_t zones = 1;
  ZoneId own_zone{};
  bool poll_endpoint_list = false;
  bool health_checks_allowed = false;
  ReportingMode reporting = ReportingMode::none;
  std::vector<LoadMetric> load_columns;
  AdmissionMode admission = AdmissionMode::ignored;
  PickingPolicy picking = PickingPolicy::weighted;
  std::size_t governors = 1;
  std::size_t proxies = 0;             // of all governors
  bool proxies_by_zone = false;        // a proxy joins a governor of its zone if there is one
  double min_replica_connections = 0;  // that the smallest replica accepts
  std::size_t slices = 0;
  bool slices_exclusive = false;
  Nanos report_interval{};
  Nanos message_delay{};
  Nanos poll_timeout{};
  Nanos drain_grace{};
  Nanos max_time_without_endpoints{};
  double channel_entries_per_second = 0;
  double channel_max_queued_entries = 0;
  double message_overhead_entries = 0;
  std::size_t max_messages_per_window = 0;  // to one proxy within messages_window; 0: no limit
  Nanos message_window{};
  double initial_warm_up_capacity = 0;
  Nanos warm_up_duration{};
  double overload_multiple = 0;
  Nanos overload_duration{};
  bool only_draining_is_binding = false;
};

enum class EndpointPhase { draining, ready, gone };
enum class EndpointListKind { changes, complete, cached };

struct EndpointUpdate {
  ReplicaId replica{};
  ZoneId zone{};
  HardwareKindId kind{};
  CellId cell{};
  EndpointPhase phase = EndpointPhase::ready;
  double weight = 1;
  std::optional<Nanos> started;  // absent: long ago
};

// What the joined proxies of one zone met at one replica over a span that ended some time ago.
struct ReplicaLoadReport {
  ZoneId zone{};
  ReplicaId replica{};
  std::uint32_t attempts = 0;
  std::uint32_t failed = 0;
  Nanos mean_latency{};  // of the handled ones; 0 if none
  Nanos span{};
  std::vector<float> load;  // in the order of Settings::load_columns; empty if none came
};

struct DemandReport {
  ClassId cls{};
  std::uint32_t operations = 0;
  std::uint32_t unanswered = 0;
  Nanos span{};
};

struct HealthCheckResult {
  ReplicaId replica{};
  bool answered = false;
  bool refused = false;
  Nanos took{};
  std::vector<float> load;
};

// Where the governor's orders go. Every call takes effect in the order made; calls made within one call
// on the governor travel together as one message for each proxy concerned.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void set_table_entry(TableId table, ReplicaId replica, double weight) = 0;  // weight 0 removes it
  virtual void clear_table(TableId table) = 0;
  virtual void bind(ProxyId proxy, TableId table, ClassMask classes) = 0;
  virtual void set_ejected(ReplicaId replica, bool out) = 0;
  virtual void set_admitted_fraction(TableId table, ClassMask classes, double level, RetryMode retry) = 0;
  virtual void request_acknowledgement(AckRequestId mark, bool reach_all) = 0;
  virtual void start_timer(Nanos from_now, TimerId timer) = 0;
  virtual void watch_endpoint_list(bool on) = 0;
  virtual void refresh_endpoint_list() = 0;
  virtual void request_health_check(ReplicaId replica) = 0;
  virtual void send_to_peer(std::optional<PeerId> peer, std::string_view message) = 0;  // no peer: every peer
  virtual void log(std::string_view line) = 0;
};

// One governor. Construct it when the instance starts, then call the method for each thing that happens;
// every call carries the time and acts on the Host before it returns. Destroy it when it is killed.
class Controller {
 public:
  Controller(const Settings& settings, std::uint64_t seed, Nanos now, ActionSink& host);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  void on_endpoint_list(Nanos now, EndpointListKind kind, const std::vector<EndpointUpdate>& entries);
  void on_endpoint_list_failed(Nanos now);
  void on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_operations_per_second, bool fresh);
  void on_proxy_left(Nanos now, ProxyId proxy);
  void on_replica_load_report(Nanos now, const ReplicaLoadReport& sum);
  void on_demand_report(Nanos now, ProxyId proxy, const DemandReport& demand);
  void on_acknowledged(Nanos now, ProxyId proxy, AckRequestId mark, Nanos took);
  void on_health_check_result(Nanos now, const HealthCheckResult& answer);
  void on_timer(Nanos now, TimerId timer);
  void on_peer_message(Nanos now, PeerId peer, std::string_view message);
  void on_slice_granted(Nanos now, TableId slice);
  void on_slice_revoked(Nanos now, TableId slice);
  void on_slice_entry_stored(Nanos now, TableId slice, ReplicaId replica, double weight);
  void on_slice_demand_report(Nanos now, TableId slice, const DemandReport& demand);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ospreypost
