/// Names from outside and the ids that stand for them inside the program.
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

/// Gives ids, which count from 0 in the order in which names came, and are never reused. `Id` is an
/// enumeration. Not thread-safe.
template <typename Id>
class NameTable {
 public:
  /// The id of a name, which is given one if it has none yet.
  Id id_of(std::string_view name) {
    if (const auto known = find(name)) return *known;
    const Id id{static_cast<std::underlying_type_t<Id>>(names_.size())};
    names_.emplace_back(name);
    ids_.emplace(name, id);
    return id;
  }
  /// Empty if the name has no id.
  std::optional<Id> find(std::string_view name) const {
    const auto known = ids_.find(name);
    if (known == ids_.end()) return std::nullopt;
    return known->second;
  }
  /// Throws `std::out_of_range` for an id that was not given here.
  const std::string& name(Id id) const { return names_.at(static_cast<std::size_t>(id)); }
  /// The number of ids given so far.
  std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;  // by id
  std::map<std::string, Id, std::less<>> ids_;
};

}  // namespace ospreypost::discovery
