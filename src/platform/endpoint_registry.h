/// Maps the replica names that discovery uses to replica ids. An id is never reused; the id and its name are
/// removed once no routing table uses the replica. No I/O.
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

/// State of a replica according to the endpoint lists that were applied.
struct RegisteredEndpoint {
  std::string name;
  net::Address address;  ///< last listed address; kept while the replica is gone
  EndpointPhase phase = EndpointPhase::gone;
};

/// Translates endpoint lists into updates for the controller. Not thread-safe.
class EndpointRegistry {
 public:
  /// `clock_offset`: the controller's clock minus Unix time. The offset is constant for the life of the
  /// process, so that a replica start that is listed twice is converted to the same time.
  EndpointRegistry(std::vector<std::string> zones, std::vector<std::string> hardware_kinds,
                   Nanos clock_offset)
      : zones_(std::move(zones)), hardware_kinds_(std::move(hardware_kinds)), clock_offset_(clock_offset) {}

  /// The changes that a list made to the registry.
  struct Changes {
    std::vector<EndpointUpdate> updates;
    std::vector<ReplicaId> no_longer_ready;  ///< replicas that were ready before this list
    /// Number of entries with a zone or hardware kind that the settings don't contain.
    std::size_t rejected = 0;
    /// True if the controller must receive a complete list as changes, because the list has entries that were
    /// rejected. A complete list without these entries would mark their replicas as gone.
    bool must_apply_as_changes = false;
  };
  /// Applies a complete endpoint list or an update with changed entries only.
  Changes apply(const discovery::EndpointListUpdate& list);

  /// Returns the id of a replica; empty if the registry has no replica of that name.
  std::optional<ReplicaId> find_id(std::string_view name) const;
  /// Returns null if the id was released or never assigned. The pointer is valid until the next call of a
  /// non-const method.
  const RegisteredEndpoint* find_endpoint(ReplicaId id) const;
  /// Returns the replicas that are gone and not yet released.
  std::vector<ReplicaId> gone_replicas() const;
  /// Removes an id and its name. A replica that is listed again under the same name gets a new id.
  void release(ReplicaId id);
  /// Returns the number of replicas that are not released, including those that are gone.
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
