#include "routing_state/lease_table.h"

#include <algorithm>

namespace ospreypost::routing_state {

LeaseTable::Ownership LeaseTable::observe(ProxyId proxy, const RemoteState& met) {
  auto [known, first] = epochs_.try_emplace(proxy, start_);
  auto& epoch = known->second;
  if (first) {
    if (met.has_table) epoch = std::max(epoch, met.epoch + 1);
    return Ownership::claimed;
  }
  if (!met.has_table || met.epoch < epoch) return Ownership::ours;
  if (met.owner == owner_ && met.epoch == epoch) return Ownership::ours;
  if (!met.lease_expired) return Ownership::theirs;
  epoch = met.epoch + 1;
  return Ownership::claimed;
}

std::uint64_t LeaseTable::epoch(ProxyId proxy) const {
  const auto known = epochs_.find(proxy);
  return known == epochs_.end() ? 0 : known->second;
}

}  // namespace ospreypost::routing_state
