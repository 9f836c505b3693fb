#include "load_reports/report_spans.h"

#include <algorithm>
#include <iterator>

namespace ospreypost::load_reports {
namespace {

// Number of consecutive reports on another clock, each continuing the one before, after which the sender's
// clock counts as reset.
constexpr int kOutliersUntilClockReset = 3;

}  // namespace

bool ReportSpans::matches_clock(Nanos received, Span span) {
  const Nanos lag = received - span.end;
  if (!min_lag_ || lag < *min_lag_) {
    // If the sender's clock jumped ahead, late reports from before the jump are rejected as too old.
    // Their rejection is acceptable, because the time they cover is past.
    min_lag_ = lag;
    consecutive_outliers_ = 0;
    return true;
  }
  if (lag - *min_lag_ <= max_age_) {
    consecutive_outliers_ = 0;
    return true;
  }
  const bool continues_last =
      last_outlier_ && span.start >= last_outlier_->start && span.end > last_outlier_->end;
  const bool repeats_last =
      last_outlier_ && span.start == last_outlier_->start && span.end == last_outlier_->end;
  if (!repeats_last) consecutive_outliers_ = continues_last ? consecutive_outliers_ + 1 : 1;
  last_outlier_ = span;
  if (consecutive_outliers_ < kOutliersUntilClockReset) return false;
  min_lag_ = lag;
  consecutive_outliers_ = 0;
  counted_.clear();
  return true;
}

SpanVerdict ReportSpans::add(Nanos received, const std::string& subject, Span span) {
  if (span.end <= span.start || span.end - span.start > max_age_) return SpanVerdict::malformed;
  if (!matches_clock(received, span)) return SpanVerdict::too_old;
  auto& counted = counted_[subject];
  // Spans that ended before the horizon are removed, because no span that overlaps them can be accepted any
  // more.
  const Nanos horizon = received - *min_lag_ - 2 * max_age_;
  while (!counted.empty() && counted.begin()->second < horizon) counted.erase(counted.begin());

  const auto following = counted.lower_bound(span.start);
  const bool overlaps_next = following != counted.end() && following->first < span.end;
  const bool overlaps_previous = following != counted.begin() && std::prev(following)->second > span.start;
  if (overlaps_next || overlaps_previous) return SpanVerdict::repeated;
  // Adjacent spans are merged into one span.
  auto [merged, inserted] = counted.emplace(span.start, span.end);
  if (merged != counted.begin() && std::prev(merged)->second == span.start) {
    std::prev(merged)->second = span.end;
    merged = std::prev(counted.erase(merged));
  }
  if (const auto next = std::next(merged); next != counted.end() && next->first == merged->second) {
    merged->second = next->second;
    counted.erase(next);
  }
  return SpanVerdict::accepted;
}

}  // namespace ospreypost::load_reports
