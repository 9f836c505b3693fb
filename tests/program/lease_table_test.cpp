/// Tests which of several processes may push to a proxy, with generated process starts and clocks.
#include "routing_state/lease_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace ospreypost::routing_state {
namespace {

constexpr ProxyId kProxy{3};
constexpr int kLeaseSteps = 5;

/// A minimal model of the receiver that stores the table of one proxy.
struct PlainReceiver {
  RemoteState stored;
  int silent_steps = 0;  // number of steps since the owner last sent a message

  bool is_stored_by(const LeaseTable& leases) const {
    return stored.has_table && stored.owner == leases.owner() && stored.epoch == leases.epoch(kProxy);
  }

  RemoteState check_liveness(const LeaseTable& leases) {
    if (is_stored_by(leases)) silent_steps = 0;
    RemoteState state = stored;
    state.lease_expired = stored.has_table && silent_steps > kLeaseSteps;
    return state;
  }

  bool store(const LeaseTable& leases, std::uint64_t version) {
    const std::uint64_t epoch = leases.epoch(kProxy);
    const bool is_older = epoch < stored.epoch;
    const bool is_of_another = epoch == stored.epoch && leases.owner() != stored.owner;
    if (stored.has_table && (is_older || is_of_another)) return false;
    stored = {true, epoch, SnapshotVersion{version}, leases.owner(), false, {}};
    silent_steps = 0;
    return true;
  }
};

/// Two concurrent processes and the receiver of one proxy. Each step checks the result of its action.
class CompetingProcesses {
 public:
  void restart_one() { random_process() = start(); }

  /// A random process sends a liveness check to the proxy. If the process claims the proxy, its next push
  /// must be stored.
  void check_liveness() {
    LeaseTable& leases = *random_process();
    const bool is_first = leases.epoch(kProxy) == 0;
    const RemoteState remote = receiver_.check_liveness(leases);
    const LeaseTable::Ownership ownership = leases.observe(kProxy, remote);
    const bool is_claimed = ownership == LeaseTable::Ownership::claimed;
    if (is_claimed) RC_ASSERT(is_first || remote.lease_expired);
    if (is_first) RC_ASSERT(is_claimed);
    ownerships_[leases.owner()] = ownership;
    if (!is_claimed) return;
    const RemoteState before = receiver_.stored;
    RC_ASSERT(receiver_.store(leases, ++version_));
    RC_ASSERT(!before.has_table || before.epoch < receiver_.stored.epoch);
  }

  /// A random process pushes to the proxy, unless the process knows that another process owns the proxy.
  void push() {
    LeaseTable& leases = *random_process();
    const std::string& owner = leases.owner();
    if (!ownerships_.contains(owner) || ownerships_[owner] == LeaseTable::Ownership::theirs) return;
    const RemoteState before = receiver_.stored;
    if (receiver_.store(leases, ++version_)) {
      // A push is stored if the process already owned the stored table, or if the process had claimed the
      // proxy after the lease expired.
      RC_ASSERT(before.owner == owner || claimed_after_expiry_.contains(owner));
      claimed_after_expiry_.erase(owner);
      return;
    }
    const RemoteState remote = receiver_.check_liveness(leases);
    ownerships_[owner] = leases.observe(kProxy, remote);
    RC_ASSERT((ownerships_[owner] == LeaseTable::Ownership::claimed) == remote.lease_expired);
    if (remote.lease_expired) claimed_after_expiry_.insert(owner);
  }

  void advance_step() { ++receiver_.silent_steps; }

 private:
  // The first epoch is random, because the clock that determines it may have gone back since the last start.
  std::unique_ptr<LeaseTable> start() {
    const auto first_epoch = *rc::gen::inRange<std::uint64_t>(1, 20);
    return std::make_unique<LeaseTable>(first_epoch, "g" + std::to_string(++started_));
  }
  std::unique_ptr<LeaseTable>& random_process() { return processes_[*rc::gen::inRange<std::size_t>(0, 2)]; }

  std::uint64_t started_ = 0;
  std::uint64_t version_ = 0;
  PlainReceiver receiver_;
  std::array<std::unique_ptr<LeaseTable>, 2> processes_{start(), start()};
  std::map<std::string, LeaseTable::Ownership> ownerships_;  // last observed ownership, by process
  // Processes that claimed the proxy after the lease expired, and have not pushed since.
  std::set<std::string> claimed_after_expiry_;
};

// A push from the owner of a proxy is stored unless another process has claimed the proxy since. A push from
// a process that does not own the proxy is never stored. The owner of a proxy changes only when a process
// first observes the proxy, or after the lease has expired.
RC_GTEST_PROP(LeaseTableTest, OneProcessPushesAtATime, ()) {
  CompetingProcesses processes;
  for (int steps = *rc::gen::inRange(5, 120); steps > 0; --steps) {
    processes.advance_step();
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        processes.restart_one();
        break;
      case 1:
      case 2:
        processes.check_liveness();
        break;
      default:
        processes.push();
        break;
    }
  }
}

}  // namespace
}  // namespace ospreypost::routing_state
