/// Typed ids from the numbers that a record stores.
#pragma once

#include <cstdint>
#include <type_traits>

namespace ospreypost::replay {

/// Ids of 16 bits are stored as numbers of 32; what does not fit is cut off.
template <typename Id>
constexpr Id decode_id(std::uint32_t number) {
  return Id{static_cast<std::underlying_type_t<Id>>(number)};
}

}  // namespace ospreypost::replay
