// Tells reports apart by the spans that they cover, so that nothing is counted twice: late, repeated, out of
// order or far off. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "policy/controller.h"

namespace ospreypost::load_reports {

// Of a sender's wall clock; only ever compared with others of the same sender.
struct Span {
  Nanos start{}, end{};
};

enum class SpanVerdict {
  counts,
  repeated,   // some of it was counted before
  too_old,    // for what is known of the sender's clock
  malformed,  // ends before it starts, or covers more than may be
};

// The spans of one sender.
class ReportSpans {
 public:
  // `oldest`: how long before it arrives a span may have ended; also the longest that one may cover.
  explicit ReportSpans(Nanos oldest) : oldest_(oldest) {}
  // `subject` is what was counted over the span: one replica, one class. Spans that count are remembered.
  SpanVerdict take(Nanos received, const std::string& subject, Span span);
  // How much longer than the shortest way seen one that counts took to come.
  Nanos late(Nanos received, Span span) const {
    return behind_ ? std::max(Nanos{}, received - span.end - *behind_) : Nanos{};
  }

 private:
  bool fits_clock(Nanos received, Span span);

  const Nanos oldest_;
  // By how much the sender's clock is behind ours, with the shortest way seen; and reports in a row that
  // spoke of another clock.
  std::optional<Nanos> behind_;
  int strangers_ = 0;
  std::optional<Span> last_stranger_;
  // By subject, disjoint: start to end.
  std::map<std::string, std::map<Nanos, Nanos>> counted_;
};

}  // namespace ospreypost::load_reports
