#include "routing_state/lease_table.h"

#include <algorithm>

namespace ospreypost::routing_state {

LeaseTable::Ownership LeaseTable::observe(ProxyId proxy, const RemoteState& remote) {
  const auto [entry, is_first] = epochs_.try_emplace(proxy, first_epoch_);
  std::uint64_t& epoch = entry->second;
  if (is_first) {
    if (remote.has_table) epoch = std::max(epoch, remote.epoch + 1);
    return Ownership::claimed;
  }
  if (!remote.has_table || remote.epoch < epoch) return Ownership::ours;
  if (remote.owner == owner_ && remote.epoch == epoch) return Ownership::ours;
  if (!remote.lease_expired) return Ownership::theirs;
  epoch = remote.epoch + 1;
  return Ownership::claimed;
}

std::uint64_t LeaseTable::epoch(ProxyId proxy) const {
  const auto known = epochs_.find(proxy);
  return known == epochs_.end() ? 0 : known->second;
}

}  // namespace ospreypost::routing_state
