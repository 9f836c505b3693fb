#include "platform/endpoint_registry.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/discovery_watcher.h"
#include "policy/controller.h"

namespace ospreypost::platform {
namespace {

std::optional<std::uint16_t> index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::uint16_t>(found - names.begin());
}

}  // namespace

EndpointRegistry::Changes EndpointRegistry::apply(const discovery::EndpointListUpdate& list) {
  Changes changes;
  for (const auto& entry : list.entries) {
    const bool gone = entry.phase == EndpointPhase::gone;
    if (!gone && !has_known_placement(entry)) {
      ++changes.rejected;
      continue;
    }
    // An entry for an unregistered replica that is gone is skipped: neither the registry nor the controller
    // has state of that replica.
    if (gone && !ids_.contains(entry.name)) continue;
    apply_entry(entry, changes);
  }
  if (!list.complete) return changes;
  changes.must_apply_as_changes = changes.rejected + list.rejected > 0;
  remove_unlisted(list, changes);
  return changes;
}

bool EndpointRegistry::has_known_placement(const discovery::EndpointEntry& entry) const {
  return index_of(zones_, entry.zone) && index_of(hardware_kinds_, entry.kind);
}

ReplicaId EndpointRegistry::id_for(const std::string& name) {
  if (const auto known = ids_.find(name); known != ids_.end()) return known->second;
  const ReplicaId id{next_id_++};
  ids_.emplace(name, id);
  return id;
}

void EndpointRegistry::apply_entry(const discovery::EndpointEntry& entry, Changes& changes) {
  const auto id = id_for(entry.name);
  auto& endpoint = endpoints_[id];
  endpoint.name = entry.name;
  const bool was_ready = endpoint.phase == EndpointPhase::ready;
  if (was_ready && entry.phase != EndpointPhase::ready) changes.no_longer_ready.push_back(id);
  endpoint.phase = entry.phase;
  if (entry.phase != EndpointPhase::gone) endpoint.address = entry.address;
  changes.updates.push_back(make_update(entry, id));
}

EndpointUpdate EndpointRegistry::make_update(const discovery::EndpointEntry& entry, ReplicaId id) const {
  EndpointUpdate update;
  update.replica = id;
  update.phase = entry.phase;
  if (entry.phase == EndpointPhase::gone) return update;
  update.zone = ZoneId{*index_of(zones_, entry.zone)};
  update.kind = HardwareKindId{*index_of(hardware_kinds_, entry.kind)};
  update.cell = CellId{static_cast<std::uint16_t>(entry.cell)};
  update.weight = entry.weight;
  if (entry.started) update.started = *entry.started + clock_offset_;
  return update;
}

void EndpointRegistry::remove_unlisted(const discovery::EndpointListUpdate& list, Changes& changes) {
  std::set<std::string_view> listed(list.rejected_names.begin(), list.rejected_names.end());
  for (const auto& entry : list.entries) listed.insert(entry.name);
  for (auto& [id, endpoint] : endpoints_) {
    if (listed.contains(endpoint.name) || endpoint.phase == EndpointPhase::gone) continue;
    if (endpoint.phase == EndpointPhase::ready) changes.no_longer_ready.push_back(id);
    endpoint.phase = EndpointPhase::gone;
    if (!changes.must_apply_as_changes) continue;
    EndpointUpdate update;
    update.replica = id;
    update.phase = EndpointPhase::gone;
    changes.updates.push_back(update);
  }
}

std::optional<ReplicaId> EndpointRegistry::find_id(std::string_view name) const {
  const auto known = ids_.find(name);
  if (known == ids_.end()) return std::nullopt;
  return known->second;
}

const RegisteredEndpoint* EndpointRegistry::find_endpoint(ReplicaId id) const {
  const auto known = endpoints_.find(id);
  return known == endpoints_.end() ? nullptr : &known->second;
}

std::vector<ReplicaId> EndpointRegistry::gone_replicas() const {
  std::vector<ReplicaId> found;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.phase == EndpointPhase::gone) found.push_back(id);
  }
  return found;
}

void EndpointRegistry::release(ReplicaId id) {
  const auto known = endpoints_.find(id);
  if (known == endpoints_.end()) return;
  ids_.erase(known->second.name);
  endpoints_.erase(known);
}

}  // namespace ospreypost::platform
