/// The parts of a scenario's file.
#pragma once

#include <string>
#include <vector>

#include "policy/types.h"

namespace ospreypost::replay {

/// With three decimals.
std::string decimal_text(double value);
/// In seconds, such as "1.500 s"; negative durations count as 0.
std::string duration_text(Nanos duration);
/// The text so that it can stand in a comment.
std::string comment_text(std::string text);
/// Such as ` name="value"`, with the space before it. The value must need no escapes.
std::string attribute(const std::string& name, const std::string& value);

/// One fault of a scenario.
struct FaultElement {
  Nanos at{};  ///< since the scenario's beginning
  Nanos duration{};
  std::string name;
  std::string attributes;  ///< beyond its time and duration
};

/// Faults of a scenario that begins and ends at these times of a record.
class FaultElements {
 public:
  FaultElements(Nanos begin, Nanos end) : begin_(begin), end_(end) {}

  /// A fault between two times of the record, as far as it lies in the scenario; else none.
  void add(Nanos from, Nanos to, const std::string& name, const std::string& attributes);

  /// All faults by time, as the element that holds them; empty text if there are none. Faults that are more
  /// than a scenario may have are left out, and counted in a comment.
  std::string text() const;

 private:
  const Nanos begin_;
  const Nanos end_;
  std::vector<FaultElement> elements_;
};

}  // namespace ospreypost::replay
