/// Send queues count the table entries that are pending for each proxy and for all proxies together. Free of
/// I/O. Pending changes are merged, so a queue is never longer than a message with the complete
/// configuration.
#pragma once

#include <cstddef>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::routing_state {

/// Totals over the send queues of all proxies.
struct SendQueueTotals {
  double queued_entries = 0;
  double max_queued_entries = 0;  ///< maximum of `queued_entries` since the start
};

/// Number of entries that are pending for one proxy. Each change of the queue is also applied to the caller's
/// totals.
class SendQueue {
 public:
  /// Adds a change with `changed_entries` entries. `latest`: the proxy's configuration including the change;
  /// `message_overhead`: cost of each message beyond its entries, in entries.
  void add(std::size_t changed_entries, const ProxySnapshot& latest, double message_overhead,
           SendQueueTotals& totals);
  /// Empties the queue after the pending entries were sent or became obsolete.
  void clear(SendQueueTotals& totals);
  double entries() const { return entries_; }

 private:
  void set(double entries, SendQueueTotals& totals);

  double entries_ = 0;
};

}  // namespace ospreypost::routing_state
