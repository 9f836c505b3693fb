#include "load_reports/report_spans.h"

#include <algorithm>
#include <iterator>

namespace ospreypost::load_reports {
namespace {

// So many reports in a row that go on from one another on another clock mean that the sender's was set anew.
constexpr int kClockSet = 3;

}  // namespace

bool ReportSpans::fits_clock(Nanos received, Span span) {
  const Nanos behind = received - span.end;
  if (!behind_ || behind < *behind_) {
    // A clock that jumped ahead makes all that it said before look old; what it counted then is past anyway.
    behind_ = behind;
    strangers_ = 0;
    return true;
  }
  if (behind - *behind_ <= oldest_) {
    strangers_ = 0;
    return true;
  }
  const bool goes_on =
      last_stranger_ && span.start >= last_stranger_->start && span.end > last_stranger_->end;
  const bool repeats =
      last_stranger_ && span.start == last_stranger_->start && span.end == last_stranger_->end;
  if (!repeats) strangers_ = goes_on ? strangers_ + 1 : 1;
  last_stranger_ = span;
  if (strangers_ < kClockSet) return false;
  behind_ = behind;
  strangers_ = 0;
  counted_.clear();
  return true;
}

SpanVerdict ReportSpans::take(Nanos received, const std::string& subject, Span span) {
  if (span.end <= span.start || span.end - span.start > oldest_) return SpanVerdict::malformed;
  if (!fits_clock(received, span)) return SpanVerdict::too_old;
  auto& counted = counted_[subject];
  // What is older than may still come needs no remembering.
  const Nanos horizon = received - *behind_ - 2 * oldest_;
  while (!counted.empty() && counted.begin()->second < horizon) counted.erase(counted.begin());

  const auto after = counted.lower_bound(span.start);
  const bool meets_after = after != counted.end() && after->first < span.end;
  const bool meets_before = after != counted.begin() && std::prev(after)->second > span.start;
  if (meets_after || meets_before) return SpanVerdict::repeated;
  // Spans that go on from one another become one.
  auto [at, fresh] = counted.emplace(span.start, span.end);
  if (at != counted.begin() && std::prev(at)->second == span.start) {
    std::prev(at)->second = span.end;
    at = std::prev(counted.erase(at));
  }
  if (const auto next = std::next(at); next != counted.end() && next->first == at->second) {
    at->second = next->second;
    counted.erase(next);
  }
  return SpanVerdict::counts;
}

}  // namespace ospreypost::load_reports
