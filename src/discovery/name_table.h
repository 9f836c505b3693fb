// Names of the world and the numbers that stand for them inside: the one place where one becomes the other.
#pragma once

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreypost::discovery {

// Numbers count from 0 in the order in which names came, and are never given twice.
template <typename Id>
class NameTable {
 public:
  Id id_of(std::string_view name) {
    const auto known = ids_.find(name);
    if (known != ids_.end()) return known->second;
    const Id id{static_cast<std::underlying_type_t<Id>>(names_.size())};
    names_.emplace_back(name);
    ids_.emplace(name, id);
    return id;
  }
  std::optional<Id> find(std::string_view name) const {
    const auto known = ids_.find(name);
    if (known == ids_.end()) return std::nullopt;
    return known->second;
  }
  // Throws std::out_of_range for an id that was not given out here.
  const std::string& name(Id id) const { return names_.at(static_cast<std::size_t>(id)); }
  std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  std::map<std::string, Id, std::less<>> ids_;
};

}  // namespace ospreypost::discovery
