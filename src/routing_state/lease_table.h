/// Which proxies this process may push tables to, and by which epoch. Free of I/O.
///
/// Whoever stores a proxy's tables rejects a table with a lower epoch than the one it holds, or with the same
/// epoch from another process. So of two processes that push to a proxy one wins, in whatever order their
/// messages arrive; the other learns it with its next push or liveness check, and gives the proxy up.
///
/// A process claims a proxy when it first observes it, above the epoch found there: the process that was
/// started last is the one that the operators mean, even if the wall clock went back between two starts.
/// After that it claims a proxy again only if the lease of the table found there has expired.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

/// The table that a proxy holds, as its receiver reports it.
struct RemoteState {
  bool has_table = false;  ///< the other fields say nothing without one
  std::uint64_t epoch = 0;
  SnapshotVersion version{};
  std::string owner;           ///< the process that pushed it
  bool lease_expired = false;  ///< the owner has sent nothing within the lease
  /// After a rollback by hand: the names of the replicas that the proxy uses in place of the newest table's.
  std::vector<std::string> rolled_back_to;
};

/// Not synchronised: the owner calls it under a lock.
class LeaseTable {
 public:
  /// `first_epoch`: the lowest epoch of a first claim; `owner`: identifies this process among all.
  LeaseTable(std::uint64_t first_epoch, std::string owner)
      : first_epoch_(first_epoch), owner_(std::move(owner)) {}

  /// Who may push to a proxy.
  enum class Ownership {
    ours,     ///< this process, as before
    claimed,  ///< this process from now on; the table found there is not of this claim
    theirs,   ///< another process
  };
  /// Decides by what the proxy reports, and claims it if it may be claimed.
  Ownership observe(ProxyId proxy, const RemoteState& remote);
  /// The epoch to push with; 0 before the first claim.
  std::uint64_t epoch(ProxyId proxy) const;
  const std::string& owner() const { return owner_; }

 private:
  const std::uint64_t first_epoch_;
  const std::string owner_;
  std::map<ProxyId, std::uint64_t> epochs_;  // of the proxies observed
};

}  // namespace ospreypost::routing_state
