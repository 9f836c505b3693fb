/// Formats the parts of a scenario file.
#pragma once

#include <string>
#include <vector>

#include "policy/types.h"

namespace ospreypost::replay {

/// Returns the value with three decimals.
std::string decimal_text(double value);
/// Returns the duration in seconds, such as "1.500 s"; negative durations count as 0.
std::string duration_text(Nanos duration);
/// Returns the text in a form that is valid inside an XML comment.
std::string comment_text(std::string text);
/// Returns an XML attribute with a leading space, such as ` name="value"`. The value is not escaped.
std::string attribute(const std::string& name, const std::string& value);

/// The XML element of one fault of a scenario.
struct FaultElement {
  Nanos begin{};  ///< time since the beginning of the scenario
  Nanos duration{};
  std::string name;
  std::string attributes;  ///< XML attributes other than time and duration
};

/// The faults of a scenario that covers a span of a record's time.
class FaultElements {
 public:
  FaultElements(Nanos begin, Nanos end) : begin_(begin), end_(end) {}

  /// Adds the part of a fault that is within the scenario, if any. `from` and `to` are times of the record.
  void add(Nanos from, Nanos to, const std::string& name, const std::string& attributes);

  /// Returns the XML element with all faults, sorted by time; empty if there are no faults. Faults beyond the
  /// maximum number in a scenario are left out, and their number is given in an XML comment.
  std::string text() const;

 private:
  const Nanos begin_;
  const Nanos end_;
  std::vector<FaultElement> elements_;
};

}  // namespace ospreypost::replay
