#include "replay/scenario_xml.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace ospreypost::replay {
namespace {

constexpr std::size_t kMaxFaults = 190;
constexpr std::size_t kMaxDecimalBytes = 40;

std::string text_of(const FaultElement& fault) {
  return "    <" + fault.name + attribute("at", duration_text(fault.begin)) +
         attribute("for", duration_text(fault.duration)) + fault.attributes + "/>\n";
}

}  // namespace

std::string decimal_text(double value) {
  std::array<char, kMaxDecimalBytes> text{};
  std::snprintf(text.data(), text.size(), "%.3f", value);
  return text.data();
}

std::string duration_text(Nanos duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  return decimal_text(std::max(0.0, seconds)) + " s";
}

std::string comment_text(std::string text) {
  // XML does not allow two consecutive dashes in a comment.
  auto dashes = text.find("--");
  while (dashes != std::string::npos) {
    text.replace(dashes, 2, "- -");
    dashes = text.find("--", dashes);
  }
  return text;
}

std::string attribute(const std::string& name, const std::string& value) {
  return " " + name + "=\"" + value + "\"";
}

void FaultElements::add(Nanos from, Nanos to, const std::string& name, const std::string& attributes) {
  const Nanos begin = std::max(from - begin_, Nanos{});
  const Nanos end = std::min(to, end_) - begin_;
  if (end > begin) elements_.push_back({begin, end - begin, name, attributes});
}

std::string FaultElements::text() const {
  std::vector<FaultElement> faults = elements_;
  std::stable_sort(faults.begin(), faults.end(), [](const FaultElement& left, const FaultElement& right) {
    return left.begin < right.begin;
  });
  std::string text;
  if (faults.size() > kMaxFaults) {
    const std::size_t left_out = faults.size() - kMaxFaults;
    text += "  <!-- " + std::to_string(left_out) + " later troubles are left out. -->\n";
    faults.resize(kMaxFaults);
  }
  if (faults.empty()) return text;
  text += "  <troubles>\n";
  for (const auto& fault : faults) text += text_of(fault);
  return text + "  </troubles>\n";
}

}  // namespace ospreypost::replay
