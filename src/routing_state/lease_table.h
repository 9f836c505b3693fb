/// The lease table records to which proxies this process may push tables, and with which epoch. Free of I/O.
///
/// The receiver that stores a proxy's tables rejects a table whose epoch is lower than that of the stored
/// table, and a table with the same epoch from another process. If two processes push to one proxy, exactly
/// one of them wins, regardless of the order in which their messages arrive. The other process learns that it
/// lost from its next push or liveness check, and stops pushing to the proxy.
///
/// A process claims a proxy when the process first observes the proxy. The new epoch is above the stored one
/// even if the wall clock went back between two starts, because the process that was started last is the one
/// that the operators intend to use. Later, the process claims the proxy again only if the lease of the
/// stored table has expired.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

/// State of the table that a proxy has stored, as the proxy's receiver reports it.
struct RemoteState {
  bool has_table = false;  ///< if false, the other fields have no meaning
  std::uint64_t epoch = 0;
  SnapshotVersion version{};
  std::string owner;           ///< identifies the process that pushed the stored table
  bool lease_expired = false;  ///< `owner` has sent the proxy nothing for the duration of the lease
  /// After an operator rolled the proxy back: names of the replicas that the proxy uses in place of those in
  /// the newest table. Empty without a rollback.
  std::vector<std::string> rolled_back_to;
};

/// This class is not thread-safe: its callers must hold a lock.
class LeaseTable {
 public:
  /// `first_epoch`: lowest epoch of the first claim on a proxy. `owner`: unique name of this process.
  LeaseTable(std::uint64_t first_epoch, std::string owner)
      : first_epoch_(first_epoch), owner_(std::move(owner)) {}

  /// Which process may push tables to a proxy.
  enum class Ownership {
    ours,     ///< this process owns the proxy by an earlier claim
    claimed,  ///< this process has now claimed the proxy; the stored table is from before the claim
    theirs,   ///< another process owns the proxy
  };
  /// Decides from the proxy's reported state which process owns the proxy, and claims the proxy if allowed.
  Ownership observe(ProxyId proxy, const RemoteState& remote);
  /// Epoch of the pushes to the proxy; 0 before the first claim.
  std::uint64_t epoch(ProxyId proxy) const;
  const std::string& owner() const { return owner_; }

 private:
  const std::uint64_t first_epoch_;
  const std::string owner_;
  std::map<ProxyId, std::uint64_t> epochs_;  // epoch of this process for each observed proxy
};

}  // namespace ospreypost::routing_state
