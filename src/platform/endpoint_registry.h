/// The replicas as discovery names them, and the ids that stand for them: given once, never again, and
/// forgotten together with the name once nothing uses them. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "discovery/discovery_watcher.h"
#include "net/socket.h"
#include "policy/controller.h"

namespace ospreypost::platform {

/// A replica as discovery last listed it.
struct RegisteredEndpoint {
  std::string name;
  net::Address address;  ///< the last one that it had, where it is gone
  EndpointPhase phase = EndpointPhase::gone;
};

/// Translates endpoint lists into updates for the controller. Not thread-safe.
class EndpointRegistry {
 public:
  /// `clock_offset`: from Unix time to the controller's clock. It stays the same for the life of the process,
  /// so that a start which is reported twice stays one start.
  EndpointRegistry(std::vector<std::string> zones, std::vector<std::string> hardware_kinds,
                   Nanos clock_offset)
      : zones_(std::move(zones)), hardware_kinds_(std::move(hardware_kinds)), clock_offset_(clock_offset) {}

  /// What a list changed.
  struct Changes {
    std::vector<EndpointUpdate> updates;
    std::vector<ReplicaId> no_longer_ready;  ///< that were ready before
    std::size_t rejected = 0;                ///< entries whose zone or hardware kind the settings don't have
    /// Whether a complete list must be passed on as the changes that it amounts to: an entry that cannot be
    /// read doesn't mean that its replica is gone.
    bool must_apply_as_changes = false;
  };
  /// Takes over a list, or changes of one.
  Changes apply(const discovery::EndpointListUpdate& list);

  /// Empty if the name is not known.
  std::optional<ReplicaId> find_id(std::string_view name) const;
  /// Null if the id was released or never given; valid until the next call that isn't `const`.
  const RegisteredEndpoint* find_endpoint(ReplicaId id) const;
  /// The replicas that are gone and not yet released.
  std::vector<ReplicaId> gone_replicas() const;
  /// Forgets an id and its name. A replica that comes back under the name gets another id.
  void release(ReplicaId id);
  /// The number of replicas that are not released.
  std::size_t size() const { return endpoints_.size(); }

 private:
  bool has_known_placement(const discovery::EndpointEntry& entry) const;
  ReplicaId id_for(const std::string& name);
  void apply_entry(const discovery::EndpointEntry& entry, Changes& changes);
  EndpointUpdate make_update(const discovery::EndpointEntry& entry, ReplicaId id) const;
  void remove_unlisted(const discovery::EndpointListUpdate& list, Changes& changes);

  const std::vector<std::string> zones_;
  const std::vector<std::string> hardware_kinds_;
  const Nanos clock_offset_;
  std::map<ReplicaId, RegisteredEndpoint> endpoints_;
  std::map<std::string, ReplicaId, std::less<>> ids_;
  std::uint32_t next_id_ = 0;
};

}  // namespace ospreypost::platform
