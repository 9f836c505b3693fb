/// Tracks which replicas are listed, which removals are doubted, and when removed replicas are forgotten.
#pragma once

#include <optional>
#include <vector>

#include "policy/action_sink.h"
#include "policy/observations.h"
#include "policy/replica.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace ospreypost::policy {

class EndpointMembership {
 public:
  explicit EndpointMembership(const Settings& settings);

  ReplicaMap& replicas() { return replicas_; }
  const ReplicaMap& replicas() const { return replicas_; }

  /// The changes that one entry of an endpoint list made.
  struct Applied {
    Replica& replica;
    bool needs_block = false;  ///< the replica is new or moved to another zone and needs a block
    bool stopped_serving = false;
    bool must_recover = false;  ///< the replica started or returned, and has to prove itself
  };
  /// Applies an entry whose phase is not `gone`.
  /// `known_before_start` is true for entries of the list that was cached before this instance started: their
  /// replicas are trusted at once unless they are still warming up.
  Applied apply(const EndpointUpdate& update, bool known_before_start, const SlowStart& slow_start,
                Nanos now);

  /// Returns the replicas that a list removes. Entries of the list that are not gone must be applied before.
  std::vector<ReplicaId> removed_by(EndpointListKind kind, const std::vector<EndpointUpdate>& entries) const;
  /// Removes replicas and returns true if any of them is gone now.
  /// Guards against a wrong endpoint list: where a removal is not binding, a list that removes too many
  /// replicas at once is doubted, and each of the removed replicas keeps serving until attempts at it fail.
  bool remove(const std::vector<ReplicaId>& removed, ActionSink& actions);

  /// Records which replicas are listed now. Returns the ejected replicas that have been gone for longer than
  /// the retention time and can be forgotten. A forgotten replica counts as new if it returns.
  std::vector<ReplicaId> collect_expired(Nanos now);
  void forget(ReplicaId id) { replicas_.erase(id); }

  std::size_t zone_of(ZoneId zone) const;

 private:
  const std::size_t zones_;
  const bool removal_is_binding_;
  ReplicaMap replicas_;
};

}  // namespace ospreypost::policy
