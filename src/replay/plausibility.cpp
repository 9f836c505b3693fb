#include "replay/plausibility.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "policy/types.h"
#include "record.pb.h"

namespace ospreypost::replay {
namespace {

using kept::Entry;

constexpr std::int64_t kMaxTimeNanos = std::int64_t{1} << 61;
constexpr std::int64_t kMaxSpanNanos = Nanos(std::chrono::hours(1)).count();
constexpr std::uint32_t kMaxCount = 1'000'000;

bool is_time(std::int64_t nanos) { return nanos > -kMaxTimeNanos && nanos < kMaxTimeNanos; }
bool is_span(std::int64_t nanos) { return nanos >= 0 && nanos <= kMaxSpanNanos; }

bool is_plausible_update(const kept::ListEntry& update) {
  return update.phase() <= static_cast<std::uint32_t>(EndpointPhase::gone) && is_time(update.started()) &&
         std::isfinite(update.weight());
}

bool is_plausible_list(const kept::ListReceived& list) {
  return list.kind() <= static_cast<std::uint32_t>(EndpointListKind::cached) &&
         std::all_of(list.entries().begin(), list.entries().end(), is_plausible_update);
}

bool is_plausible_load_report(const kept::ReplicaSummed& report) {
  const bool has_plausible_spans =
      is_span(report.span()) && is_span(report.late()) && is_span(report.mean_time());
  const bool has_plausible_counts = report.failed() <= report.tries() && report.tries() <= kMaxCount;
  return has_plausible_spans && has_plausible_counts &&
         std::all_of(report.load().begin(), report.load().end(),
                     [](float load) { return std::isfinite(load); });
}

bool is_plausible_demand_report(const kept::DemandSummed& report) {
  return is_span(report.span()) && is_span(report.late()) && report.operations() <= kMaxCount &&
         report.unanswered() <= kMaxCount;
}

}  // namespace

bool is_plausible(const Entry& entry) {
  if (!is_time(entry.at())) return false;
  switch (entry.call_case()) {
    case Entry::kBegin:
      return is_time(entry.begin().wall());
    case Entry::kListReceived:
      return is_plausible_list(entry.list_received());
    case Entry::kProxyJoined:
      return std::isfinite(entry.proxy_joined().usual_rate());
    case Entry::kReplicaSummed:
      return is_plausible_load_report(entry.replica_summed());
    case Entry::kDemandSummed:
      return is_plausible_demand_report(entry.demand_summed());
    case Entry::kOrdersApplied:
      return is_span(entry.orders_applied().took());
    default:
      return true;
  }
}

}  // namespace ospreypost::replay
