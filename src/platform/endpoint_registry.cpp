#include "platform/endpoint_registry.h"

#include <algorithm>
#include <set>

namespace ospreypost::platform {
namespace {

std::optional<std::uint16_t> position(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::uint16_t>(found - names.begin());
}

}  // namespace

EndpointUpdate EndpointRegistry::entry_of(const discovery::EndpointEntry& member, Changes& taken) {
  const auto known = ids_.find(member.name);
  const ReplicaId id = known != ids_.end() ? known->second : ReplicaId{next_++};
  if (known == ids_.end()) ids_.emplace(member.name, id);
  auto& place = places_[id];
  place.name = member.name;
  if (member.phase != EndpointPhase::ready && place.phase == EndpointPhase::ready)
    taken.no_longer_ready.push_back(id);
  place.phase = member.phase;
  EndpointUpdate entry;
  entry.replica = id;
  entry.phase = member.phase;
  if (member.phase == EndpointPhase::gone) return entry;
  place.address = member.address;
  entry.zone = ZoneId{*position(zones_, member.zone)};
  entry.kind = HardwareKindId{*position(kinds_, member.kind)};
  entry.cell = CellId{static_cast<std::uint16_t>(member.cell)};
  entry.weight = member.weight;
  if (member.started) entry.started = *member.started + offset_;
  return entry;
}

EndpointRegistry::Changes EndpointRegistry::apply(const discovery::EndpointListUpdate& roster) {
  Changes taken;
  std::set<std::string_view> named(roster.unreadable.begin(), roster.unreadable.end());
  for (const auto& member : roster.members) {
    named.insert(member.name);
    const bool gone = member.phase == EndpointPhase::gone;
    // Nobody needs to hear that a stranger is gone.
    if (gone && !ids_.contains(member.name)) continue;
    if (!gone && (!position(zones_, member.zone) || !position(kinds_, member.kind))) {
      ++taken.rejected;
      continue;
    }
    taken.updates.push_back(entry_of(member, taken));
  }
  if (!roster.complete) return taken;
  taken.must_apply_as_changes = taken.rejected + roster.refused > 0;
  for (auto& [id, place] : places_) {
    if (named.contains(place.name) || place.phase == EndpointPhase::gone) continue;
    if (place.phase == EndpointPhase::ready) taken.no_longer_ready.push_back(id);
    place.phase = EndpointPhase::gone;
    if (taken.must_apply_as_changes)
      taken.updates.push_back({id, {}, {}, {}, EndpointPhase::gone, 1, std::nullopt});
  }
  return taken;
}

std::optional<ReplicaId> EndpointRegistry::find_id(std::string_view name) const {
  const auto known = ids_.find(name);
  if (known == ids_.end()) return std::nullopt;
  return known->second;
}

const RegisteredEndpoint* EndpointRegistry::find_endpoint(ReplicaId id) const {
  const auto known = places_.find(id);
  return known == places_.end() ? nullptr : &known->second;
}

std::vector<ReplicaId> EndpointRegistry::gone_replicas() const {
  std::vector<ReplicaId> found;
  for (const auto& [id, place] : places_) {
    if (place.phase == EndpointPhase::gone) found.push_back(id);
  }
  return found;
}

void EndpointRegistry::release(ReplicaId id) {
  const auto known = places_.find(id);
  if (known == places_.end()) return;
  ids_.erase(known->second.name);
  places_.erase(known);
}

}  // namespace ospreypost::platform
