/// The replicas as the endpoint list gives them: their ids, their phases, and the directory in which serving
/// threads look them up.
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

/// Stands for replicas whose name no endpoint list gave.
inline constexpr ReplicaId kUnknownReplica{~std::uint32_t{0}};

/// Turns names into ids, and publishes the directory. Not thread-safe: guarded by the lock of
/// `ControllerDriver`.
class EndpointDirectoryKeeper {
 public:
  /// Both must outlive it.
  EndpointDirectoryKeeper(const config::Config& config, PublishedState& published)
      : config_(config), published_(published) {}

  /// What the controller receives for a change of the endpoint list.
  struct AppliedChanges {
    std::vector<ReplicaId> added;  ///< ids that were given with this change, by ascending id
    std::vector<EndpointUpdate> updates;
  };
  /// Takes over a change of the list. Zones and hardware kinds must be known to the configuration.
  AppliedChanges apply(const discovery::EndpointList::Changes& changes);

  void set_ejected(ReplicaId replica, bool ejected);

  /// The replicas that no proxy may send to: those that are ejected, draining or gone.
  struct UnroutableReplicas {
    std::set<ReplicaId> ids;  ///< with `kUnknownReplica`
    std::vector<std::string> names;
  };
  /// Empty if no endpoint and no ejection changed since the last call.
  std::optional<UnroutableReplicas> take_unroutable_if_changed();

  /// By replica.
  const std::vector<EndpointPhase>& phases() const { return phases_; }
  /// Empty for an id that was never given.
  std::string_view name_of(ReplicaId replica) const;

 private:
  void update_directory(const discovery::EndpointList::Changes& changes);
  EndpointUpdate make_update(ReplicaId replica, const discovery::EndpointChange& change);

  const config::Config& config_;
  PublishedState& published_;
  discovery::NameTable<ReplicaId> replicas_;
  discovery::NameTable<CellId> cells_;
  std::vector<EndpointPhase> phases_;  // by replica
  std::set<ReplicaId> ejected_;
  bool unroutable_changed_ = false;
};

}  // namespace ospreypost::control_plane
