/// The routing tables that proxies should have, as planned by `LocalityPlanner` and limited by
/// `WarmUpLimiter`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "policy/types.h"

namespace ospreypost::policy {

/// The entries of one routing table: the weight of each replica that proxies may pick.
using TableEntries = std::map<ReplicaId, double>;

/// The routing tables of all proxies: one table for each subset and routing group.
class TableSet {
 public:
  TableSet(std::size_t subsets, std::size_t groups)
      : subsets_(subsets),
        groups_(groups),
        tables_(subsets * groups),
        admitted_fractions_(subsets * groups, 1.0) {}

  std::size_t subsets() const { return subsets_; }
  std::size_t groups() const { return groups_; }
  TableEntries& at(std::size_t subset, std::size_t group) { return tables_[index(subset, group)]; }
  const TableEntries& at(std::size_t subset, std::size_t group) const {
    return tables_[index(subset, group)];
  }
  /// Returns the fraction of the table's requests that proxies admit, beside the fractions of all tables.
  double admitted_fraction(std::size_t subset, std::size_t group) const {
    return admitted_fractions_[index(subset, group)];
  }
  void set_admitted_fraction(std::size_t subset, std::size_t group, double fraction) {
    admitted_fractions_[index(subset, group)] = fraction;
  }
  TableId id(std::size_t subset, std::size_t group) const {
    return TableId{static_cast<std::uint16_t>(index(subset, group))};
  }

 private:
  std::size_t index(std::size_t subset, std::size_t group) const { return subset * groups_ + group; }

  std::size_t subsets_;
  std::size_t groups_;
  std::vector<TableEntries> tables_;
  std::vector<double> admitted_fractions_;
};

}  // namespace ospreypost::policy
