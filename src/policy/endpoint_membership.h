/// Which replicas are listed, which of them are doubted, and which are forgotten.
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

  /// What an entry of the list changed.
  struct Applied {
    Replica& replica;
    bool is_placed_anew = false;  ///< new, or in another zone: it needs a block
    bool stopped_serving = false;
    bool must_recover = false;  ///< it starts or returns, and has to prove itself
  };
  /// Takes an entry that is not gone. `known_before_start`: what is listed then is trusted, unless it started
  /// a moment ago.
  Applied apply(const EndpointUpdate& update, bool known_before_start, const SlowStart& slow_start,
                Nanos now);

  /// The replicas that a list removes; an entry that is not gone has been applied before.
  std::vector<ReplicaId> removed_by(EndpointListKind kind, const std::vector<EndpointUpdate>& entries) const;
  /// Guards against a wrong list: where a removal is not binding, one that removes too many at once is
  /// doubted, and what it removed serves on until its own attempts fail. True if any is gone.
  bool remove(const std::vector<ReplicaId>& removed, ActionSink& actions);

  /// Replicas that have been gone for so long that they count as new if they come back.
  std::vector<ReplicaId> take_stock(Nanos now);
  void forget(ReplicaId id) { replicas_.erase(id); }

  std::size_t zone_of(ZoneId zone) const;

 private:
  const std::size_t zones_;
  const bool removal_is_binding_;
  ReplicaMap replicas_;
};

}  // namespace ospreypost::policy
