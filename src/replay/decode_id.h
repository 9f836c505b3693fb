/// Converts the numbers that a record stores to typed ids.
#pragma once

#include <cstdint>
#include <type_traits>

namespace ospreypost::replay {

/// Records store ids of 16 bits as numbers of 32 bits; higher bits that do not fit the id type are discarded.
template <typename Id>
constexpr Id decode_id(std::uint32_t number) {
  return Id{static_cast<std::underlying_type_t<Id>>(number)};
}

}  // namespace ospreypost::replay
