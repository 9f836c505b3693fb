#include "replay/log_translation.h"

#include <array>
#include <regex>

namespace ospreypost::replay {
namespace {

struct Translation {
  std::regex earlier;
  const char* current;
};

const std::array<Translation, 6>& translations() {
  // Log texts of builds up to December 2026.
  static const std::array<Translation, 6> all{{
      {std::regex(R"(trip replica (\d+) for (\d+) ms)"), "breaker_opened replica=$1 cooldown_ms=$2"},
      {std::regex(R"(half-open replica (\d+))"), "breaker_half_opened replica=$1"},
      {std::regex(R"(close replica (\d+))"), "breaker_closed replica=$1"},
      {std::regex(R"(hold cold in zone (\d+))"), "warm_up_held zone=$1"},
      {std::regex(R"(release cold in zone (\d+))"), "warm_up_released zone=$1"},
      {std::regex(R"(doubt the list: (\d+) dropped)"), "endpoint_list_doubted removed=$1"},
  }};
  return all;
}

}  // namespace

std::string current_log_text(const std::string& recorded) {
  for (const auto& [earlier, current] : translations()) {
    std::smatch match;
    if (std::regex_match(recorded, match, earlier)) return match.format(current);
  }
  return recorded;
}

}  // namespace ospreypost::replay
