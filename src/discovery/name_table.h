/// Maps external names to the numeric ids that the program uses internally.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace ospreypost::discovery {

/// Assigns ids to names: 0 to the first name, 1 to the second, and so on. Ids are never reused.
/// `Id` is an enumeration type. Not thread-safe.
template <typename Id>
class NameTable {
 public:
  /// Returns the id of a name, and assigns a new id if the name has none.
  Id id_of(std::string_view name) {
    if (const auto known = find(name)) return *known;
    const Id id{static_cast<std::underlying_type_t<Id>>(names_.size())};
    names_.emplace_back(name);
    ids_.emplace(name, id);
    return id;
  }
  /// Returns the id of a name, or an empty result if the name has no id.
  std::optional<Id> find(std::string_view name) const {
    const auto known = ids_.find(name);
    if (known == ids_.end()) return std::nullopt;
    return known->second;
  }
  /// Returns the name of an id. Throws `std::out_of_range` if the table has not assigned the id.
  const std::string& name(Id id) const { return names_.at(static_cast<std::size_t>(id)); }
  /// Returns the number of ids assigned so far.
  std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;  // Indexed by id.
  std::map<std::string, Id, std::less<>> ids_;
};

}  // namespace ospreypost::discovery
