/// Tracks the replicas that the endpoint list contains: their ids, their phases, and the directory in which
/// serving threads look replicas up.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "control_plane/published_state.h"
#include "discovery/endpoint_list.h"
#include "discovery/name_table.h"
#include "policy/observations.h"
#include "policy/types.h"

namespace ospreypost::control_plane {

/// Placeholder id for replicas whose name no endpoint list has contained.
inline constexpr ReplicaId kUnknownReplica{~std::uint32_t{0}};

/// Assigns ids to endpoint names and publishes the endpoint directory.
/// Not thread-safe: guarded by the lock of `ControllerDriver`.
class EndpointDirectoryKeeper {
 public:
  /// `config` and `published` must outlive this object.
  EndpointDirectoryKeeper(const config::Config& config, PublishedState& published)
      : config_(config), published_(published) {}

  /// The data that the controller is notified of after a change of the endpoint list.
  struct AppliedChanges {
    std::vector<ReplicaId> added;  ///< replicas that were assigned an id by this change, in ascending order
    std::vector<EndpointUpdate> updates;
  };
  /// Applies a change of the endpoint list to the ids, the phases and the directory.
  /// The configuration must list every zone and hardware kind that `changes` contains.
  AppliedChanges apply(const discovery::EndpointList::Changes& changes);

  void set_ejected(ReplicaId replica, bool ejected);

  /// The replicas that no proxy may send requests to because they are ejected, draining or gone.
  struct UnroutableReplicas {
    std::set<ReplicaId> ids;  ///< always includes `kUnknownReplica`
    std::vector<std::string> names;
  };
  /// Returns the unroutable replicas; empty if no endpoint and no ejection changed since the last call.
  std::optional<UnroutableReplicas> take_unroutable_if_changed();

  /// Returns the phase of each replica, indexed by replica id.
  const std::vector<EndpointPhase>& phases() const { return phases_; }
  /// Returns the name of a replica; empty for an id that was never assigned.
  std::string_view name_of(ReplicaId replica) const;

 private:
  void update_directory(const discovery::EndpointList::Changes& changes);
  EndpointUpdate make_update(ReplicaId replica, const discovery::EndpointChange& change);

  const config::Config& config_;
  PublishedState& published_;
  discovery::NameTable<ReplicaId> replicas_;
  discovery::NameTable<CellId> cells_;
  std::vector<EndpointPhase> phases_;  // indexed by replica id
  std::set<ReplicaId> ejected_;
  bool unroutable_changed_ = false;
};

}  // namespace ospreypost::control_plane
