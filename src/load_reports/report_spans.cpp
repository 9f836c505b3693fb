#include "load_reports/report_spans.h"

#include <algorithm>
#include <iterator>

namespace ospreypost::load_reports {
namespace {

// Number of consecutive reports on another clock, each continuing the one before, after which the sender's
// clock counts as reset.
constexpr int kOutliersUntilClockReset = 3;
/// Maximum number of separate spans that are remembered for a subject. A sender reports adjacent spans, which
/// are merged; only lost reports leave gaps.
constexpr std::size_t kMaxSpansPerSubject = 96;

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
  // Spans that ended before the horizon are removed, because no span that overlaps them can be accepted any
  // more.
  const Nanos horizon = received - *min_lag_ - 2 * max_age_;
  if (counted_.size() >= subjects_until_cleanup_) forget_subjects(horizon);
  auto& counted = counted_[subject];
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
  if (counted.size() > kMaxSpansPerSubject) merge_oldest(counted);
  return SpanVerdict::accepted;
}

/// Counts the gap between the two oldest spans, too, so that a sender of ever new short spans takes no more
/// memory.
void ReportSpans::merge_oldest(std::map<Nanos, Nanos>& counted) {
  const auto second = std::next(counted.begin());
  counted.begin()->second = second->second;
  counted.erase(second);
}

/// Removes the subjects without a span after the horizon, such as replicas that are gone.
void ReportSpans::forget_subjects(Nanos horizon) {
  std::erase_if(counted_, [horizon](const auto& subject) {
    const auto& spans = subject.second;
    return spans.empty() || spans.rbegin()->second < horizon;
  });
  subjects_until_cleanup_ = std::max(kMinSubjectsUntilCleanup, 2 * counted_.size());
}

std::size_t ReportSpans::remembered_spans() const {
  std::size_t spans = 0;
  for (const auto& [subject, counted] : counted_) spans += counted.size();
  return spans;
}

}  // namespace ospreypost::load_reports
