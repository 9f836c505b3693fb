// By which epoch a governor orders each proxy that keeps its tables, and whether it may. Pure.
//
// Whoever stores a proxy's tables refuses what carries a lower epoch than what it holds, or the same from
// another process. So of two governors that both order, one wins at each proxy, whatever arrives in which
// order; the other learns it at its next push or look, and steps down there.
//
// A process claims a proxy at its first meeting, above whatever lies there: the one that was started last is
// the one that the operators mean, also when the wall clock went back between the two starts. After that it
// claims again only what nobody has spoken to for the lease of its table.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

// What lies at a proxy, as it says itself.
struct RemoteState {
  bool has_table = false;  // something does
  std::uint64_t epoch = 0;
  SnapshotVersion version{};
  std::string owner;           // the process that ordered it
  bool lease_expired = false;  // nobody who holds it has spoken within its lease
  // After a way back by hand: the replicas that it goes by instead of the newest's, by name.
  std::vector<std::string> rolled_back_to;
};

class LeaseTable {
 public:
  // `start`: epochs of first claims are at least this; `owner`: names this process alone.
  LeaseTable(std::uint64_t start, std::string owner) : start_(start), owner_(std::move(owner)) {}

  enum class Ownership {
    ours,     // goes on
    claimed,  // ours from now on; what lies there is not of this claim
    theirs,
  };
  Ownership observe(ProxyId proxy, const RemoteState& met);
  // To order by; 0 before the first claim.
  std::uint64_t epoch(ProxyId proxy) const;
  const std::string& owner() const { return owner_; }

 private:
  const std::uint64_t start_;
  const std::string owner_;
  std::map<ProxyId, std::uint64_t> epochs_;  // of those met
};

}  // namespace ospreypost::routing_state
