/// Converts typed ids to the numbers that records store.
#pragma once

#include <type_traits>

namespace ospreypost::record {

template <typename Id>
constexpr std::underlying_type_t<Id> id_number(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace ospreypost::record
