// The replicas as discovery names them, and the numbers that stand for them: given once, never again, and let
// go with the name when nobody needs it. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "discovery/discovery_watcher.h"
#include "policy/controller.h"

namespace ospreypost::platform {

struct RegisteredEndpoint {
  std::string name;
  net::Address address;
  EndpointPhase phase = EndpointPhase::gone;
};

class EndpointRegistry {
 public:
  // `offset`: from Unix time to the module's clock, the same for the life of the process, so that a start
  // that is told twice is one start.
  EndpointRegistry(std::vector<std::string> zones, std::vector<std::string> kinds, Nanos offset)
      : zones_(std::move(zones)), kinds_(std::move(kinds)), offset_(offset) {}

  struct Changes {
    std::vector<EndpointUpdate> updates;
    std::vector<ReplicaId> no_longer_ready;  // known ones that are now neither ready nor were out before
    std::size_t rejected = 0;                // entries of zones or kinds that the settings don't have
    // Whether a whole list is told as the changes that it comes to: an entry that cannot be read says nothing
    // of its replica, not that it is gone.
    bool must_apply_as_changes = false;
  };
  Changes apply(const discovery::EndpointListUpdate& roster);

  std::optional<ReplicaId> find_id(std::string_view name) const;
  // Null if it was let go or never given.
  const RegisteredEndpoint* find_endpoint(ReplicaId id) const;
  // Those that are gone.
  std::vector<ReplicaId> gone_replicas() const;
  void release(ReplicaId id);
  std::size_t size() const { return places_.size(); }

 private:
  EndpointUpdate entry_of(const discovery::EndpointEntry& member, Changes& taken);

  const std::vector<std::string> zones_, kinds_;
  const Nanos offset_;
  std::map<ReplicaId, RegisteredEndpoint> places_;
  std::map<std::string, ReplicaId, std::less<>> ids_;
  std::uint32_t next_ = 0;
};

}  // namespace ospreypost::platform
