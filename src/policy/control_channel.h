/// The channel from the controller to its proxies.
/// The number of entries queued in the channel is estimated from the acknowledgements of proxies.
#pragma once

#include <cstdint>
#include <map>

#include "policy/action_sink.h"
#include "policy/settings.h"

namespace ospreypost::policy {

/// Table changes that could also be sent later may fill the queue up to this fraction of its maximum.
inline constexpr double kNonUrgentQueueFraction = 0.5;
/// Ejections, returns of ejected replicas, admitted fractions, and entries of tables without endpoints may
/// fill the queue up to this fraction of its maximum.
inline constexpr double kUrgentQueueFraction = 0.9;
/// The first tables of joining proxies may fill the queue up to this fraction of its maximum.
inline constexpr double kJoiningQueueFraction = 0.8;

class ControlChannel {
 public:
  explicit ControlChannel(const Settings& settings);

  /// Returns the configured maximum number of queued entries.
  double max_queued_entries() const { return max_queued_entries_; }
  /// Returns the rate that the controller relies on, which is below the configured rate.
  double entries_per_second() const { return entries_per_second_; }

  /// Returns a cautious estimate of the number of entries queued in the channel.
  /// The channel may run at a fraction of its rate for a while, so entries count as queued until an
  /// acknowledgement confirms their transmission. Acknowledgements may also be lost, so the estimate falls
  /// slowly without them. Before the first acknowledgement, the estimate falls at entries_per_second().
  double queued_entries(Nanos now);
  /// Counts entries that are sent now, in the given number of messages.
  void add(double entries, double messages);

  /// Requests an acknowledgement of the entries sent in the current call on the controller.
  /// Does so only if many entries may be queued or no acknowledgement has ever arrived: a request in every
  /// message would cost more capacity than the acknowledgements are worth.
  /// Calls at the same time share one request, since their messages to a proxy are merged into one.
  void request_acknowledgement(Nanos now, ActionSink& actions);
  /// Processes the acknowledgement of one proxy. The channel transmits messages in order, so the
  /// acknowledgement confirms all entries sent before the request. If n messages carried the request, the
  /// acknowledgement also confirms 1/n of the entries sent together with the request.
  void on_acknowledged(Nanos now, AckRequestId id);
  /// Reports that the last proxy has left. Entries queued for a proxy are lost with the proxy's connection,
  /// so no entries are queued any more.
  void on_all_proxies_left() { transmitted_ = enqueued_; }

 private:
  struct AckRequest {
    double enqueued_before = 0;   // all entries ever sent before the request
    double entries = 0;           // entries sent together with the request
    double messages = 0;          // messages that carry the request
    double acknowledgements = 0;  // acknowledgements received, one for each message
  };

  const double entries_per_second_;
  const double max_queued_entries_;
  double enqueued_ = 0;              // all entries ever sent
  double enqueued_before_call_ = 0;  // value of enqueued_ before the current call on the controller
  double transmitted_ = 0;           // entries ever sent that are taken to have left the channel
  double messages_in_call_ = 0;      // messages sent in the current call on the controller
  Nanos transmitted_updated_at_{};
  std::map<AckRequestId, AckRequest> requests_;
  std::uint64_t last_request_ = 0;
  Nanos last_requested_at_{};
  bool acknowledged_ = false;  // whether any proxy has ever acknowledged a request
};

}  // namespace ospreypost::policy
