#include "routing_state/send_queue.h"

#include <algorithm>

namespace ospreypost::routing_state {

void SendQueue::add(std::size_t changed_entries, const ProxySnapshot& latest, double message_overhead,
                    SendQueueTotals& totals) {
  const double complete = message_overhead + static_cast<double>(entry_count(latest));
  // Pending entries are sent as one message, so the overhead is added only with the first pending change.
  const double overhead = entries_ > 0 ? 0 : message_overhead;
  const double added = static_cast<double>(changed_entries) + overhead;
  set(std::min(complete, entries_ + added), totals);
}

void SendQueue::clear(SendQueueTotals& totals) { set(0, totals); }

void SendQueue::set(double entries, SendQueueTotals& totals) {
  totals.queued_entries += entries - entries_;
  entries_ = entries;
  totals.max_queued_entries = std::max(totals.max_queued_entries, totals.queued_entries);
}

}  // namespace ospreypost::routing_state
