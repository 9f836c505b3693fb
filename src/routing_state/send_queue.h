/// How many table entries wait to be sent to each proxy, and to all. Changes that wait are merged, so that a
/// queue is never longer than a message with the complete configuration. Free of I/O.
#pragma once

#include <cstddef>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

/// The queues of all proxies together.
struct SendQueueTotals {
  double queued_entries = 0;
  double max_queued_entries = 0;  ///< since the start
};

/// The entries that wait for one proxy. Each change is accounted for in the totals that its owner keeps.
class SendQueue {
 public:
  /// Adds a change of so many entries. `latest`: the proxy's configuration with that change;
  /// `message_overhead`: the entries that each message costs beyond its own.
  void add(std::size_t changed_entries, const ProxySnapshot& latest, double message_overhead,
           SendQueueTotals& totals);
  /// Everything that waited was sent, or is not to be sent any more.
  void clear(SendQueueTotals& totals);
  double entries() const { return entries_; }

 private:
  void set(double entries, SendQueueTotals& totals);

  double entries_ = 0;
};

}  // namespace ospreypost::routing_state
