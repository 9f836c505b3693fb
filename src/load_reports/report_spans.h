/// Detects reports that repeat time already counted, or that are too old, by the time spans that the reports
/// cover: no time may be counted twice, whether reports are late, repeated, out of order or have a wrong
/// clock. Does no I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "policy/controller.h"

namespace ospreypost::load_reports {

/// A time span by the sender's wall clock. Spans are only compared with other spans of the same sender.
struct Span {
  Nanos start{}, end{};
};

enum class SpanVerdict {
  accepted,
  repeated,   ///< part of the span was counted before
  too_old,    ///< the span ended too long ago, according to the sender's clock as known from earlier reports
  malformed,  ///< the span does not end after its start, or is too long
};

/// The spans that were counted for one sender. Not thread-safe.
class ReportSpans {
 public:
  /// `max_age` is both the maximum time from the end of a span to its arrival and the maximum span length.
  explicit ReportSpans(Nanos max_age) : max_age_(max_age) {}
  /// Checks a span, and remembers the span if it is accepted. `subject` names the replica or request class
  /// that the span was counted for; the spans of different subjects may overlap.
  SpanVerdict add(Nanos received, const std::string& subject, Span span);
  /// Returns the number of spans that are remembered, of all subjects.
  std::size_t remembered_spans() const;
  /// Returns by how much the delay of an accepted span exceeds the shortest delay seen from this sender.
  Nanos extra_delay(Nanos received, Span span) const {
    return min_lag_ ? std::max(Nanos{}, received - span.end - *min_lag_) : Nanos{};
  }

 private:
  static constexpr std::size_t kMinSubjectsUntilCleanup = 256;

  static void merge_oldest(std::map<Nanos, Nanos>& counted);
  void forget_subjects(Nanos horizon);
  // Returns whether the span fits the sender's known clock. Adopts another clock after enough reports on it.
  bool matches_clock(Nanos received, Span span);

  const Nanos max_age_;
  // Smallest difference seen between the arrival of a span by the clock of this host and its end by the clock
  // of the sender; empty before the first span.
  std::optional<Nanos> min_lag_;
  // Number of consecutive reports that do not fit the sender's known clock.
  int consecutive_outliers_ = 0;
  // Span of the last report that did not fit the sender's known clock.
  std::optional<Span> last_outlier_;
  // Counted spans by subject, as start and end; the spans of one subject do not overlap.
  std::map<std::string, std::map<Nanos, Nanos>> counted_;
  std::size_t subjects_until_cleanup_ = kMinSubjectsUntilCleanup;
};

}  // namespace ospreypost::load_reports
