#include "control_plane/endpoint_directory_keeper.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "delivery/endpoint_directory.h"
#include "discovery/endpoint_list.h"
#include "policy/observations.h"
#include "policy/types.h"

namespace ospreypost::control_plane {
namespace {

std::uint16_t index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::uint16_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

EndpointDirectoryKeeper::AppliedChanges EndpointDirectoryKeeper::apply(
    const discovery::EndpointList::Changes& changes) {
  const auto known_before = replicas_.size();
  update_directory(changes);
  AppliedChanges applied;
  for (const auto& change : changes.changes) {
    const auto id = replicas_.id_of(change.name);
    if (static_cast<std::size_t>(id) >= known_before) applied.added.push_back(id);
    applied.updates.push_back(make_update(id, change));
  }
  return applied;
}

void EndpointDirectoryKeeper::update_directory(const discovery::EndpointList::Changes& changes) {
  auto directory = std::make_shared<delivery::EndpointDirectory>(*published_.directory());
  for (const auto& change : changes.changes) {
    const auto id = replicas_.id_of(change.name);
    const auto index = static_cast<std::size_t>(id);
    if (directory->endpoints.size() <= index) {
      directory->endpoints.resize(index + 1);
      phases_.resize(index + 1, EndpointPhase::gone);
    }
    directory->ids_by_name[change.name] = id;
    auto& registered = directory->endpoints[index];
    registered.name = change.name;
    registered.removed = change.phase == EndpointPhase::gone;
    if (change.endpoint != nullptr) {
      registered.address = change.endpoint->address;
      registered.zone = change.endpoint->zone;
    }
    phases_[index] = change.phase;
  }
  unroutable_changed_ = true;
  published_.set_directory(std::move(directory));
}

EndpointUpdate EndpointDirectoryKeeper::make_update(ReplicaId replica,
                                                    const discovery::EndpointChange& change) {
  EndpointUpdate update;
  update.replica = replica;
  update.phase = change.phase;
  if (change.endpoint == nullptr) return update;
  update.zone = ZoneId{index_of(config_.zones, change.endpoint->zone)};
  update.kind = HardwareKindId{index_of(config_.kinds, change.endpoint->kind)};
  update.cell = cells_.id_of(change.endpoint->cell);
  update.weight = change.endpoint->weight;
  update.started = change.started;
  return update;
}

void EndpointDirectoryKeeper::set_ejected(ReplicaId replica, bool ejected) {
  if (ejected) {
    ejected_.insert(replica);
  } else {
    ejected_.erase(replica);
  }
  unroutable_changed_ = true;
}

std::optional<EndpointDirectoryKeeper::UnroutableReplicas>
EndpointDirectoryKeeper::take_unroutable_if_changed() {
  if (!std::exchange(unroutable_changed_, false)) return std::nullopt;
  UnroutableReplicas unroutable;
  unroutable.ids.insert(kUnknownReplica);
  for (std::size_t n = 0; n < phases_.size(); ++n) {
    const ReplicaId id{static_cast<std::uint32_t>(n)};
    if (phases_[n] == EndpointPhase::ready && !ejected_.contains(id)) continue;
    unroutable.ids.insert(id);
    unroutable.names.push_back(replicas_.name(id));
  }
  return unroutable;
}

std::string_view EndpointDirectoryKeeper::name_of(ReplicaId replica) const {
  if (static_cast<std::size_t>(replica) >= replicas_.size()) return {};
  return replicas_.name(replica);
}

}  // namespace ospreypost::control_plane
